package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

type (
	// Settings are the fixed properties of an engine; an operation whose rate or duration is zero takes no time.
	Settings struct {
		Name          string
		CapacityBytes int64
		Slots         int // number of requests that a replica runs concurrently
		ChecksFence   bool
		TokenTime     time.Duration // time between two tokens of a request that runs alone
		// BatchSlope is the fraction of TokenTime that each further request in the batch adds to a step.
		BatchSlope    float64
		PrefillTime   time.Duration // time for each prompt word that is not cached
		PrefixBlocks  int           // size of the prefix cache in blocks
		DefaultTokens int           // length of an answer if the request sets none
		StatusLag     time.Duration // age of the load figures in the status
		EventLag      time.Duration // time until a cache event is published
		EventLoss     float64       // fraction of cache events that are never published
		// MemoryRate, DiskRate and RemoteRate are the speeds of loads from each tier, in bytes per second.
		MemoryRate, DiskRate, RemoteRate int64
		// MemoryCopies and DiskCopies are the maximum numbers of checkpoints cached in each tier.
		MemoryCopies, DiskCopies int
		// AdapterMin and AdapterMax bound the duration of an adapter load.
		AdapterMin, AdapterMax time.Duration
		// Cached lists the checkpoints that are cached at the start.
		Cached []wire.CachedCopy
		// Remote performs a load from the weight store; if it is nil, the load takes the nominal time.
		Remote func(context.Context, wire.StoreLoadRequest) error
	}

	// Engine is a simulated model engine.
	Engine struct {
		settings Settings
		faults   *stand.Faults[Faults]
		mu       sync.Mutex

		// A restart resets the fields from here to blocks.
		incarnation  *incarnation
		highestFence int64
		usedBytes    int64
		orders       map[string]*order
		replicas     []*replica
		requests     map[string][]*request
		importedKV   map[wire.KVCache]int // from an imported KV cache, with NextToken set to zero, to its NextToken
		loadHistory  *stand.DelayedValue[loadFigures]
		blocks       *blockCache

		tiers  tiers
		audit  audit
		closed bool
	}

	// incarnation is one run of the engine, from its start to a restart.
	incarnation struct {
		name   string
		ctx    context.Context // ends with the incarnation
		cancel context.CancelFunc
	}
)

// New returns an engine without models.
func New(settings Settings) *Engine {
	settings.Slots = max(settings.Slots, 1)
	settings.DefaultTokens = max(settings.DefaultTokens, 1)
	e := &Engine{
		settings: settings,
		faults:   stand.NewFaults(Faults.validate),
		tiers:    newTiers(settings),
		audit:    newAudit(),
	}
	e.startIncarnation()
	return e
}

// Close ends all requests, loads and blocked calls.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.incarnation.cancel()
}

// SetFaults replaces the fault document.
func (e *Engine) SetFaults(f Faults) error { return e.faults.Set(f) }

// Restart starts a new incarnation: connections close, and models, orders, the contents of memory and the highest fence are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	if e.closed {
		return
	}
	now := time.Now()
	for _, p := range e.replicas {
		e.audit.replicaFreed(p, now)
	}
	e.audit.restarts++
	e.tiers.dropMemory()
	e.incarnation.cancel()
	e.startIncarnation()
}

// startIncarnation resets the state that a restart loses and starts a new incarnation.
func (e *Engine) startIncarnation() {
	ctx, cancel := context.WithCancel(context.Background())
	// The name must differ between processes that have the same settings.
	e.incarnation = &incarnation{name: fmt.Sprintf("%s-%016x", e.settings.Name, rand.Uint64()), ctx: ctx, cancel: cancel}
	e.highestFence, e.usedBytes = 0, 0
	e.orders = make(map[string]*order)
	e.replicas = nil
	e.requests = make(map[string][]*request)
	e.importedKV = make(map[wire.KVCache]int)
	e.loadHistory = stand.NewDelayedValue(e.settings.StatusLag, loadFigures{})
	e.blocks = newBlockCache(e.settings)
}
