package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/blame"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
)

const (
	// DialTimeout limits how long opening a connection to an upstream may take; data centres are a few milliseconds apart.
	DialTimeout = 400 * time.Millisecond
	// UserTimeout limits how long sent data may stay unacknowledged on a socket, except those of callers.
	UserTimeout = 1500 * time.Millisecond
	// callerUserTimeout is the same for callers' connections. It also ends the connection of a caller that has no room for more data
	// because it does not read, which is no sign of a dead connection.
	callerUserTimeout = 5 * time.Second

	headerTimeout     = 10 * time.Second // without a configured limit
	idleTimeout       = time.Minute      // the same; longer than callers keep an idle connection open
	tickInterval      = 100 * time.Millisecond
	gaugeTicks        = 20 // ticks between two updates of the gauges
	millicoresPerCore = 1000
	// leaseMargin is added to LimitSettings.LeaseMS to get the time after which another host may take over the lease, and after which a host may
	// give orders again when another one has given orders since.
	leaseMargin = 200 * time.Millisecond
)

type (
	// Node is one entry host. Fields from control on are accessed only on the control thread.
	Node struct {
		settings     Settings
		startedAt    time.Time // when the process started
		poll         pollTimes
		platform     Platform
		self         Member
		logs         *telem.Logs
		metrics      *telem.Metrics
		pool         *conns.Pool
		gate         *intake.Gate
		peerClient   *peers.Client
		relay        *relay.Relay
		config       atomic.Pointer[fleet.Config]
		ready        atomic.Bool
		stop         stopState
		heartbeatDue chan struct{} // makes the heartbeat loop send the next heartbeat at once
		baseCtx      context.Context
		cancelBase   context.CancelFunc
		tasks        sync.WaitGroup
		requests     sync.WaitGroup
		direct       atomic.Bool  // whether this host reads the store itself
		dependent    atomic.Bool  // whether this host depends on a hub
		listLost     atomic.Bool  // whether the last read of the list failed
		listBytes    atomic.Int64 // size of the complete list when it is read from the store; zero means unknown
		listRead     atomic.Bool  // whether a read of the list has ended since this host turned to the store
		configOld    atomic.Bool  // whether the configuration is older than the operator's bound
		recordSize   atomic.Int64 // size of the configuration record in force
		peersAsked   atomic.Bool  // whether another host answered a heartbeat, or none does
		reload       chan os.Signal
		settingsFile string

		control           *ctrl.Thread
		alarm             *ctrl.Alarm
		table             *pick.Table
		durations         *pick.Durations
		list              *fleet.List
		hasList           bool
		progress          fleet.Progress            // of the published list, as of listAt
		upstreams         map[string]fleet.Upstream // list that was applied last, by upstream ID
		record            configRecord              // encoded configuration in force
		configAt          time.Time                 // boot time as of which the configuration is current
		listAt            time.Time                 // boot time as of which the list is current
		changes           changeLog
		packed            packedList
		numbered          numbering // of this host as a hub
		known             numbering // of the hub of this host
		measured          measuredLoads
		feedHub           string    // incarnation of the hub whose list was applied last
		feedGeneration    int64     // generation of the list from feedHub
		hubStale          bool      // whether the hubs of this host were silent or stale, and none has been current since
		hubStaleAt        time.Time // when the hubs of this host became silent or stale
		hubReplacedAt     time.Time // when this host last queried another hub because its own was silent or stale
		firstQueryAt      time.Time // when this host first queried a hub
		membersHub        string    // incarnation of the hub whose members were applied last, up to membersGeneration
		membersGeneration int64
		memberGeneration  int64  // number of changes of members
		hubsChosen        bool   // whether this host has determined its hub, or that it is one
		hasMembers        bool   // whether the published members have been read
		parent            string // name of the hub on which this host depends; empty if there is none
		outage            outage
		members           map[string]*member
		hubs              map[string]bool // names of the hubs of all data centres, as chosen by this host
		lease             *lease.Lease
		leaseWaiting      bool // whether this host would have taken the lease but for its earlier orders, as of the last tick
		clock             bootClock
		bootNow           func() time.Time // returns the boot time; may be called from any goroutine
		placing           *place.Controller
		tickCount         int
		planScheduled     bool                     // whether a plan is due within maxPlanDelay
		planTime          time.Duration            // duration of the last plan
		term              int64                    // fence of the lease under which this host is the controller; zero if it is not
		updateCount       int64                    // number of the last placement update that this host sent as the controller
		waiting           map[string]chan struct{} // closed when a model may have become ready, by model
		repeatWindows     map[string]*retry.Window
		lostDependencies  map[string]bool          // names of the dependencies that don't answer
		blame             *blame.Ledger            // of parts of prompts
		repeats           *blame.Ledger            // of the digests of requests
		convicted         map[string]int           // crashes that a convicted set of parts explains, by their names, as logged last
		earlyHeads        map[string]float64       // share of responses whose head arrived before their first event, by service
		unclear           []unclearEnd             // recent broken attempts whose upstreams may have ended
		answers           []unconfirmedAnswer      // recent brief answers, by time
		guarded           map[*guardedAttempt]bool // attempts whose response has not begun, by the parts of their prompts
		guardedRepeats    map[*guardedAttempt]bool // the same by the digests of their requests
		suspicious        atomic.Bool              // whether a crash is known that a request may have caused
		lastTrial         time.Time
		storeEra          int64 // highest one that this host or its hub has seen, as of the last tick
		announced         bool  // whether this host has been published, or is being published again, in announcedEra
		announcedEra      int64
		oldUpdates        bool // whether the list or the configuration was older than its limit at the last tick

		rates teamRates

		skipped map[SkippedEntry]bool // entries that were logged as skipped
	}
)

