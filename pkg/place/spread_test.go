package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// Load pattern: a popular model beside many rare ones on few upstreams. Its replicas and the rare models compete for the same memory.

// popularBesideRare returns a controller of six upstreams that have memory for two models each. The first ones hold the popular model m0,
// which gets the given rate; the rest of the memory holds rare models, which get rareRate each and have a request in progress if busy is set.
// All upstreams have copies of m0, m13 and the models of onDisk.
func popularBesideRare(replicas int, rate, rareRate float64, busy bool, onDisk ...string) *place.Controller {
	e := engine(14)
	e.Slots = 128
	period := place.DefaultSettings().RateTimeConstant.Seconds()
	started := func(rate float64) int { return int(rate*period + 0.5) }
	list := make(map[string]fleet.Upstream)
	var uses []place.Use
	rare := 0
	for i := range 6 {
		id := fmt.Sprint("u", i)
		var held []string
		if i < replicas {
			held = append(held, "m0")
			use := place.Use{Upstream: id, Key: place.Key{Model: "m0"}, Started: started(rate / float64(replicas))}
			if busy {
				use.Running = 1
			}
			uses = append(uses, use)
		}
		for len(held) < 2 {
			rare++
			held = append(held, fmt.Sprint("m", rare))
			use := place.Use{Upstream: id, Key: place.Key{Model: held[len(held)-1]}, Started: started(rareRate)}
			if busy {
				use.Running = 1
			}
			uses = append(uses, use)
		}
		list[id] = upstream(id, held...)
	}
	c := controller(e, start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held, OnDisk: append([]string{"m0", "m13"}, onDisk...)})
	}
	c.SetUses(start, "h", uses)
	return c
}

// TestSpareReplicaGivesWay guards against a request for a rare model that waits for memory while a popular model keeps more replicas than
// it needs: with one less, its callers lose less than the one that waits.
func TestSpareReplicaGivesWay(t *testing.T) {
	c := popularBesideRare(4, 12, 0, true)
	var list []place.Order
	for at := time.Duration(0); at < 6*time.Second && len(list) == 0; at += time.Second {
		now := start.Add(at)
		addRequest(c, now, "m13", "")
		list = orders(c.Plan(now))
		c.SetUses(now, "other", []place.Use{{Upstream: "u0", Key: place.Key{Model: "m0"}, Started: 12}})
	}
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
	qt.Assert(t, list[0].Key.Model, qt.Equals, "m0")
}

// TestReplicaSparesModelsInUse guards against replicas that evict rare models whose callers lose more by the next load than those of the
// popular model gain.
func TestReplicaSparesModelsInUse(t *testing.T) {
	c := popularBesideRare(2, 9, 0.67, false)
	qt.Assert(t, orders(c.Plan(start)), qt.HasLen, 0)
	// The rare models are no longer in use.
	now := start.Add(10 * time.Second)
	c.SetUses(now, "h", []place.Use{
		{Upstream: "u0", Key: place.Key{Model: "m0"}, Started: 14}, {Upstream: "u1", Key: place.Key{Model: "m0"}, Started: 13},
	})
	qt.Assert(t, orders(c.Plan(now)), qt.Not(qt.HasLen), 0)
}

// TestStartKeepsReplicas guards against a start of all hosts, such as after a power failure, at which the replicas of popular models are
// evicted first, because no rate is known yet: the first requests to wait are those for rare models.
func TestStartKeepsReplicas(t *testing.T) {
	list := make(map[string]fleet.Upstream)
	for i := range 3 {
		u := upstream(fmt.Sprint("u", i), "m0", fmt.Sprint("m", i+1))
		u.OnDisk = []string{"m0", "m1", "m2", "m3", "m4"}
		list[u.ID] = u
	}
	c := controller(engine(5), start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held, OnDisk: u.OnDisk})
	}
	addRequest(c, start, "m4", "")
	unloads := orders(c.Plan(start))
	qt.Assert(t, unloads, qt.HasLen, 1)
	qt.Assert(t, unloads[0].Op, qt.Equals, place.Unload)
	qt.Assert(t, unloads[0].Key.Model, qt.Not(qt.Equals), "m0")
}

// TestSpareReplicaBeforeRareModel guards against the eviction of a rare model that had no request for a while, instead of a replica that
// hardly saves delay: with many rare models, each has no request most of the time, and together they have many.
func TestSpareReplicaBeforeRareModel(t *testing.T) {
	c := popularBesideRare(4, 6, 0, false, "m1")
	now := start.Add(place.DefaultSettings().RateTimeConstant)
	uses := []place.Use{{Upstream: "u0", Key: place.Key{Model: "m0"}, Started: 12}}
	for i := 2; i <= 12; i++ {
		uses = append(uses, place.Use{Upstream: "v", Key: place.Key{Model: fmt.Sprint("m", i)}, Started: 2})
	}
	c.SetUses(now, "h", uses)
	addRequest(c, now, "m13", "")
	unloads := orders(c.Plan(now))
	qt.Assert(t, unloads, qt.Not(qt.HasLen), 0)
	for _, o := range unloads { // The others make room for models without a copy.
		qt.Assert(t, o.Key.Model, qt.Equals, "m0")
	}
}

// TestReplicasPreferFastUpstreams guards against replicas of a popular model on slow upstreams, where responses pause for each prompt, while
// fast ones have a copy as well.
func TestReplicasPreferFastUpstreams(t *testing.T) {
	list := make(map[string]fleet.Upstream)
	for i := range 4 {
		id := fmt.Sprint("u", i)
		list[id] = upstream(id)
	}
	list["u0"] = upstream("u0", "m0")
	e := engine(1)
	e.Slots = 128
	c := controller(e, start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held, OnDisk: []string{"m0"}})
	}
	c.SetSpeeds(map[string]int{"u0": 60, "u1": 60, "u2": 60, "u3": 160})
	c.SetUses(start, "h", []place.Use{{Upstream: "u0", Key: place.Key{Model: "m0"}, Started: 9}})
	loads := orders(c.Plan(start))
	qt.Assert(t, loads, qt.Not(qt.HasLen), 0)
	qt.Assert(t, loads[0].Upstream, qt.Equals, "u3")
}
