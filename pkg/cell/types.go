package cell

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The operations of an order.
const (
	OpLoad          Op = "load"
	OpUnload        Op = "unload"
	OpLoadAdapter   Op = "loadAdapter"
	OpUnloadAdapter Op = "unloadAdapter"
	OpFence         Op = "fence" // OpFence changes nothing but raises the highest fencing number seen.
)

// The states of an order in an OrderResult.
const (
	// OrderUnknown says that no answer came: the order may or may not have been applied.
	OrderUnknown OrderState = iota
	// OrderPending says that the engine accepted the order and has not finished it.
	OrderPending
	// OrderDone says that the engine finished the order.
	OrderDone
	// OrderFailed says that the engine gave the order up without effect.
	OrderFailed
	// OrderRefusedStale says that the engine refused the order because it had seen a higher fencing number.
	OrderRefusedStale
	// OrderNeverSeen says that the engine answered a query with the statement that it never saw the order.
	OrderNeverSeen
)

// The tiers from which a checkpoint can be loaded, nearest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
)

type (
	// Op is what an order asks an engine for.
	Op string

	// OrderState is what is known about an order.
	OrderState int

	// Tier is where a checkpoint is cached.
	Tier int

	// Event is an input of the controller.
	Event interface{ isEvent() }

	// Action is an output of the controller.
	Action interface{ isAction() }

	// Hold names one tenure of the cell lease.
	Hold struct {
		Holder string
		Fence  int64
	}

	// LeaseGained tells that this daemon holds the cell lease.
	LeaseGained struct {
		Fence int64
		// PriorHolder is the previous holder, or empty if there was none, it is this daemon or it is known to have released.
		PriorHolder string
		PriorFence  int64 // PriorFence is the tenure of PriorHolder; zero means that any release by it counts.
		// Earlier lists older tenures of other daemons without release or proof of gone.
		Earlier []Hold
	}

	// LeaseLost tells that a later record took the lease over.
	LeaseLost struct{}

	// LeaseConfirmed tells that the lease was still held at the time At.
	LeaseConfirmed struct{ At time.Time }

	// PriorReleased tells that an earlier holder released its lease with no order in flight or is proven gone.
	PriorReleased struct {
		Holder string // Holder is the earlier holder; empty means all earlier holders.
		Fence  int64  // Fence is the latest tenure that was released; zero means all tenures of the holder.
	}

	// Demand is the present number of requests that wait at a host for a model and adapter; it replaces the previous one.
	Demand struct {
		Host             string
		Model            string
		Adapter          string
		Urgent           int
		Normal           int
		Bulk             int
		EarliestDeadline time.Time // EarliestDeadline is the first deadline among the waiting; zero means none.
		Elsewhere        bool      // Elsewhere tells that the host asks another cell if this one has no memory.
	}

	// Use reports the requests of a model that a host has in progress at upstreams.
	Use struct {
		Host     string
		Model    string
		InFlight int
		Urgent   int // Urgent is the part of InFlight that is urgent.
	}

	// UpstreamAdded tells that an engine joined the cell, that it is live again, or that its host list entry changed.
	UpstreamAdded struct {
		Upstream      string
		CapacityBytes int64
		Slots         int // Slots limits the requests that run at once on the upstream; zero means no limit.
		ChecksFence   bool
	}

	// UpstreamStatus is the status of an engine.
	UpstreamStatus struct {
		Upstream string
		AskedAt  time.Time // AskedAt is when the status was requested.
		Status   Status
	}

	// OrderResult answers an Order or a Query.
	OrderResult struct {
		OrderID string
		Attempt int // Attempt is copied from the Order or Query.
		State   OrderState
	}

	// PermitChanged tells the number of replica permits that the cell holds for a model.
	PermitChanged struct {
		Model  string
		Count  int
		Offset int64 // Offset is that of the permit record; a Claim names it as its base.
		Frozen bool  // Frozen tells that the permits of all cells exceed maxReplicas, so that no load may start.
	}

	// PermitAsked asks the cell to fall to Count permits of a model, because another cell needs one or maxReplicas fell.
	PermitAsked struct {
		Model string
		Count int
		// Distance is that of the asking cell, see Claim; a cell without work yields only to a smaller one than its own.
		Distance int
		Force    bool // Force tells that busy replicas are drained too, because maxReplicas fell.
	}

	// StoreReport is the state of the weight store as it concerns this cell.
	StoreReport struct {
		Slowdown float64 // Slowdown is the factor on load times; 1 is full speed.
	}

	// UpstreamLeaving tells that an upstream will be stopped.
	UpstreamLeaving struct{ Upstream string }

	// UpstreamGone tells that an upstream is proven gone with everything it had loaded.
	UpstreamGone struct{ Upstream string }

	// ViewChanged replaces the configuration.
	ViewChanged struct{ View *spec.View }

	// Tick is the call that Wake asked for.
	Tick struct{}

	// Status is what an engine says of itself.
	Status struct {
		Incarnation   string
		CapacityBytes int64
		UsedBytes     int64
		OrdersPending int
		HighestFence  int64
		ReportedAt    time.Time // ReportedAt is the time of the Running and Waiting figures; zero means AskedAt.
		Leaving       bool
		Replicas      []StatusReplica
		Cached        []CachedCopy
	}

	// StatusReplica is a model that an engine has loaded or is loading.
	StatusReplica struct {
		Model    string
		Version  string
		Bytes    int64
		Slots    int
		Ready    bool
		Running  int
		Waiting  int
		Adapters []string
	}

	// CachedCopy tells the nearest tier in which an engine's host keeps a checkpoint.
	CachedCopy struct {
		Model   string
		Version string
		Tier    Tier
	}

	// Order asks an engine to change what is loaded; the same OrderID is never used for two orders.
	Order struct {
		OrderID  string
		Attempt  int
		Upstream string
		// Incarnation is the one that the order is meant for; empty means any. See Settings.PinnedOrders.
		Incarnation string
		Fence       int64
		Op          Op
		Model       string
		Version     string
		Adapter     string
		Bytes       int64
	}

	// Query asks an engine what became of an order.
	Query struct {
		OrderID  string
		Attempt  int
		Upstream string
	}

	// Claim asks the log for a number of permits of a model; a Count below the held number yields permits. It is repeated
	// until a PermitChanged settles it.
	Claim struct {
		Fence int64 // Fence is the lease under which the claim is made; the record is void under any other.
		Base  int64 // Base is the offset of the permit record on which the claim builds; zero means none.
		Model string
		Count int
		// Distance orders the cells that claim a permit in advance by how near they keep the checkpoint; zero tells that work
		// waits for the permit.
		Distance int
	}

	// Publish replaces the directory of the cell; a higher Fence, then a higher Seq, is newer.
	Publish struct {
		Fence    int64
		Seq      uint64
		Replicas []Replica
	}

	// Replica is one line of the directory.
	Replica struct {
		Upstream string
		Model    string
		Version  string
		Slots    int
		Ready    bool
		ReadyAt  time.Time // ReadyAt is the predicted end of the load while Ready is false.
		Adapters []string
	}

	// Forecast answers a Demand, and is repeated when the prediction changes.
	Forecast struct {
		Host       string
		Model      string
		Adapter    string
		ReadyAt    time.Time // ReadyAt is when the model is predicted to be ready; zero means unknown.
		Refused    bool
		Code       codes.Code    // Code tells the reason of a refusal.
		RetryAfter time.Duration // RetryAfter is the time after which a refused caller succeeds by prediction.
		Others     int           // Others is the number of requests for the model that wait at other hosts.
	}

	// Released tells that the lease with this fence was lost and none of its orders is in flight or in doubt any more.
	Released struct{ Fence int64 }

	// ReadStatus asks for a status of the upstream without waiting for the next regular one.
	ReadStatus struct{ Upstream string }

	// Wake asks for a Tick at the time At, in place of the time that an earlier Wake named.
	Wake struct{ At time.Time }
)

func (LeaseGained) isEvent()     {}
func (LeaseLost) isEvent()       {}
func (LeaseConfirmed) isEvent()  {}
func (PriorReleased) isEvent()   {}
func (Demand) isEvent()          {}
func (Use) isEvent()             {}
func (UpstreamAdded) isEvent()   {}
func (UpstreamStatus) isEvent()  {}
func (OrderResult) isEvent()     {}
func (PermitChanged) isEvent()   {}
func (PermitAsked) isEvent()     {}
func (StoreReport) isEvent()     {}
func (UpstreamLeaving) isEvent() {}
func (UpstreamGone) isEvent()    {}
func (ViewChanged) isEvent()     {}
func (Tick) isEvent()            {}

func (Order) isAction()      {}
func (Query) isAction()      {}
func (Claim) isAction()      {}
func (Publish) isAction()    {}
func (Forecast) isAction()   {}
func (Released) isAction()   {}
func (ReadStatus) isAction() {}
func (Wake) isAction()       {}