// New returns a node; Run starts it.
func New(s Settings, p Platform, pool *conns.Pool, logs *telem.Logs) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	m := telem.NewMetrics()
	incarnation := s.Host.Name + "." + uuid.NewString()[:8]
	n := &Node{
		settings: s, startedAt: time.Now(), poll: newPollTimes(s.Limits), platform: p, logs: logs, metrics: m, pool: pool,
		baseCtx: ctx, cancelBase: cancel,
		self: Member{
			Name: s.Host.Name, Incarnation: incarnation, DataCentre: s.Host.DataCentre, Traffic: s.Listen.Traffic, Peers: s.Listen.Peers,
			Capacity: int(s.Host.Cores * s.Host.CoreSpeed * millicoresPerCore),
		},
		table: pick.New(s.Host.DataCentre), durations: pick.NewDurations(), list: fleet.NewList(), members: make(map[string]*member),
		waiting: make(map[string]chan struct{}), repeatWindows: make(map[string]*retry.Window),
		bootNow: bootNow, storeEra: unknownEra, blame: blame.New(), repeats: blame.NewOfRequests(), guardedRepeats: make(map[*guardedAttempt]bool), earlyHeads: make(map[string]float64), guarded: make(map[*guardedAttempt]bool), lostDependencies: make(map[string]bool), heartbeatDue: make(chan struct{}, 1), reload: make(chan os.Signal, 1),
	}
	n.table.Random = pick.NewRandom(s.Host.Name)
	leaseSettings := lease.DefaultSettings()
	leaseSettings.Fenced, leaseSettings.Joins = s.Limits.RequireFence, !s.Host.Bootstrap
	leaseSettings.TurnTime = time.Duration(s.Limits.LeaseMS)*time.Millisecond + leaseMargin
	leaseSettings.TakeOverTime = max(leaseSettings.TakeOverTime, leaseSettings.TurnTime)
	leaseSettings.OrderLifetime = UserTimeout
	leaseSettings.OrderTime = min(leaseSettings.HoldTime, leaseSettings.TakeOverTime-UserTimeout-maxTermCheckAge)
	placeSettings := place.DefaultSettings()
	placeSettings.LoadWindow = seconds(s.Limits.LoadWindowS)
	n.placing = place.New(placeSettings)
	n.stop.ctx, n.stop.cancel = context.WithCancel(context.Background())
	n.lease = lease.New(leaseSettings, s.Host.Name, incarnation)
	n.lease.Started(bootNow())
	n.gate = intake.New(ledger.LimitsFor(s.Host.bounds()), n.reportRefusal, refusalResponse)
	n.control = ctrl.New(m)
	n.alarm = ctrl.NewAlarm(n.control, n.plan)
	n.rates = n.newTeamRates()
	source, _ := netip.ParseAddrPort(s.Listen.Peers) // ParseSettings has checked the address.
	n.peerClient = peers.NewClient(source.Addr(), m.Link(telem.PeerLink))
	n.relay = relay.New(p.Dialect, relay.Control{
		Config: n.config.Load, ConfigOld: n.configOld.Load, Admit: n.admit, Settle: n.settle, Choose: n.choose, RecordFirst: n.recordFirstEvent, EndAttempt: n.recordEnd, Move: n.move,
		AllowRepeat: n.takeRepeat, CountRequest: n.countRequest, Stopping: n.acceptUntil, Retried: n.logRetry, RequestEnded: n.logEnd,
		Broken: n.recordBroken, Sound: n.recordSound, Guard: n.guard, CallerInput: callerInput, Silent: n.logSilent, Panicked: n.logPanic,
		Signs: n.recordSigns, Paused: n.paused, Intake: intake.AccountOf, Ending: n.stop.ctx,
	}, pool)
	return n
}

