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
	// Settings are the fixed properties of an engine; the zero value of a rate or duration costs no time.
	Settings struct {
		Name          string
		CapacityBytes int64
		Slots         int // Slots is the number of requests that a replica runs at once.
		ChecksFence   bool
		TokenTime     time.Duration // TokenTime is the time between two tokens of a request that runs alone.
		// BatchSlope is the share of TokenTime that each further request in the batch adds to it.
		BatchSlope    float64
		PrefillTime   time.Duration // PrefillTime is the time for each prompt word that is not cached.
		PrefixBlocks  int           // PrefixBlocks is the size of the prefix cache in blocks.
		DefaultTokens int           // DefaultTokens is the length of an answer when the request sets none.
		StatusLag     time.Duration // StatusLag is the age of the load figures in the status.
		EventLag      time.Duration // EventLag is the time until a cache event is published.
		EventLoss     float64       // EventLoss is the share of cache events that are never published.
		// MemoryRate, DiskRate and RemoteRate are the speeds of loads from the tiers, in bytes a second.
		MemoryRate, DiskRate, RemoteRate int64
		// MemoryCopies and DiskCopies are the numbers of checkpoints that the tiers keep.
		MemoryCopies, DiskCopies int
		// AdapterMin and AdapterMax bound the time of an adapter load.
		AdapterMin, AdapterMax time.Duration
		// Cached lists the checkpoints that are cached at the start.
		Cached []wire.CachedCopy
		// Remote performs a load from the weight store; nil means that it takes the nominal time.
		Remote func(context.Context, wire.StoreLoadRequest) error
	}

	// Engine is a model engine.
	Engine struct {
		set    Settings
		faults *stand.Faults[Faults]
		mu     sync.Mutex

		// The fields up to blocks are lost in a restart.
		life     *life
		fence    int64
		used     int64
		orders   map[string]*order
		replicas []*replica
		requests map[string][]*request
		kv       map[wire.KVCache]int // kv holds imported caches; its keys have no NextToken.
		load     *stand.Lag[loadFigures]
		blocks   *blockCache

		tiers  tiers
		audit  audit
		closed bool
	}

	// life is one incarnation of the engine.
	life struct {
		name string
		ctx  context.Context // ctx ends when the incarnation does.
		end  context.CancelFunc
	}
)

// New returns an engine without models.
func New(set Settings) *Engine {
	set.Slots = max(set.Slots, 1)
	set.DefaultTokens = max(set.DefaultTokens, 1)
	e := &Engine{
		set:    set,
		faults: stand.NewFaults(Faults.check),
		tiers:  newTiers(set),
		audit:  newAudit(),
	}
	e.begin()
	return e
}

// Close ends all requests, loads and waiting calls.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.life.end()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) error { return e.faults.Set(f) }

// Restart ends the incarnation: connections close, and memory, orders and the highest fence are lost.
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
		e.audit.freed(p, now)
	}
	e.audit.restarts++
	e.tiers.dropMemory()
	e.life.end()
	e.begin()
}

// begin starts an incarnation.
func (e *Engine) begin() {
	ctx, end := context.WithCancel(context.Background())
	// The name must differ between processes that have the same settings.
	e.life = &life{name: fmt.Sprintf("%s-%016x", e.set.Name, rand.Uint64()), ctx: ctx, end: end}
	e.fence, e.used = 0, 0
	e.orders = make(map[string]*order)
	e.replicas = nil
	e.requests = make(map[string][]*request)
	e.kv = make(map[wire.KVCache]int)
	e.load = stand.NewLag(e.set.StatusLag, loadFigures{})
	e.blocks = newBlockCache(e.set)
}
