package member

import "time"

// States of a host in the host list.
const (
	Live HostState = iota
	Leaving
	Gone
)

type (
	// Event is an input of a List.
	Event interface{ event() }

	// Action is an output of a List.
	Action interface{ action() }

	// HostState is the state of a host in the host list.
	HostState int

	// Identity describes a daemon. It is fixed for the life of an incarnation.
	Identity struct {
		Incarnation string
		Host        string
		Address     string // IP:port for other daemons
		CallerURL   string // handed out to callers
		DataCentre  string
	}

	// Registered is an accepted memberUp record.
	Registered struct {
		Identity
		Offset int64
	}

	// RecordedGone is an accepted memberGone record.
	RecordedGone struct{ Incarnation string }

	// LocalState is the state that this daemon reports in its heartbeats.
	LocalState struct {
		Offset     int64
		LogContact time.Time // when the log was last read to its end
		Current    bool
		Draining   bool
	}

	// Evidence shows that an incarnation of an upstream is leaving. Its times are by the platform's clock.
	Evidence struct {
		Upstream    string
		Incarnation string    // empty if unknown
		First       time.Time // time of the first evidence at any daemon
		Last        time.Time // time of the latest evidence at any daemon
	}

	// Heartbeat is the state that a daemon sends to its peers. Daemons exchange heartbeats every second, and at once on new
	// evidence of a leaving upstream. As an event, a Heartbeat is a peer's answer to a call of this daemon.
	Heartbeat struct {
		Identity
		Offset        int64
		LogContactAge time.Duration // time since the sender last read the log to its end
		Current       bool
		Draining      bool
		Leaving       []Evidence
	}

	// HeartbeatCall is a heartbeat that arrived with a peer's call. Unlike an answer to a call of this daemon, it does not show
	// that the peer can be reached: the network may lose packets in the other direction only.
	HeartbeatCall struct{ Heartbeat }

	// Refused is sent when the address of a daemon refused a connection.
	Refused struct{ Incarnation string }

	// HostList is a host list of the platform. AsOf is by the platform's clock, which showed a time between Earliest and
	// Latest when the platform answered.
	HostList struct {
		AsOf     time.Time
		AskedAt  time.Time // when the list was requested, by this daemon's clock
		Earliest time.Time
		Latest   time.Time // zero if the platform's answer has no time
		Hosts    []ListedHost
	}

	// ListedHost is an entry of the host list.
	ListedHost struct {
		Name     string
		Upstream bool // true for an upstream, false for an entry host
		State    HostState
	}

	// UpstreamSeen is sent when an upstream answered a request that was sent at AskedAt.
	UpstreamSeen struct {
		Upstream    string
		Incarnation string
		AskedAt     time.Time
	}

	// UpstreamRefused is sent when an upstream itself reported that it is leaving.
	UpstreamRefused struct {
		Upstream    string
		Incarnation string
	}

	// Lease is the state of a cell lease in the log.
	Lease struct {
		Cell       string
		DataCentre string
		Offset     int64
		Holder     string // empty if the lease is free or released
	}

	// Tick is the event that a Wake requests.
	Tick struct{}

	// SendHeartbeat requests to send a heartbeat to the daemons at the addresses.
	SendHeartbeat struct {
		To        []string
		Heartbeat Heartbeat
	}

	// RecordGone requests to append a memberGone record for a daemon that is proven gone.
	RecordGone struct {
		Incarnation string
		Proof       string
	}

	// TakeOver requests to append a lease record that takes over the cell.
	TakeOver struct {
		Cell string
		Base int64 // offset of the lease record to replace
	}

	// Evicted reports that the log records this incarnation as gone, so the daemon must stop.
	Evicted struct{}

	// LeavingChanged reports that an upstream is leaving and must get no new work, or that it is no longer leaving.
	LeavingChanged struct {
		Upstream string
		Leaving  bool
		First    time.Time // time of the first evidence at any daemon, by the platform's clock
	}

	// Wake requests a Tick at the time At.
	Wake struct{ At time.Time }

	// Peer is the state of another daemon as this daemon sees it.
	Peer struct {
		Identity
		Offset     int64
		LogContact time.Time // when the peer last read the log to its end
		LastSeen   time.Time // time of the peer's last answer to a heartbeat; zero means never
		Current    bool
		Draining   bool
		Recorded   bool // whether the log has the peer's memberUp record
		Lost       bool // whether the peer missed its heartbeats or is proven gone
		Gone       bool // whether the peer is proven gone
	}
)

func (Registered) event()      {}
func (RecordedGone) event()    {}
func (LocalState) event()      {}
func (Heartbeat) event()       {}
func (Refused) event()         {}
func (HostList) event()        {}
func (UpstreamSeen) event()    {}
func (UpstreamRefused) event() {}
func (Lease) event()           {}
func (Tick) event()            {}

func (SendHeartbeat) action()  {}
func (RecordGone) action()     {}
func (TakeOver) action()       {}
func (Evicted) action()        {}
func (LeavingChanged) action() {}
func (Wake) action()           {}
