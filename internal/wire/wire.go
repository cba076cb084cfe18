package wire

import (
	"encoding/json"
	"time"
)

// The header names of requests to engines and their responses.
const (
	HeaderRequestID  = "X-Request-Id"  // a response returns the value of its request
	HeaderPriority   = "X-Priority"    // 0 (urgent), 1 (normal) or 2 (bulk)
	HeaderResumeFrom = "X-Resume-From" // index of the first token to send
	HeaderNotRun     = "X-Not-Run"     // "true" if an upstream refused a request without starting it
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
	OpFence         Op = "fence" // only raises the highest fencing number that the engine has seen
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

	// Op is the operation of an order.
	Op string

	// Tier is the storage tier in which a checkpoint is cached.
	Tier string

	// HostState is the state of a host in the host list.
	HostState string

	// HostKind is the kind of process that runs on a host.
	HostKind string

	// AppendResponse is the response to POST /v1/streams/{stream}/records.
	AppendResponse struct {
		Offset int64 `json:"offset"`
	}

	// LogRecord is one record of a stream.
	LogRecord struct {
		Offset int64           `json:"offset"`
		At     time.Time       `json:"at"`
		Data   json.RawMessage `json:"data"`
	}

	// ReadResponse is the response to GET /v1/streams/{stream}/records?from=&limit=&waitMillis=. If from is less than First, the
	// status is 410 and the list is empty. End is the offset that the next appended record will get.
	ReadResponse struct {
		First   int64       `json:"first"`
		End     int64       `json:"end"`
		Records []LogRecord `json:"records"`
	}

	// HostList is the response to GET /v1/hosts. The Age header is the age of the list in seconds. If the request has the ETag
	// of an unchanged list in If-None-Match, the status is 304 without a body.
	HostList struct {
		Hosts []Host `json:"hosts"`
		// AsOf is the time at which the list was current, and Date is the time of the response with a resolution of one second.
		// Both are read from the platform's clock.
		AsOf time.Time `json:"-"`
		Date time.Time `json:"-"`
		ETag string    `json:"-"`
	}

	// Host is one entry of the host list.
	Host struct {
		Name       string    `json:"name"`
		Address    string    `json:"address"` // IP:port
		DataCentre string    `json:"dataCentre"`
		Kind       HostKind  `json:"kind"`
		Service    string    `json:"service,omitempty"` // name of the plain service; set for service hosts
		State      HostState `json:"state"`
		// ChecksFence reports whether the engine refuses orders with an outdated fencing number. Operators set it.
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

	// OrderResponse is the response to POST /v1/orders (202, or 409 with OrderStale) and to GET /v1/orders/{id} (404 with
	// OrderUnknown if the engine never received the order).
	OrderResponse struct {
		ID     string     `json:"id"`
		State  OrderState `json:"state"`
		Detail string     `json:"detail,omitempty"`
	}

	// EngineStatus is the response to GET /v1/status at an engine. Running and Waiting, also those of replicas, were measured at
	// ReportedAt, which lags behind. The replica list, orders and memory are current.
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
		Date          time.Time       `json:"-"` // time of the response by the engine's clock, with a resolution of one second
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

	// CachedCopy is the nearest tier in which the host of an engine caches a checkpoint.
	CachedCopy struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		Tier    Tier   `json:"tier"`
	}

	// StoreStatus is the response to GET /v1/status at the weight store.
	StoreStatus struct {
		LoadsPerSecond float64 `json:"loadsPerSecond"`
		Slots          int     `json:"slots"`
		InUse          int     `json:"inUse"`
		Slowdown       float64 `json:"slowdown"` // factor by which loads take longer; 1 at full speed
	}

	// Problem is an RFC 9457 problem document. Code, Outcome, Field and RetryAfterSeconds are extension members.
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

	// AddressResponse is the response to GET /v1/address. The addresses are in order of preference and valid for the lifetime.
	AddressResponse struct {
		Addresses       []string `json:"addresses"`
		LifetimeSeconds float64  `json:"lifetimeSeconds"`
	}

	// PlainRuns is the response to GET /v1/runs?key= at the stand-in for a plain service.
	PlainRuns struct {
		Runs int `json:"runs"`
	}
)
