package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	dataCentres      = 3
	hostCount        = 6
	gigabyte         = int64(1) << 30
	upstreamMemory   = 80 * gigabyte // memory of one upstream
	kvBytes          = 4 * gigabyte
	adapterPoolBytes = gigabyte
	adapterBytes     = 200 << 20
	slots            = 8
	batchSlope       = 0.05 // fraction of the token time that each further request in a batch adds
	tokenTime        = 20 * time.Millisecond
	prefillTime      = 250 * time.Microsecond // per prompt token
	sameCentreDelay  = 100 * time.Microsecond
	hotModels        = 6 // models with several replicas, the first in the list; the others are rarely used
	memoryTierSize   = 4 // checkpoints that an upstream keeps in host memory
	diskTierSize     = 8 // checkpoints that an upstream keeps on disk
	version          = "1"
	deploymentSeed   = 11 // fixed, so that model sizes and cached copies are the same in all runs
)

// Deployment holds the sizes and delays of one user's installation, from section 1.6 of the design page.
type Deployment struct {
	Name        string
	CentreDelay time.Duration // one-way delay between data centres
	ClientDelay time.Duration // one-way delay between callers and entry hosts
	Upstreams   int
	Models      int
	Adapters    int
	StoreRate   float64 // loads per second
	StoreSlots  int
	AdapterMin  time.Duration
	AdapterMax  time.Duration
	AdapterLoad int // concurrent adapter loads at full speed
	HotReplicas int // MaxReplicas of the hot models
}

// Deployments returns the two deployments of section 1.6.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "wijesinghe", CentreDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, Upstreams: 20, Models: 100,
			Adapters: 120, StoreRate: 4, StoreSlots: 4, AdapterMin: 6 * time.Millisecond, AdapterMax: 20 * time.Millisecond,
			AdapterLoad: 30, HotReplicas: 4,
		},
		{
			Name: "cymdeithas", CentreDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, Upstreams: 10, Models: 50,
			Adapters: 60, StoreRate: 3, StoreSlots: 4, AdapterMin: 7 * time.Millisecond, AdapterMax: 13 * time.Millisecond,
			AdapterLoad: 30, HotReplicas: 3,
		},
	}
}

func modelName(i int) string { return fmt.Sprintf("m%03d", i) }

func centreName(i int) string { return fmt.Sprintf("dc%d", i+1) }

// view returns the configuration of the deployment. The mean load time is the number of store slots divided by the
// store's rate, so that the rate keeps all slots in use.
func (d Deployment) view() *spec.View {
	r := rand.New(rand.NewPCG(deploymentSeed, uint64(d.Models)))
	mean := float64(d.StoreSlots) / d.StoreRate * 1000
	var all []spec.Template
	for i := range d.Models {
		size := 0.7 + 0.6*r.Float64()
		m := spec.Model{
			Version: version, MaxReplicas: 1, WeightBytes: int64(18 * size * float64(gigabyte)), KVBytes: kvBytes,
			AdapterBytes: adapterPoolBytes, Slots: slots, LoadMillis: int64(mean * size), TokenMicros: tokenTime.Microseconds(),
		}
		if i < hotModels {
			m.MaxReplicas = d.HotReplicas
		}
		for a := i; a < d.Adapters; a += d.Models {
			m.Adapters = append(m.Adapters, spec.Adapter{Name: fmt.Sprintf("a%03d", a), Bytes: adapterBytes})
		}
		all = append(all, spec.Template{Name: modelName(i), Kind: spec.ModelTemplate, Model: &m})
	}
	return spec.NewView(1, all, []spec.Team{{Name: "depot", Models: []string{"*"}, Adapters: []string{"*"}}})
}

// initialCache returns the cached copies of an upstream at the start of a run.
func (d Deployment) initialCache(upstream int) []cell.CachedCopy {
	r := rand.New(rand.NewPCG(deploymentSeed, uint64(1000+upstream)))
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

// oneWayDelay returns the one-way delay between two data centres.
func (d Deployment) oneWayDelay(a, b string) time.Duration {
	if a == b {
		return sameCentreDelay
	}
	return d.CentreDelay
}

// slotRate returns the requests per second that one slot of a full batch serves.
func slotRate(prompt, answer int) float64 { return 1 / fullBatchTime(prompt, answer).Seconds() }

// fullBatchTime returns the time that a request takes in a full batch.
func fullBatchTime(prompt, answer int) time.Duration {
	return time.Duration(prompt)*prefillTime + time.Duration(answer)*tokenTime
}

// soloTokenSeconds returns the token time of a request that runs alone, in seconds; tokenTime is that of a full batch.
func soloTokenSeconds() float64 { return tokenTime.Seconds() / (1 + batchSlope*(slots-1)) }
