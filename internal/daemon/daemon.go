package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/engine"
	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/internal/logsvc"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/setup"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	closeTimeout  = 5 * time.Second
	warmUpTimeout = 3 * time.Second
)

type (
	// Daemon is one entry host. The fields after control are used only on the control thread.
	Daemon struct {
		settings        setup.Settings
		incarnation     string
		logger          *telem.Logs
		metrics         *telem.Metrics
		traces          *telem.Traces
		logClient       *logsvc.Client
		logClock        clocks.Remote
		engines         *engine.Client
		peerClient      *peers.Client
		peerServer      *peers.Server
		callerAPI       *front.Callers
		callerServer    *http.Server
		operatorServer  *http.Server
		gate            *intake.Gate
		decisionHistory decisionHistory
		published       atomic.Pointer[publishedState]
		ctx             context.Context
		cancel          context.CancelFunc
		tasks           sync.WaitGroup

		control           *ctrl.Thread
		random            *rand.Rand
		state             *fold.State
		lastView          *spec.View
		encodedSnapshot   []byte
		encodedOffset     int64
		fetchingState     bool
		warmUpStart       time.Time
		warmedUp          bool
		directoryReceived map[string]bool // by cell
		appender          *logAppender
		upstreams         *upstreams
		cells             *cells
		modelCalls        *modelCalls
		serviceCalls      *serviceCalls
		members           *members
		stopping          *stopping
	}

	// publishedState is the state that callers' goroutines read without a call to the control thread.
	publishedState struct {
		view     *spec.View
		readyErr error
	}
)

// New returns a daemon that does not serve yet. It listens on the peer address of its settings.
func New(s setup.Settings, logger *telem.Logs) (*Daemon, error) {
	traces, err := telem.NewTraces(context.Background(), s.Host.Name, s.Telemetry.OTLPEndpoint.String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	metrics := telem.NewMetrics()
	d := &Daemon{
		settings: s, incarnation: s.Host.Name + "." + uuid.NewString()[:8], logger: logger, metrics: metrics, traces: traces,
		logClient:  logsvc.New(s.Platform.Log.String(), s.Platform.LogStream, s.Host.Name, metrics.Link(telem.LogLink)),
		engines:    engine.New(traces.ToHeader, metrics.Link(telem.EngineLink)),
		peerClient: peers.NewClient(s.Listen.Peers.IP(), metrics.Link(telem.PeerLink)), ctx: ctx, cancel: cancel,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), state: fold.New(), directoryReceived: make(map[string]bool),
	}
	d.control = ctrl.New(d.metrics)
	d.members = newMembers(d)
	d.appender = newLogAppender(d)
	d.upstreams = newUpstreams(d)
	d.cells = newCells(d)
	d.modelCalls = newModelCalls(d, entry.New(d.entrySettings(), d.state.View(), d.random))
	d.serviceCalls = newServiceCalls(d, idemp.New(idemp.Config{
		Incarnation: d.incarnation, Ranges: fold.KeyRanges, KeyLifetime: s.Caller.KeyLifetime.Value(),
	}, d.random))
	d.stopping = newStopping(d)
	d.publish()
	return d, d.listen()
}

// Incarnation returns the name of this run of the daemon, which differs after each restart.
func (d *Daemon) Incarnation() string { return d.incarnation }

func (d *Daemon) entrySettings() entry.Settings {
	s := entry.Defaults(d.settings.Host.DataCentre, d.settings.Host.DataCentre)
	s.PreferredCell = d.cells.preferredCell
	return s
}

func (d *Daemon) listen() error {
	d.callerAPI = d.newCallerAPI()
	callers, err := d.callerAPI.Handler()
	if err != nil {
		return errors.Wrap(err, "creating the callers' API")
	}
	operators, err := d.newOperatorAPI().Handler()
	if err != nil {
		return errors.Wrap(err, "creating the operators' API")
	}
	d.gate = d.newGate()
	d.callerServer = front.NewServer(callers, d.settings.Limits.HeaderTimeout.Value(), d.gate)
	d.operatorServer = front.NewServer(operators, d.settings.Limits.HeaderTimeout.Value(), d.gate)
	d.peerServer, err = peers.Listen(d.settings.Listen.Peers.String(), &peerService{d}, d.metrics.Link(telem.PeerLink))
	if err != nil {
		return err
	}
	d.peerServer.Limit(d.peerLimits())
	return nil
}

