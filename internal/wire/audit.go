package wire

import "time"

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

type (
	// CacheEventKind is the change that a cache event reports.
	CacheEventKind string

	// CacheEvent reports a change to one block of an engine's prefix cache. Block is a name that PrefixBlocks returns.
	CacheEvent struct {
		Seq   int64          `json:"seq"`
		At    time.Time      `json:"at"`
		Kind  CacheEventKind `json:"kind"`
		Block string         `json:"block"`
	}

	// EventsResponse is the response to GET /v1/events?from=&limit= at an engine. A gap in the sequence numbers means that events
	// were lost. Next is the value of from for the next read.
	EventsResponse struct {
		Incarnation string       `json:"incarnation"`
		Next        int64        `json:"next"`
		Events      []CacheEvent `json:"events"`
	}

	// CancelResponse is the response to DELETE /v1/requests/{id} at an engine. NextToken is the index of the first token that
	// was not produced.
	CancelResponse struct {
		ID        string `json:"id"`
		Started   bool   `json:"started"`
		NextToken int    `json:"nextToken"`
	}

	// KVCache is the response to GET /v1/requests/{id}/kv at an engine and the body of POST /v1/kv at another one, which can
	// then continue the request without recomputing the prompt and the first NextToken tokens.
	KVCache struct {
		Model     string `json:"model"` // "model" or "model:adapter"
		Prompt    string `json:"prompt"`
		NextToken int    `json:"nextToken"`
	}

	// StoreLoadRequest is the body of POST /v1/loads at the weight store. The response is sent when the load is done.
	StoreLoadRequest struct {
		Model   string `json:"model"`
		Version string `json:"version,omitempty"`
		Adapter string `json:"adapter,omitempty"` // set for an adapter load, which has separate limits
		// Micros is the duration of the load at full speed, in microseconds.
		Micros int64 `json:"micros"`
	}

	// StoreLoadResponse is the response to a StoreLoadRequest. It holds the time that the load was queued and the duration of the
	// load itself.
	StoreLoadResponse struct {
		WaitedMicros int64 `json:"waitedMicros"`
		TookMicros   int64 `json:"tookMicros"`
	}

	// EngineAudit is the response to GET /v1/audit at the stand-in for an engine. It covers all incarnations.
	EngineAudit struct {
		Loads            int           `json:"loads"` // completed model loads
		AdapterLoads     int           `json:"adapterLoads"`
		Restarts         int           `json:"restarts"`
		StaleOrders      int           `json:"staleOrders"`
		CapacityBytes    int64         `json:"capacityBytes"`
		UsedBytesMax     int64         `json:"usedBytesMax"`
		CapacityExceeded int           `json:"capacityExceeded"` // loads that did not fit into memory
		Models           []ModelAudit  `json:"models"`
		Replicas         []ReplicaSpan `json:"replicas"`
		Requests         []RequestRuns `json:"requests"`
	}

	// ModelAudit holds the maximum number of replicas of a model that an engine held at the same time, including replicas that
	// were still loading.
	ModelAudit struct {
		Model       string `json:"model"`
		MaxReplicas int    `json:"maxReplicas"`
	}

	// ReplicaSpan is the period in which a replica occupied memory. To is zero while the replica still occupies memory. The spans
	// of all engines together show whether there were ever more replicas than the controllers had decided on.
	ReplicaSpan struct {
		Model   string    `json:"model"`
		Version string    `json:"version"`
		OrderID string    `json:"orderId"`
		Bytes   int64     `json:"bytes"`
		From    time.Time `json:"from"`
		Ready   time.Time `json:"ready"`
		To      time.Time `json:"to"`
	}

	// RequestRuns counts the starts of a request at an engine. Resumes counts those with a resume index above zero.
	RequestRuns struct {
		ID      string `json:"id"`
		Starts  int    `json:"starts"`
		Resumes int    `json:"resumes"`
	}

	// PlainTotals is the response to GET /v1/runs at the stand-in for a plain service.
	PlainTotals struct {
		Runs     int `json:"runs"`
		Keys     int `json:"keys"`
		Unkeyed  int `json:"unkeyed"`  // runs without an idempotency key
		Repeated int `json:"repeated"` // keys with more than one run
	}
)
