package wire

import (
	"encoding/json"
	"time"
)

// The header names of engine requests and answers.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"    // HeaderPriority is 0 (urgent), 1 (normal) or 2 (bulk).
	HeaderResumeFrom = "X-Resume-From" // HeaderResumeFrom is the index of the first token wanted.
	HeaderNotRun     = "X-Not-Run"     // HeaderNotRun is "true" on an engine's refusal of a request it did not start.
)

// The states of an order at an engine.
const (
	OrderPending OrderState = "pending"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
	OrderStale   OrderState = "staleFence"
	OrderUnknown OrderState = "unknown"
)

// The operations of an order.
const (
	OpLoad          Op = "load"
	OpUnload        Op = "unload"
	OpLoadAdapter   Op = "loadAdapter"
	OpUnloadAdapter Op = "unloadAdapter"
	OpFence         Op = "fence" // OpFence changes nothing but raises the highest fencing number seen.
)

// The tiers from which a checkpoint can be loaded, nearest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// The states and kinds of a host in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"

	KindEntry   HostKind = "entry"
	KindEngine  HostKind = "engine"
	KindService HostKind = "service"
)

type (
	// OrderState is the state of an order.
	OrderState string

	// Op is what an order asks for.
	Op string

	// Tier is where a checkpoint is cached.
	Tier string

	// HostState is what the host list says of a host.
	HostState string

	// HostKind is what runs on a host.
	HostKind string

	// AppendAnswer answers POST /v1/streams/{stream}/records.
	AppendAnswer struct {
		Offset int64 `json:"offset"`
	}

	// LogRecord is one record of a stream.
	LogRecord struct {
		Offset int64           `json:"offset"`
		At     time.Time       `json:"at"`
		Data   json.RawMessage `json:"data"`
	}

	// ReadAnswer answers GET /v1/streams/{stream}/records?from=&limit=&waitMillis=; a from below first answers 410 with
	// an empty list. End is the offset that the next append will get.
	ReadAnswer struct {
		First   int64       `json:"first"`
		End     int64       `json:"end"`
		Records []LogRecord `json:"records"`
	}

	// HostList answers GET /v1/hosts. The header Age tells in seconds how old the list is, and ETag names its content; with
	// that name in If-None-Match an unchanged list is answered with 304.
	HostList struct {
		Hosts []Host `json:"hosts"`
		// AsOf is a time at which the list was true, and Date the time of the answer to the second; both are by the platform's
		// clock.
		AsOf time.Time `json:"-"`
		Date time.Time `json:"-"`
		Tag  string    `json:"-"`
	}

	// Host is one line of the host list.
	Host struct {
		Name       string    `json:"name"`
		Address    string    `json:"address"` // Address is IP:port.
		DataCentre string    `json:"dataCentre"`
		Kind       HostKind  `json:"kind"`
		Service    string    `json:"service,omitempty"` // Service names the plain service of a service host.
		State      HostState `json:"state"`
		// ChecksFence tells that an engine refuses orders with an old fencing number; operators set it.
		ChecksFence bool `json:"checksFence,omitempty"`
	}

	// Order is the body of POST /v1/orders at an engine. Orders are idempotent by ID.
	Order struct {
		ID      string `json:"id"`
		Fence   int64  `json:"fence"`
		Op      Op     `json:"op"`
		Model   string `json:"model,omitempty"`
		Version string `json:"version,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Bytes   int64  `json:"bytes,omitempty"`
	}

	// OrderAnswer answers POST /v1/orders (202, or 409 with OrderStale) and GET /v1/orders/{id} (404 with OrderUnknown
	// when the engine never saw the order).
	OrderAnswer struct {
		ID     string     `json:"id"`
		State  OrderState `json:"state"`
		Detail string     `json:"detail,omitempty"`
	}

	// EngineStatus answers GET /v1/status. The load figures (Running, Waiting, and those of replicas) are as of
	// ReportedAt, which lags; the replica list, orders and memory are current.
	EngineStatus struct {
		Name          string          `json:"name"`
		Incarnation   string          `json:"incarnation"`
		CapacityBytes int64           `json:"capacityBytes"`
		UsedBytes     int64           `json:"usedBytes"`
		HighestFence  int64           `json:"highestFence"`
		Leaving       bool            `json:"leaving"`
		OrdersPending int             `json:"ordersPending"`
		ReportedAt    time.Time       `json:"reportedAt"`
		Running       int             `json:"running"`
		Waiting       int             `json:"waiting"`
		Replicas      []EngineReplica `json:"replicas"`
		Cached        []CachedCopy    `json:"cached"`
		Date          time.Time       `json:"-"` // Date is the time of the answer to the second, by the engine's clock.
	}

	// EngineReplica is a model that an engine has loaded or is loading.
	EngineReplica struct {
		Model    string   `json:"model"`
		Version  string   `json:"version"`
		Bytes    int64    `json:"bytes"`
		Slots    int      `json:"slots"`
		Ready    bool     `json:"ready"`
		Running  int      `json:"running"`
		Waiting  int      `json:"waiting"`
		Adapters []string `json:"adapters"`
	}

	// CachedCopy tells the nearest tier in which an engine's host keeps a checkpoint.
	CachedCopy struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Tier    Tier   `json:"tier"`
	}

	// StoreStatus answers GET /v1/status at the weight store.
	StoreStatus struct {
		LoadsPerSecond float64 `json:"loadsPerSecond"`
		Slots          int     `json:"slots"`
		InUse          int     `json:"inUse"`
		Slowdown       float64 `json:"slowdown"` // Slowdown is 1 at full speed.
	}

	// Problem is an RFC 9457 problem document with the system's extension members.
	Problem struct {
		Type              string  `json:"type"`
		Title             string  `json:"title"`
		Status            int     `json:"status"`
		Detail            string  `json:"detail,omitempty"`
		Instance          string  `json:"instance,omitempty"`
		Code              int     `json:"code"`
		Outcome           string  `json:"outcome"`
		Field             string  `json:"field,omitempty"`
		RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
	}

	// AddressAnswer answers GET /v1/address: addresses in order of preference, valid for the lifetime.
	AddressAnswer struct {
		Addresses       []string `json:"addresses"`
		LifetimeSeconds float64  `json:"lifetimeSeconds"`
	}

	// PlainRuns answers GET /v1/runs?key= at the stand-in of a plain service.
	PlainRuns struct {
		Runs int `json:"runs"`
	}
)
