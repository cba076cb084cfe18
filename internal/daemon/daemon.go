package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
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
	closeTimeout = 5 * time.Second
	warmUp       = 3 * time.Second
)

type (
	// Daemon is one entry host. The fields after control belong to the control thread.
	Daemon struct {
		settings    setup.Settings
		incarnation string
		logger      *telem.Logs
		metrics     *telem.Metrics
		traces      *telem.Traces
		logs        *logsvc.Client
		logClock    clocks.Remote
		engines     *engine.Client
		peerClient  *peers.Client
		peerServer  *peers.Server
		door        *front.Callers
		callers     *http.Server
		operators   *http.Server
		decisions   decisions
		snapshot    atomic.Pointer[published]
		life        context.Context
		endLife     context.CancelFunc
		tasks       sync.WaitGroup

		control     *ctrl.Thread
		random      *rand.Rand
		state       *fold.State
		lastView    *spec.View
		encoded     []byte
		encodedAt   int64
		fetching    bool
		started     time.Time
		warmed      bool
		directories map[string]bool // Directories holds the cells whose directory has arrived.
		appends     *appends
		upstreams   *upstreams
		cells       *cells
		models      *models
		bookings    *bookings
		members     *members
		stopping    *stopping
	}

	// published is what callers' threads may read without asking the control thread.
	published struct {
		view  *spec.View
		ready error
	}
)

// New returns a daemon that listens on the addresses of its settings and does not serve yet.
func New(s setup.Settings, logs *telem.Logs) (*Daemon, error) {
	traces, err := telem.NewTraces(context.Background(), s.Host.Name, s.Telemetry.OTLPEndpoint.String())
	if err != nil {
		return nil, err
	}
	life, end := context.WithCancel(context.Background())
	metrics := telem.NewMetrics()
	d := &Daemon{
		settings: s, incarnation: s.Host.Name + "." + uuid.NewString()[:8], logger: logs, metrics: metrics, traces: traces,
		logs:       logsvc.New(s.Platform.Log.String(), s.Platform.LogStream, s.Host.Name, metrics.Link(telem.LogLink)),
		engines:    engine.New(traces.ToHeader, metrics.Link(telem.EngineLink)),
		peerClient: peers.NewClient(s.Listen.Peers.IP(), metrics.Link(telem.PeerLink)), life: life, endLife: end,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), state: fold.New(), directories: make(map[string]bool),
	}
	d.control = ctrl.New(d.metrics)
	d.members = newMembers(d)
	d.appends = newAppends(d)
	d.upstreams = newUpstreams(d)
	d.cells = newCells(d)
	d.models = newModels(d, entry.New(d.entrySettings(), d.state.View(), d.random))
	d.bookings = newBookings(d, idemp.New(idemp.Config{
		Incarnation: d.incarnation, Ranges: fold.KeyRanges, KeyLifetime: s.Caller.KeyLifetime.Value(),
	}, d.random))
	d.stopping = newStopping(d)
	d.publish()
	return d, d.listen()
}

// Incarnation names this start of the daemon.
func (d *Daemon) Incarnation() string { return d.incarnation }

func (d *Daemon) entrySettings() entry.Settings {
	s := entry.Defaults(d.settings.Host.DataCentre, d.settings.Host.DataCentre)
	s.Home = d.cells.homeOf
	return s
}

func (d *Daemon) listen() error {
	d.door = d.callersDoor()
	callers, err := d.door.Handler()
	if err != nil {
		return errors.Wrap(err, "callers' API")
	}
	operators, err := d.operatorsDoor().Handler()
	if err != nil {
		return errors.Wrap(err, "operators' API")
	}
	d.callers = front.Server(callers, d.settings.Limits.HeaderTimeout.Value())
	d.operators = front.Server(operators, d.settings.Limits.HeaderTimeout.Value())
	d.peerServer, err = peers.Listen(d.settings.Listen.Peers.String(), &service{d}, d.metrics.Link(telem.PeerLink))
	return err
}