// WithSettingsFile sets the settings file, which is reloaded on SIGHUP and when it changes.
func (n *Node) WithSettingsFile(file string) *Node {
	n.settingsFile = file
	signal.Notify(n.reload, syscall.SIGHUP) // Without it, SIGHUP ends the process.
	return n
}

// Run serves until the context is cancelled and the planned stop that follows is complete.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	g.Add(n.control.Run, func(error) { n.control.Stop() })
	server, err := peers.Listen(n.settings.Listen.Peers, &peerService{n}, n.metrics.Link(telem.PeerLink))
	if err != nil {
		return err
	}
	server.Limit(n.peerLimits())
	g.Add(server.Serve, func(error) { server.Close() })
	ready, directory := n.platform.Handlers(n.ready.Load, n.addresses)
	for _, x := range []struct {
		address string
		handler http.Handler
	}{
		{n.settings.Listen.Traffic, n.countingHandler()},
		{n.settings.Listen.Ready, ready},
		{n.settings.Listen.Directory, directory},
		{n.settings.Listen.Metrics, n.metrics.Handler()},
	} {
		if err := n.addServer(&g, x.address, x.handler); err != nil {
			server.Close()
			return err
		}
	}
	for _, loop := range []func(context.Context){n.watchConfig, n.watchList, n.watchMembers, n.heartbeatLoop, n.tickLoop, n.watchSettings} {
		n.addLoop(&g, loop)
	}
	stopCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return n.awaitStop(stopCtx) }, func(error) { cancel() })
	n.log("node").Info("started", "event", eventStarted, "incarnation", n.self.Incarnation, "traffic", n.self.Traffic)
	err = g.Run()
	n.cancelBase()
	n.tasks.Wait()
	n.peerClient.Close()
	n.pool.Close()
	n.log("node").Info("stopped", "event", eventStopped, "err", err)
	return err
}

// countingHandler returns the relay with a count of active requests, for which a planned stop waits.
func (n *Node) countingHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n.metrics.RequestRead("traffic")
		n.requests.Add(1)
		n.stop.active.Add(1)
		defer n.requests.Done()
		defer n.stop.active.Add(-1)
		n.relay.ServeHTTP(w, q)
	})
}

func (n *Node) addServer(g *run.Group, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	timeout := UserTimeout
	if address == n.settings.Listen.Traffic {
		timeout = callerUserTimeout
	}
	lc := net.ListenConfig{KeepAliveConfig: conns.KeepAlive(), Control: func(_, _ string, c syscall.RawConn) error {
		return errors.CombineErrors(conns.UserTimeout(c, timeout), conns.Buffers(c, ledger.SocketBytes, ledger.ResponseBytes))
	}}
	l, err := lc.Listen(n.baseCtx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for HTTP")
	}
	s := newCallerServer(h, n.gate)
	s.ErrorLog = slog.NewLogLogger(n.log("http").Handler(), slog.LevelDebug)
	if address == n.settings.Listen.Traffic {
		n.stop.server = s // Its time-outs follow the configuration.
	} else {
		s.ReadTimeout, s.IdleTimeout = headerTimeout, idleTimeout
	}
	stopped := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(callerListener{l, s}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		_ = s.Close() // The server is no longer needed, so an error doesn't matter.
	})
	return nil
}

func (n *Node) addLoop(g *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(n.baseCtx)
	g.Add(func() error {
		loop(ctx)
		return nil
	}, func(error) { cancel() })
}

// background runs a task outside the control thread. Its context is cancelled when the node stops.
func (n *Node) background(task func(ctx context.Context)) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		task(n.baseCtx)
	}()
}

func (n *Node) log(part string) *slog.Logger { return n.logs.For(part) }

// recordDependency records whether a dependency answered, and logs when it is lost or back. It must run on the control thread.
func (n *Node) recordDependency(name string, err error) {
	switch lost := n.lostDependencies[name]; {
	case err != nil && !lost:
		n.lostDependencies[name] = true
		n.log("node").Warn("dependency lost", "event", eventDependencyLost, "dependency", name, "err", err)
	case err == nil && lost:
		delete(n.lostDependencies, name)
		n.log("node").Info("dependency is back", "event", eventDependencyBack, "dependency", name)
	}
}

