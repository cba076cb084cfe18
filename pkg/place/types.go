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
	// AlreadyDone means that the upstream was already in the ordered state.
	AlreadyDone
	// Conflict means that another order is in progress or that the expected number of accepted orders is wrong.
	Conflict
	// Fenced means that the upstream has seen a higher fence.
	Fenced
	// Rejected means that the upstream does not know the model or adapter.
	Rejected
	// Replaced means that another upstream, or another incarnation, answered at the address.
	Replaced
	// NoAnswer means that the order may have been accepted or may still be accepted.
	NoAnswer
)

type (
	// Op is the operation of an order.
	Op int

	// Answer is the upstream's answer to an order.
	Answer int

	// Key identifies a model or one of its adapters.
	Key struct {
		Model   string
		Adapter string // empty for the model itself
	}

	// Order is an instruction to an upstream to load or unload a model or adapter.
	Order struct {
		Upstream string
		Born     int64 // incarnation of the upstream that the order is for
		Op       Op
		Key      Key
		Expect   int64 // number of orders that the upstream must have accepted before
	}

	// Action is either an order to send or a report to request.
	Action struct {
		Order  *Order
		Report string // ID of the upstream to request a report from; empty for an order
	}

	// Report is an upstream's state as sent on request; it may be up to Settings.ReportLag old.
	Report struct {
		Born            int64
		Accepted        int64 // number of orders accepted by this incarnation
		Busy            bool  // set while a model is being loaded
		Held            []fleet.Held
		LoadingAdapters []Key // adapters being loaded, which already occupy adapter slots
		InMemory        []string
		OnDisk          []string
	}

	// PendingRequest is a request that waits for a model or adapter. The host sends it to the controller again
	// periodically while the request waits.
	PendingRequest struct {
		Request    string
		Service    string
		DataCentre string
		Key        Key
		Deadline   time.Time
		Avoid      []string // IDs of upstreams that the host must not use now
	}

	// Use counts one host's requests for a model or adapter at an upstream.
	Use struct {
		Upstream string
		Key      Key
		Running  int
		Started  int // number of requests sent since the host's previous report
		Served   int // number of requests served since then
	}

	// Forecast says where a pending request can run now, or when it can run.
	Forecast struct {
		Upstream string    // ID of an upstream that can run the request now; empty if there is none
		ReadyAt  time.Time // predicted time of readiness if Upstream is empty; zero means unknown
	}

	// Settings are the parameters of a Controller.
	Settings struct {
		// StoreSlots is the number of concurrent loads from the weight store that are assumed to run at full speed until loads
		// have been observed.
		StoreSlots int
		// LoadWindow is the time window of the limit on the rate of loads from the weight store, fleet.Engine.LoadsPerSecond.
		LoadWindow time.Duration
		// BackgroundLoads is the number of concurrent loads from the weight store below which models that no upstream has a copy
		// of are loaded in the background.
		BackgroundLoads int
		// AdapterTime is the expected time of an adapter load.
		AdapterTime time.Duration
		// ReportLag is the maximum age of a report's content.
		ReportLag time.Duration
		// QuietTime is how long an upstream's published state is not trusted after the last order to it.
		QuietTime time.Duration
		// RequestTTL is how long a request stays pending without being repeated.
		RequestTTL time.Duration
		// MinResidency is how long a loaded model is kept before any host reports a request for it: the requests that it was
		// loaded for need time to arrive, and hosts report them with their next heartbeats.
		MinResidency time.Duration
		// BusyResidency is how long a model is kept before it may be unloaded although it has requests in progress.
		BusyResidency time.Duration
		// DrainTime is the expected time of an unload that waits for requests in progress, until such unloads have been observed.
		DrainTime time.Duration
		// RateTimeConstant is the time constant of the moving average of the request rates.
		RateTimeConstant time.Duration
		// PromptTime is the mean time that an engine reads one prompt, which delays the responses in progress there.
		PromptTime time.Duration
		// ReplicaRate is the number of requests per second that one replica serves without long queues.
		ReplicaRate float64
		// ReplicaUtilisation is the target share of a replica's slots in use, from 0 to 1.
		ReplicaUtilisation float64
		// ReplicaRequests is the target number of requests in progress per replica, if that is fewer than ReplicaUtilisation
		// allows.
		ReplicaRequests float64
		// SecondReplicaRate is the request rate above which a model has two replicas, in requests per second.
		SecondReplicaRate float64
		// MinRate is the minimum request rate assumed for a model without adapters, in requests per second; adapters raise it.
		MinRate float64
		// FailureBackoff is how long an upstream gets no loads after a failed load or a refused order.
		FailureBackoff time.Duration
	}

	// Stats holds counts for metrics.
	Stats struct {
		Upstreams       int
		Loading         int // number of loads in progress
		StoreLoads      int // number of loads from the weight store that are ordered or in progress
		InDoubt         int // number of upstreams with an order in doubt
		PendingRequests int // number of requests that wait for a model or adapter
		Loads           int // total number of accepted loads of models
		StoreLoaded     int // total number of those that read from the weight store
		DiskLoaded      int // total number of those that read from the upstream's disk
		MemoryLoaded    int // total number of those that read from the upstream's host memory
		Unloads         int // total number of accepted unloads of models
		Drains          int // total number of those that waited for requests in progress known to the controller
		Blocked         int // number of models with pending requests that wait for memory on an upstream with a copy
		OnlyCopies      int // number of models with a copy on one upstream only
		CopiedModels    int // number of models that some upstream has loaded or on disk
	}
)

// DefaultSettings returns the settings for the deployments described in docs/platform.md.
func DefaultSettings() Settings {
	return Settings{
		StoreSlots:         4,
		LoadWindow:         5 * time.Second,
		BackgroundLoads:    3, // leaves one slot at full speed to pending requests
		AdapterTime:        25 * time.Millisecond,
		ReportLag:          500 * time.Millisecond,
		QuietTime:          3 * time.Second,
		RequestTTL:         2 * time.Second,
		MinResidency:       1500 * time.Millisecond, // two heartbeats, from the host and from its hub, and a short delay at the host
		BusyResidency:      4 * time.Second,         // a few responses, so that two models do not take turns faster than they serve
		DrainTime:          2 * time.Second,
		RateTimeConstant:   3 * time.Second,
		PromptTime:         60 * time.Millisecond,
		ReplicaRate:        7, // A prompt of 1,500 tokens takes 80 ms of engine time, and its chunks delay other requests' tokens.
		ReplicaUtilisation: 0.25,
		ReplicaRequests:    12,
		SecondReplicaRate:  1,
		MinRate:            0.02,
		FailureBackoff:     5 * time.Second,
	}
}

// String returns the operation's name for logs.
func (o Op) String() string { return [...]string{"load", "unload"}[o] }

// String returns the answer's name for logs.
func (a Answer) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "rejected", "replaced", "noAnswer"}[a]
}