func (d *Daemon) callersDoor() *front.Callers {
	l := d.settings.Limits
	return &front.Callers{
		Limits: front.Limits{RequestBytes: l.RequestBytes.Bytes(), BodyTimeout: l.BodyTimeout.Value(), InFlight: l.InFlight},
		Traces: d.traces, Metrics: d.metrics,
		Ready:   func() error { return d.snapshot.Load().ready },
		View:    d.view,
		Address: d.address,
		Model:   d.models.run,
		Plain:   d.bookings.run,
		MintKey: d.bookings.mint,
	}
}

// Run serves until the context ends or a planned stop is done. It returns nil only if no request was cut off.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	g.Add(d.control.Run, func(error) { d.control.Stop() })
	d.addServer(&g, d.callers, d.settings.Listen.Traffic.String())
	d.addServer(&g, d.operators, d.settings.Listen.Operator.String())
	g.Add(d.peerServer.Serve, func(error) { d.peerServer.Close() })
	d.addLoop(&g, d.tail)
	d.addLoop(&g, d.pollHostList)
	d.addLoop(&g, d.beat)
	d.addLoop(&g, d.watchLoads)
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error { return d.stopping.wait(stop) }, func(error) { cancel() })
	d.log("daemon").Info("started", "incarnation", d.incarnation, "traffic", d.settings.Listen.Traffic.String())
	err := g.Run()
	d.close()
	d.log("daemon").Info("stopped", "err", err)
	return err
}

// addServer adds a server that stays in the group after a graceful shutdown, because the hand-over follows it.
func (d *Daemon) addServer(g *run.Group, s *http.Server, address string) {
	ended := make(chan struct{})
	g.Add(func() error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listener")
		}
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
}

func (d *Daemon) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(d.life)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (d *Daemon) close() {
	d.endLife()
	d.tasks.Wait()
	d.logs.Close()
	d.engines.Close()
	d.peerClient.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.traces.Close(ctx); err != nil {
		d.log("daemon").Warn("traces were not exported", "err", err)
	}
}

// background runs a task outside the control thread; its context ends with the daemon.
func (d *Daemon) background(task func(ctx context.Context)) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		task(d.life)
	}()
}

func (d *Daemon) log(part string) *slog.Logger { return d.logger.For(part) }

func (d *Daemon) view() *spec.View { return d.snapshot.Load().view }

// publish makes the configuration and the readiness visible to callers' threads.
func (d *Daemon) publish() {
	d.snapshot.Store(&published{view: d.state.View(), ready: d.ready()})
}

// ready returns why the daemon must not take new work, or nil.
func (d *Daemon) ready() error {
	if !d.members.everCurrent && d.state.Offset() == 0 {
		return codes.New(codes.NotReady, "no configuration has been read yet").WithRetryAfter(time.Second)
	}
	if ok, why := d.members.current(time.Now()); !ok {
		return codes.New(codes.NotCurrent, why).WithRetryAfter(time.Second)
	}
	if !d.warm() {
		return codes.New(codes.NotReady, "directories of replicas are missing").WithRetryAfter(time.Second)
	}
	return nil
}

// warm reports whether the directories of all cells have arrived. Until then a new daemon would refuse calls to models that
// are loaded; it waits for warmUp at most, since a cell may have no controller.
func (d *Daemon) warm() bool {
	if d.warmed {
		return true
	}
	if d.started.IsZero() {
		d.started = time.Now()
	}
	missing := false
	for _, l := range d.state.Leases() {
		missing = missing || !d.directories[l.Cell]
	}
	d.warmed = len(d.upstreams.cells) > 0 && !missing || time.Since(d.started) > warmUp
	return d.warmed
}

// sync passes what the fold has changed to the decision packages.
func (d *Daemon) sync() {
	v := d.state.View()
	changed := v != d.lastView
	if changed {
		d.lastView = v
		d.models.handle(entry.ViewChanged{View: v})
	}
	d.cells.sync(changed)
	d.members.sync()
	d.publish()
}