// tickLoop runs periodic work that depends only on time.
func (n *Node) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			n.control.Post(n.tick)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) tick() {
	n.stepLease()
	now := time.Now()
	n.table.Expire(now)
	n.expireUses(now)
	n.confirmAnswers(now)
	n.blame.Expire(now)
	n.repeats.Expire(now)
	n.suspicious.Store(n.repeats.CrashCount() > 0)
	n.updateReady()
	n.chooseSource()
	n.checkConfigAge()
	n.logOldUpdates()
	n.observeEra()
	n.tickRates()
	if n.tickCount%expiryTicks == 0 {
		n.expireClients()
	}
	if n.tickCount++; n.tickCount%gaugeTicks == 0 {
		n.recordGauges()
	}
}

func (n *Node) recordGauges() {
	m := n.metrics
	m.SetHostView("configurationVersion", float64(n.configVersion()))
	m.State(n.lease.Fence(), n.ready.Load())
	m.Load(0, int(n.stop.active.Load()))
	m.SetHostView("upstreams", float64(len(n.upstreams)))
	m.SetHostView("limitedUpstreams", float64(len(n.table.Limits())))
	m.SetHostView("hosts", float64(n.hostCount()))
	m.SetHostView("listAge", n.bootNow().Sub(n.listAt).Seconds())
	m.SetHostView("configurationAge", n.bootNow().Sub(n.configAt).Seconds())
	mean, highest := n.table.Loads()
	m.SetHostView("meanLoad", mean)
	m.SetHostView("highestLoad", highest)
	m.SetHostView("loadAge", n.table.ReportAge(time.Now()).Seconds())
	opened, reused := n.pool.ConnCounts()
	bytes, clients := n.gate.Used()
	m.SetHostView("clientBytes", float64(bytes))
	m.SetHostView("clientConnections", float64(clients))
	m.SetHostView("connectionsOpened", float64(opened))
	m.SetHostView("connectionsReused", float64(reused))
	n.recordRates()
	if n.term == 0 {
		return
	}
	s := n.placing.Stats()
	for kind, value := range map[string]int{
		"loading": s.Loading, "storeLoads": s.StoreLoads, "inDoubt": s.InDoubt, "waiting": s.PendingRequests, "loads": s.Loads, "unloads": s.Unloads,
		"copied": s.CopiedModels, "onlyCopies": s.OnlyCopies, "blocked": s.Blocked, "drains": s.Drains,
		"loadsFromStore": s.StoreLoaded, "loadsFromDisk": s.DiskLoaded, "loadsFromMemory": s.MemoryLoaded,
	} {
		m.Placement(kind, value)
	}
}

func (n *Node) updateReady() {
	_, stopping := n.stop.state()
	n.ready.Store(n.config.Load() != nil && n.hasList && !stopping)
}

// sleep waits for the duration. It reports false if the context was cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchSettings reloads the settings file on SIGHUP and when its modification time changes.
func (n *Node) watchSettings(ctx context.Context) {
	t := time.NewTicker(2 * time.Second)
	defer t.Stop()
	var modified time.Time
	if info, err := os.Stat(n.settingsFile); err == nil {
		modified = info.ModTime()
	}
	for {
		forced := false
		select {
		case <-n.reload:
			forced = true
		case <-t.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(n.settingsFile)
		if err != nil || !forced && info.ModTime().Equal(modified) {
			continue
		}
		modified = info.ModTime()
		s, err := ReadSettings(n.settingsFile)
		if err != nil {
			n.log("node").Warn("new settings are invalid, keeping the current ones", "event", eventReloaded, "err", err)
			continue
		}
		n.control.Post(func() { n.applySettings(s) })
	}
}

// applySettings applies new limits; addresses and names are fixed for the lifetime of the process.
func (n *Node) applySettings(s Settings) {
	changed := n.settings.Limits != s.Limits
	n.settings.Limits = s.Limits
	n.rates.version = 0 // The limits of teams depend on the settings.
	for _, w := range n.repeatWindows {
		w.Adjust(time.Now(), seconds(s.Limits.RepeatWindowS), repeatShare*s.Limits.RepeatRatio, repeatShare*s.Limits.RepeatExtra)
	}
	n.log("node").Info("settings reloaded", "event", eventReloaded, "changed", changed)
}
