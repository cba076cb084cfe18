package member

import "time"

// The states that the host list gives a host.
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

	// HostState is what the host list says of a host.
	HostState int

	// Identity is what a daemon tells about itself once per start.
	Identity struct {
		Incarnation string
		Host        string
		Address     string // Address is the IP:port for other daemons.
		CallerURL   string // CallerURL is the address given to callers.
		DataCentre  string
	}

	// Up is an accepted memberUp record.
	Up struct {
		Identity
		Offset int64
	}

	// Down is an accepted memberGone record.
	Down struct{ Incarnation string }

	// Self tells what this daemon's next heartbeats say.
	Self struct {
		Offset     int64
		LogContact time.Time // LogContact is when the log was last read to its end.
		Current    bool
		Draining   bool
	}

	// Evidence tells that an incarnation of an upstream is leaving. Its times are by the platform's clock.
	Evidence struct {
		Upstream    string
		Incarnation string    // Incarnation is empty if it was not known.
		First       time.Time // First is the time of the first evidence at any daemon.
		Last        time.Time // Last is the time of the latest evidence at any daemon.
	}

	// Heartbeat is what daemons send and answer each other every second, and at once when they learn of a leaving upstream.
	Heartbeat struct {
		Identity
		Offset        int64
		LogContactAge time.Duration // LogContactAge is the time since the sender last read the log to its end.
		Current       bool
		Draining      bool
		Leaving       []Evidence
	}

	// Called is a heartbeat that a peer sent on its own, where Heartbeat is one that answers a call of this daemon. It does not
	// show that the peer can be reached: when the network loses packets in one direction, calls to it get no answer.
	Called struct{ Heartbeat }

	// Refused tells that the address of a daemon refused a connection.
	Refused struct{ Incarnation string }

	// HostList is the platform's list as of a time by the platform's clock, which showed a time from Earliest to Latest when
	// it answered.
	HostList struct {
		AsOf     time.Time
		AskedAt  time.Time // AskedAt is by the clock of this daemon.
		Earliest time.Time
		Latest   time.Time // Latest is zero if the answer does not tell the platform's time.
		Hosts    []ListedHost
	}

	// ListedHost is one line of the host list.
	ListedHost struct {
		Name     string
		Upstream bool // Upstream tells an upstream from an entry host.
		State    HostState
	}

	// UpstreamSeen tells that an upstream answered a request sent at AskedAt, and with which incarnation.
	UpstreamSeen struct {
		Upstream    string
		Incarnation string
		AskedAt     time.Time
	}

	// UpstreamRefused tells that an upstream itself said that it is leaving.
	UpstreamRefused struct {
		Upstream    string
		Incarnation string
	}

	// Lease is the state of a cell lease in the log; Holder is empty if it is free or released.
	Lease struct {
		Cell       string
		DataCentre string
		Offset     int64
		Holder     string
	}

	// Tick is the event for a requested Wake.
	Tick struct{}

	// Beat sends a heartbeat to the daemons with the addresses.
	Beat struct {
		To        []string
		Heartbeat Heartbeat
	}

	// RecordGone asks to append a memberGone record for a daemon that is proven gone.
	RecordGone struct {
		Incarnation string
		Proof       string
	}

	// TakeOver asks to append a lease record for the cell on the base.
	TakeOver struct {
		Cell string
		Base int64
	}

	// Evicted tells that the log records this incarnation as gone, so it must stop.
	Evicted struct{}

	// LeavingChanged tells whether new work may go to an upstream.
	LeavingChanged struct {
		Upstream string
		Leaving  bool
		First    time.Time // First is the time of the first evidence at any daemon, by the platform's clock.
	}

	// Wake asks for a Tick at the time At.
	Wake struct{ At time.Time }

	// Peer is a daemon as this daemon sees it.
	Peer struct {
		Identity
		Offset     int64
		LogContact time.Time // LogContact is when the peer last read the log to its end.
		LastHeard  time.Time // LastHeard is when its last heartbeat arrived; zero means never.
		Current    bool
		Draining   bool
		Recorded   bool // Recorded tells that the log has its memberUp record.
		Lost       bool // Lost tells that it missed heartbeats or is proven gone.
		Gone       bool // Gone tells that it is proven gone.
	}
)

func (Up) event()              {}
func (Down) event()            {}
func (Self) event()            {}
func (Heartbeat) event()       {}
func (Refused) event()         {}
func (HostList) event()        {}
func (UpstreamSeen) event()    {}
func (UpstreamRefused) event() {}
func (Lease) event()           {}
func (Tick) event()            {}

func (Beat) action()           {}
func (RecordGone) action()     {}
func (TakeOver) action()       {}
func (Evicted) action()        {}
func (LeavingChanged) action() {}
func (Wake) action()           {}
