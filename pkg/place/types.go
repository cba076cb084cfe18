package place

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// The operations of an order.
const (
	Load Op = iota
	Unload
)

// The answers to an order.
const (
	// Accepted means that the upstream carries the order out.
	Accepted Answer = iota
	// Holds means that what the order asks for was already true.
	Holds
	// Conflict means that another order is under way or that the expected number of orders differs.
	Conflict
	// Fenced means that the upstream has seen a higher fence.
	Fenced
	// Rejected means that the upstream does not know what was asked for.
	Rejected
	// Replaced means that another upstream answers at the address.
	Replaced
	// NoAnswer means that the order may have been accepted or may be accepted later.
	NoAnswer
)

type (
	// Op is what an order does.
	Op int

	// Answer is the answer to an order.
	Answer int

	// Key names a model, or an adapter of it.
	Key struct {
		Model   string
		Adapter string // Adapter is empty for the model itself.
	}

	// Order asks an upstream to load or unload.
	Order struct {
		Upstream string
		Born     int64 // Born is the life of the upstream for which the order is meant.
		Op       Op
		Key      Key
		Expect   int64 // Expect is the number of orders that the upstream has accepted before.
	}

	// Action is an order, or a report that is wanted.
	Action struct {
		Order  *Order
		Report string // Report names an upstream whose report is wanted.
	}

	// Report is what an upstream answers when it is asked; it may be some hundred milliseconds old.
	Report struct {
		Born     int64
		Accepted int64 // Accepted is the number of orders accepted in this life.
		Busy     bool
		Held     []fleet.Held
		Coming   []Key // Coming lists the adapters that are being loaded; they take their places already.
		InMemory []string
		OnDisk   []string
	}

	// Want is a request that waits for a model or adapter. It is repeated while the request waits.
	Want struct {
		Request    string
		Service    string
		DataCentre string
		Key        Key
		Deadline   time.Time
	}

	// Use is what one host has in progress at an upstream.
	Use struct {
		Upstream string
		Key      Key
		Running  int
		Started  int // Started counts the requests sent since the last Use.
	}

	// Forecast answers a Want.
	Forecast struct {
		Upstream string    // Upstream is where the request can run now; it is empty if there is none.
		ReadyAt  time.Time // ReadyAt is the predicted time of readiness if there is none; zero means unknown.
	}

	// Settings are the parameters of a Controller.
	Settings struct {
		// StoreSlots is the number of loads from the weight store that run at full speed at once.
		StoreSlots int
		// StoreExtra is how many loads beyond StoreSlots waiting requests may start.
		StoreExtra int
		// LoadWindow is the window of the limit on loads from the weight store, of which each engine service states the rate.
		LoadWindow time.Duration
		// Background is the number of loads that may run without a waiting request.
		Background int
		// AdapterTime is the expected time of an adapter load.
		AdapterTime time.Duration
		// ReportLag is how old the content of a report may be.
		ReportLag time.Duration
		// Settle is how long after its last order the published state of an upstream is not trusted.
		Settle time.Duration
		// WantLife is how long a want counts without being repeated.
		WantLife time.Duration
		// KeepTime is how long a loaded model stays if no host tells of a request at it. The requests for which it was loaded need
		// time to reach it, and hosts tell of them with their next heartbeats.
		KeepTime time.Duration
		// RateTime is the time constant of the request rates.
		RateTime time.Duration
		// ReplicaRate is the number of requests a second that one replica serves without long waits.
		ReplicaRate float64
		// ReplicaShare is the share of the slots of a replica that is to be in use.
		ReplicaShare float64
		// ReplicaRunning is the number of requests in progress for which one replica is enough, whatever its slots are.
		ReplicaRunning float64
		// BusyRate is the rate from which on a model has two replicas, in requests a second.
		BusyRate float64
		// RareRate is the assumed rate of a model that is not asked for, in requests a second.
		RareRate float64
		// FailureTime is how long an upstream gets no load after one failed.
		FailureTime time.Duration
	}

	// Stats are figures for metrics.
	Stats struct {
		Upstreams  int
		Loading    int // Loading counts the loads in progress.
		StoreLoads int // StoreLoads counts those of them from the weight store.
		InDoubt    int // InDoubt counts the orders without an answer.
		Waiting    int // Waiting counts the requests that wait.
		Loads      int // Loads counts the loads that were accepted.
		Unloads    int // Unloads counts the unloads that were accepted.
		Copied     int // Copied counts the models of which some upstream keeps a copy.
	}
)

// DefaultSettings returns the settings for the deployments described in docs/platform.md.
func DefaultSettings() Settings {
	return Settings{
		StoreSlots:     4, // the weight store's sheet: 4 at once at full speed
		StoreExtra:     2,
		LoadWindow:     5 * time.Second,
		Background:     3, // leaves one slot at full speed to a waiting request
		AdapterTime:    25 * time.Millisecond,
		ReportLag:      500 * time.Millisecond,
		Settle:         3 * time.Second,
		WantLife:       2 * time.Second,
		KeepTime:       1500 * time.Millisecond, // two heartbeats, the second one that of the hub, and a short wait for the host
		RateTime:       3 * time.Second,
		ReplicaRate:    7, // a prompt of 1,500 tokens takes 80 ms of an engine, and its chunks delay the tokens of the others
		ReplicaShare:   0.25,
		ReplicaRunning: 12,
		BusyRate:       1,
		RareRate:       0.02,
		FailureTime:    5 * time.Second,
	}
}

// String returns the operation as it appears in logs.
func (o Op) String() string { return [...]string{"load", "unload"}[o] }

// String returns the answer as it appears in logs.
func (a Answer) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "rejected", "replaced", "noAnswer"}[a]
}
