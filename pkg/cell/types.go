package cell

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The operations that an order can request.
const (
	OpLoad          Op = "load"
	OpUnload        Op = "unload"
	OpLoadAdapter   Op = "loadAdapter"
	OpUnloadAdapter Op = "unloadAdapter"
	OpFence         Op = "fence" // changes only the highest fencing number that the engine has seen
)

// The states of an order as reported in an OrderResult.
const (
	// OrderUnknown means that no answer arrived: the order may or may not have been applied.
	OrderUnknown OrderState = iota
	// OrderPending means that the engine accepted the order and has not finished it.
	OrderPending
	// OrderDone means that the engine finished the order.
	OrderDone
	// OrderFailed means that the engine abandoned the order without effect.
	OrderFailed
	// OrderRefusedStale means that the engine refused the order because it had seen a higher fencing number.
	OrderRefusedStale
	// OrderNeverSeen means that the engine answered a query and does not know the order.
	OrderNeverSeen
)

// The tiers from which a checkpoint can be loaded, nearest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
)

type (
	// Op is the operation that an order requests.
	Op string

	// OrderState is the known state of an order.
	OrderState int

	// Tier is the storage tier in which a checkpoint is cached.
	Tier int

	// Event is an input of the controller.
	Event interface{ isEvent() }

	// Action is an output of the controller.
	Action interface{ isAction() }

	// LeaseTerm identifies one term of the cell lease.
	LeaseTerm struct {
		Holder string
		Fence  int64
	}

	// LeaseGained reports that this daemon holds the cell lease.
	LeaseGained struct {
		Fence int64
		// PriorHolder is the previous holder. It is empty if there was none, if this daemon was the holder, or if the
		// previous holder is known to have released the lease.
		PriorHolder string
		PriorFence  int64 // term of PriorHolder; with zero, any release by that holder counts
		// EarlierTerms lists older terms of other daemons that have not released the lease and are not proven gone.
		EarlierTerms []LeaseTerm
	}

	// LeaseLost reports that a later record transferred the lease to another holder.
	LeaseLost struct{}

	// LeaseConfirmed reports that the lease was still held at the time At.
	LeaseConfirmed struct{ At time.Time }

	// PriorReleased reports that an earlier holder released its lease with no order in flight, or that it is proven
	// gone.
	PriorReleased struct {
		Holder string // empty means all earlier holders
		Fence  int64  // latest term that was released; zero means all terms of the holder
	}

	// Demand reports how many requests wait at a host for a model and adapter. It replaces the host's previous Demand
	// for the same model and adapter.
	Demand struct {
		Host             string
		Model            string
		Adapter          string
		Urgent           int
		Normal           int
		Bulk             int
		EarliestDeadline time.Time // zero means that no waiting request has a deadline
		Elsewhere        bool      // whether the host requests the model from another cell if this cell has no memory
	}

	// Use reports how many requests for a model are in progress at upstreams on behalf of a host.
	Use struct {
		Host     string
		Model    string
		InFlight int
		Urgent   int // part of InFlight
	}

	// UpstreamAdded reports that an engine joined the cell, that it is live again or that its entry in the host list
	// changed.
	UpstreamAdded struct {
		Upstream      string
		CapacityBytes int64
		Slots         int // limit of concurrent requests on the upstream; zero means no limit
		ChecksFence   bool
	}

	// UpstreamStatus carries the status of an engine.
	UpstreamStatus struct {
		Upstream string
		AskedAt  time.Time // when the status was requested
		Status   Status
	}

	// OrderResult answers an Order or a Query.
	OrderResult struct {
		OrderID string
		Attempt int // copied from the Order or Query
		State   OrderState
	}

	// PermitChanged reports the number of replica permits that the cell holds for a model.
	PermitChanged struct {
		Model  string
		Count  int
		Offset int64 // log offset of the permit record; the next Claim names it as its Base
		Frozen bool  // set when the permits of all cells together exceed maxReplicas, so that no load may start
	}

	// PermitAsked requests that the cell reduce its permits for a model to Count, because another cell needs one or
	// because maxReplicas was lowered.
	PermitAsked struct {
		Model string
		Count int
		// Distance is the Claim.Distance of the requesting cell; a cell without work yields only to a smaller distance
		// than its own.
		Distance int
		Force    bool // whether to drain busy replicas too, because maxReplicas was lowered
	}

	// StoreReport reports the state of the weight store as it affects this cell.
	StoreReport struct {
		Slowdown float64 // factor on load times; 1 is full speed
	}

	// UpstreamLeaving reports that an upstream will be stopped.
	UpstreamLeaving struct{ Upstream string }

	// UpstreamGone reports that an upstream is proven gone, with everything it had loaded.
	UpstreamGone struct{ Upstream string }

	// ViewChanged replaces the configuration.
	ViewChanged struct{ View *spec.View }

	// Tick is the event that a Wake requests.
	Tick struct{}

	// Status is the state that an engine reports.
	Status struct {
		Incarnation   string
		CapacityBytes int64
		UsedBytes     int64
		OrdersPending int
		HighestFence  int64
		ReportedAt    time.Time // time of the Running and Waiting figures; zero means AskedAt
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

	// CachedCopy reports the nearest tier in which an engine's host keeps a checkpoint.
	CachedCopy struct {
		Model   string
		Version string
		Tier    Tier
	}

	// Order requests a change of what an engine has loaded; an OrderID is never used for two orders.
	Order struct {
		OrderID  string
		Attempt  int
		Upstream string
		// Incarnation is the engine incarnation that the order is for; empty means any. See Settings.PinnedOrders.
		Incarnation string
		Fence       int64
		Op          Op
		Model       string
		Version     string
		Adapter     string
		Bytes       int64
	}

	// Query asks an engine for the state of an order.
	Query struct {
		OrderID  string
		Attempt  int
		Upstream string
	}

	// Claim requests a number of permits for a model from the log; a Count below the held number yields permits. A
	// claim is repeated until a PermitChanged answers it.
	Claim struct {
		Fence int64 // lease under which the claim is made; the record has no effect under any other
		Base  int64 // offset of the permit record on which the claim is based; zero means none
		Model string
		Count int
		// Distance ranks cells that claim a permit in advance by how near they keep the checkpoint. It is zero when
		// work waits for the permit.
		Distance int
	}

	// Publish replaces the directory of the cell; a higher Fence, then a higher Seq, is newer.
	Publish struct {
		Fence    int64
		Seq      uint64
		Replicas []Replica
	}

	// Replica is an entry of the directory.
	Replica struct {
		Upstream string
		Model    string
		Version  string
		Slots    int
		Ready    bool
		ReadyAt  time.Time // predicted end of the load; set only while Ready is false
		Adapters []string
	}

	// Forecast answers a Demand and is repeated when the prediction changes.
	Forecast struct {
		Host       string
		Model      string
		Adapter    string
		ReadyAt    time.Time // predicted time at which the model is ready; zero means unknown
		Refused    bool
		Code       codes.Code    // reason for a refusal
		RetryAfter time.Duration // time after which a retry by a refused caller is predicted to succeed
		Others     int           // requests for the model that wait at other hosts
	}

	// Released reports that the lease with this fence was lost and that none of its orders is in flight or in doubt any
	// more.
	Released struct{ Fence int64 }

	// ReadStatus requests a status of the upstream at once, ahead of the next regular one.
	ReadStatus struct{ Upstream string }

	// Wake requests a Tick at the time At and replaces any earlier Wake.
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