func (d *Daemon) newCallerAPI() *front.Callers {
	l := d.settings.Limits
	return &front.Callers{
		Limits: front.Limits{RequestBytes: l.RequestBytes.Bytes(), BodyTimeout: l.BodyTimeout.Value(), InFlight: l.InFlight},
		Traces: d.traces, Metrics: d.metrics,
		Ready:     func() error { return d.published.Load().readyErr },
		View:      d.view,
		Address:   d.address,
		CallModel: d.modelCalls.run,
		CallPlain: d.serviceCalls.run,
		MintKey:   d.serviceCalls.mintKey,
	}
}

// Run serves until a planned stop is done. Cancelling the context starts one. Run returns nil only if no request was interrupted.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	g.Add(d.control.Run, func(error) { d.control.Stop() })
	d.addServer(&g, d.callerServer, d.settings.Listen.Traffic.String())
	d.addServer(&g, d.operatorServer, d.settings.Listen.Operator.String())
	g.Add(d.peerServer.Serve, func(error) { d.peerServer.Close() })
	d.addLoop(&g, d.tailLog)
	d.addLoop(&g, d.expireClients)
	d.addLoop(&g, d.pollHostList)
	d.addLoop(&g, d.pollStatus)
	d.addLoop(&g, d.pollLoadingEngines)
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error { return d.stopping.wait(stop) }, func(error) { cancel() })
	d.log("daemon").Info("started", "incarnation", d.incarnation, "traffic", d.settings.Listen.Traffic.String())
	err := g.Run()
	d.close()
	d.log("daemon").Info("stopped", "err", err)
	return err
}

// addServer adds a server whose actor does not return after a graceful shutdown, because the return of any actor ends the group
// and the hand-over of leases and key ranges is still to follow.
func (d *Daemon) addServer(g *run.Group, s *http.Server, address string) {
	stopped := make(chan struct{})
	g.Add(func() error {
		l, err := d.listenHTTP(address)
		if err != nil {
			return errors.Wrap(err, "listening for HTTP")
		}
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		_ = s.Close()
	})
}

func (d *Daemon) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(d.ctx)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (d *Daemon) close() {
	d.cancel()
	d.tasks.Wait()
	d.logClient.Close()
	d.engines.Close()
	d.peerClient.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.traces.Close(ctx); err != nil {
		d.log("daemon").Warn("exporting the remaining traces failed", "err", err)
	}
}

// background runs a task outside the control thread. Its context is cancelled when the daemon closes.
func (d *Daemon) background(task func(ctx context.Context)) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task(d.ctx)
	}()
}

func (d *Daemon) log(part string) *slog.Logger { return d.logger.For(part) }

func (d *Daemon) view() *spec.View { return d.published.Load().view }

// publish makes the configuration and the readiness visible to callers' goroutines.
func (d *Daemon) publish() {
	d.published.Store(&publishedState{view: d.state.View(), readyErr: d.checkReady()})
}

// checkReady returns an error that states why the daemon must not accept new work, or nil.
func (d *Daemon) checkReady() error {
	if !d.members.everCurrent && d.state.Offset() == 0 {
		return codes.New(codes.NotReady, "no configuration has been read yet").WithRetryAfter(time.Second)
	}
	if ok, reason := d.members.current(time.Now()); !ok {
		return codes.New(codes.NotCurrent, reason).WithRetryAfter(time.Second)
	}
	if !d.isWarmedUp() {
		return codes.New(codes.NotReady, "directories of replicas are missing").WithRetryAfter(time.Second)
	}
	return nil
}

// isWarmedUp reports whether the directories of all cells have been received. Before that, a new daemon would refuse calls to
// models that are loaded. The wait is limited to warmUpTimeout, because a cell may have no controller.
func (d *Daemon) isWarmedUp() bool {
	if d.warmedUp {
		return true
	}
	if d.warmUpStart.IsZero() {
		d.warmUpStart = time.Now()
	}
	missing := false
	for _, l := range d.state.Leases() {
		missing = missing || !d.directoryReceived[l.Cell]
	}
	d.warmedUp = len(d.upstreams.cells) > 0 && !missing || time.Since(d.warmUpStart) > warmUpTimeout
	return d.warmedUp
}

// sync passes the changes made by applied records to the decision packages.
func (d *Daemon) sync() {
	v := d.state.View()
	changed := v != d.lastView
	if changed {
		d.lastView = v
		d.modelCalls.handle(entry.ViewChanged{View: v})
	}
	d.cells.sync(changed)
	d.members.sync()
	d.publish()
}
