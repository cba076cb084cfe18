package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	dataCentres = 3
	hostCount   = 6
	gigabyte    = int64(1) << 30
	capacity    = 80 * gigabyte // Memory of one upstream.
	kvBytes     = 4 * gigabyte
	poolBytes   = gigabyte
	adapterSize = 200 << 20
	slots       = 8
	batchSlope  = 0.05 // Share of the token time that each further request in the batch adds.
	tokenTime   = 20 * time.Millisecond
	prefillTime = 250 * time.Microsecond // For each prompt token.
	sameCentre  = 100 * time.Microsecond
	hotModels   = 6 // The first models have several replicas; the others are rarely used.
	memoryTier  = 4 // Checkpoints that an upstream's host keeps in memory, and on disk.
	diskTier    = 8
	version     = "1"
	worldSeed   = 11 // Seed of what is the same in all runs: sizes and cached copies.
)

// Deployment holds the sizes of one of the first users, as in section 1.6 of the design page.
type Deployment struct {
	Name        string
	OneWay      time.Duration // OneWay is the delay between data centres.
	Client      time.Duration // Client is the delay between callers and entry hosts.
	Upstreams   int
	Models      int
	Adapters    int
	StoreRate   float64 // StoreRate is in loads a second.
	StoreSlots  int
	AdapterMin  time.Duration
	AdapterMax  time.Duration
	AdapterLoad int // AdapterLoad is the number of adapter loads in flight at full speed.
	HotReplicas int // HotReplicas is the decided number of replicas of the hot models.
}

// Deployments returns the two deployments of section 1.6.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "wijesinghe", OneWay: 1500 * time.Microsecond, Client: time.Millisecond, Upstreams: 20, Models: 100,
			Adapters: 120, StoreRate: 4, StoreSlots: 4, AdapterMin: 6 * time.Millisecond, AdapterMax: 20 * time.Millisecond,
			AdapterLoad: 30, HotReplicas: 4,
		},
		{
			Name: "cymdeithas", OneWay: 500 * time.Microsecond, Client: 3 * time.Millisecond, Upstreams: 10, Models: 50,
			Adapters: 60, StoreRate: 3, StoreSlots: 4, AdapterMin: 7 * time.Millisecond, AdapterMax: 13 * time.Millisecond,
			AdapterLoad: 30, HotReplicas: 3,
		},
	}
}

func modelName(i int) string { return fmt.Sprintf("m%03d", i) }

func centreName(i int) string { return fmt.Sprintf("dc%d", i+1) }

// view returns the configuration of the deployment. The mean load takes as long as the store's rate and slots allow
// together.
func (d Deployment) view() *spec.View {
	r := rand.New(rand.NewPCG(worldSeed, uint64(d.Models)))
	mean := float64(d.StoreSlots) / d.StoreRate * 1000
	var all []spec.Template
	for i := range d.Models {
		size := 0.7 + 0.6*r.Float64()
		m := spec.Model{
			Version: version, MaxReplicas: 1, WeightBytes: int64(18 * size * float64(gigabyte)), KVBytes: kvBytes,
			AdapterBytes: poolBytes, Slots: slots, LoadMillis: int64(mean * size), TokenMicros: tokenTime.Microseconds(),
		}
		if i < hotModels {
			m.MaxReplicas = d.HotReplicas
		}
		for a := i; a < d.Adapters; a += d.Models {
			m.Adapters = append(m.Adapters, spec.Adapter{Name: fmt.Sprintf("a%03d", a), Bytes: adapterSize})
		}
		all = append(all, spec.Template{Name: modelName(i), Kind: spec.ModelTemplate, Model: &m})
	}
	return spec.NewView(1, all, []spec.Team{{Name: "depot", Models: []string{"*"}, Adapters: []string{"*"}}})
}

// cached returns the cached copies of an upstream at the start.
func (d Deployment) cached(upstream int) []cell.CachedCopy {
	r := rand.New(rand.NewPCG(worldSeed, uint64(1000+upstream)))
	var list []cell.CachedCopy
	for i, m := range r.Perm(d.Models)[:2] {
		list = append(list, cell.CachedCopy{Model: modelName(m), Version: version, Tier: cell.Tier(i)})
	}
	return list
}

func centreNames() []string {
	var names []string
	for i := range dataCentres {
		names = append(names, centreName(i))
	}
	return names
}

// between returns the one-way delay between two data centres.
func (d Deployment) between(a, b string) time.Duration {
	if a == b {
		return sameCentre
	}
	return d.OneWay
}

// slotRate returns the requests a second that one slot serves at a full batch.
func slotRate(prompt, answer int) float64 { return 1 / workOf(prompt, answer).Seconds() }

// workOf returns the time that a request takes at a full batch.
func workOf(prompt, answer int) time.Duration {
	return time.Duration(prompt)*prefillTime + time.Duration(answer)*tokenTime
}

// soloToken is the token time of a request that runs alone; the configured one is that of a full batch.
func soloToken() float64 { return tokenTime.Seconds() / (1 + batchSlope*(slots-1)) }
