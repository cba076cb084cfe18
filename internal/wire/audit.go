package wire

import "time"

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

type (
	// CacheEventKind tells what happened to a block of the prefix cache.
	CacheEventKind string

	// CacheEvent tells of one block of an engine's prefix cache; see PrefixBlocks for its name.
	CacheEvent struct {
		Seq   int64          `json:"seq"`
		At    time.Time      `json:"at"`
		Kind  CacheEventKind `json:"kind"`
		Block string         `json:"block"`
	}

	// EventsAnswer answers GET /v1/events?from=&limit= at an engine. Sequence numbers have gaps where events were lost,
	// and Next is the from of the next read.
	EventsAnswer struct {
		Incarnation string       `json:"incarnation"`
		Next        int64        `json:"next"`
		Events      []CacheEvent `json:"events"`
	}

	// CancelAnswer answers DELETE /v1/requests/{id}. NextToken is the index of the first token that was not produced.
	CancelAnswer struct {
		ID        string `json:"id"`
		Started   bool   `json:"started"`
		NextToken int    `json:"nextToken"`
	}

	// KVCache answers GET /v1/requests/{id}/kv and is the body of POST /v1/kv at another engine, which then continues
	// the request without computing the prompt and the first NextToken tokens again.
	KVCache struct {
		Model     string `json:"model"` // Model is "model" or "model:adapter".
		Prompt    string `json:"prompt"`
		NextToken int    `json:"nextToken"`
	}

	// StoreLoad is the body of POST /v1/loads at the weight store, which answers with StoreLoaded when the load is done.
	StoreLoad struct {
		Model   string `json:"model"`
		Version string `json:"version,omitempty"`
		Adapter string `json:"adapter,omitempty"` // Adapter makes it an adapter load, which has limits of its own.
		// Micros is the time of the load at full speed, in microseconds.
		Micros int64 `json:"micros"`
	}

	// StoreLoaded tells how long a load waited for its start and how long it took, in microseconds.
	StoreLoaded struct {
		WaitedMicros int64 `json:"waitedMicros"`
		TookMicros   int64 `json:"tookMicros"`
	}

	// EngineAudit answers GET /v1/audit at the stand-in of an engine, over all its incarnations.
	EngineAudit struct {
		Loads            int           `json:"loads"` // Loads counts the finished loads of models.
		AdapterLoads     int           `json:"adapterLoads"`
		Restarts         int           `json:"restarts"`
		StaleOrders      int           `json:"staleOrders"`
		CapacityBytes    int64         `json:"capacityBytes"`
		UsedBytesMax     int64         `json:"usedBytesMax"`
		CapacityExceeded int           `json:"capacityExceeded"` // CapacityExceeded counts the loads that did not fit.
		Models           []ModelAudit  `json:"models"`
		Replicas         []ReplicaSpan `json:"replicas"`
		Requests         []RequestRuns `json:"requests"`
	}

	// ModelAudit tells the largest number of replicas of a model that an engine held at once, loading ones included.
	ModelAudit struct {
		Model       string `json:"model"`
		MaxReplicas int    `json:"maxReplicas"`
	}

	// ReplicaSpan is the time during which a replica held memory; To is zero while it does. Spans of several engines
	// together show whether more replicas existed than were decided.
	ReplicaSpan struct {
		Model   string    `json:"model"`
		Version string    `json:"version"`
		OrderID string    `json:"orderId"`
		Bytes   int64     `json:"bytes"`
		From    time.Time `json:"from"`
		Ready   time.Time `json:"ready"`
		To      time.Time `json:"to"`
	}

	// RequestRuns tells how often an engine started a request; Resumes counts those with a resume index above zero.
	RequestRuns struct {
		ID      string `json:"id"`
		Starts  int    `json:"starts"`
		Resumes int    `json:"resumes"`
	}

	// PlainTotals answers GET /v1/runs at the stand-in of a plain service. Repeated counts the keys that ran more than
	// once.
	PlainTotals struct {
		Runs     int `json:"runs"`
		Keys     int `json:"keys"`
		Unkeyed  int `json:"unkeyed"` // Unkeyed counts the runs without an idempotency key.
		Repeated int `json:"repeated"`
	}
)
