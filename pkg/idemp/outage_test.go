package idemp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	outageRounds = 600 // outageRounds of 6 s are an hour.
	outageRound  = 6 * time.Second
	outageSeeds  = 4
)

// outage is what an hour without the log showed.
type outage struct {
	*world
	victim *node // victim dies in the middle of the hour; nil means that no host is lost.
	before map[int]Assignment
	open   map[string]string // open holds by Begin the keys that the victim had started without an outcome.
	unheld []string          // unheld holds keys whose start did not reach the backup.
	ran    int
}

// needsVictim reports whether the range had the victim as holder or backup when it died.
func (o *outage) needsVictim(keyRange int) bool {
	a := o.before[keyRange]
	return o.victim != nil && !o.victim.alive && (a.Holder == o.victim.name || a.Backup == o.victim.name)
}

// round is 6 s of the outage: bookings from callers, lossy messages in any order, and proposals that pile up.
func (o *outage) round(i int) {
	n := o.nodes[o.draw(len(o.nodes))]
	if n.alive {
		o.begin(n, o.keys[o.draw(len(o.keys))])
	}
	for range 12 {
		o.deliver(o.draw(12))
		if k := len(o.calls); k > 0 {
			o.call(o.draw(k), o.draw(9))
		}
	}
	for range 6 {
		o.now = o.now.Add(outageRound / 6)
		for _, n := range o.nodes {
			if n.alive {
				o.peers(n, false)
				o.handle(n, Tick{})
			}
		}
		for range min(len(o.packets), 40) {
			o.deliver(fine)
		}
	}
	if i%20 == 0 {
		o.newKeys()
		o.probe()
	}
}

// probe starts a new minted key of each range at each host. It has to run unless the range has lost its holder or backup,
// and a refusal has to be "not run" with a time to retry.
func (o *outage) probe() {
	for k := range 2 * len(o.nodes) {
		n, keyRange := o.nodes[k/2], k%2
		if !n.alive {
			continue
		}
		key, err := n.h.Mint(keyRange)
		if err != nil {
			o.fail("%s mints no key in the outage: %v", n.name, err)
			continue
		}
		id := o.begin(n, key)
		proposed := o.appends
		o.settle(2)
		o.appends = proposed // A settled round drops what cannot be appended.
		o.ran += o.runs[key]
		if o.runs[key] != 1 && !o.needsVictim(keyRange) {
			o.fail("range %d runs no new key in the outage, at %s", keyRange, n.name)
		}
		if o.runs[key] == 0 && !o.asked[id].notRun {
			o.fail("a new key of range %d was neither run nor refused at %s", keyRange, n.name)
		}
	}
}

// lose kills the victim while calls of its own are on their way to the service, and others wait for the backup.
func (o *outage) lose() {
	for i := range 2 {
		key, err := o.victim.h.Mint(i)
		if err != nil {
			o.fail("%v", err)
			return
		}
		id := o.begin(o.victim, key)
		for len(o.packets) > 0 {
			o.deliver(fine)
		}
		for _, c := range o.calls {
			if c.run.ID == id && c.at == o.victim {
				o.open[id] = key
			}
		}
	}
	for i := range 2 {
		key, _ := o.victim.h.Mint(i)
		o.begin(o.victim, key)
		o.unheld = append(o.unheld, key)
	}
	o.packets = nil
	o.kill(o.victim)
}

// back ends the outage: every proposal of the hour reaches the log at once, in any order and some of them twice.
func (o *outage) back() {
	o.down = false
	for len(o.appends) > 0 {
		o.append(o.draw(len(o.appends)), o.draw(6) == 0)
	}
	o.settle(80)
	for _, key := range o.unheld {
		o.begin(o.find(o.assigned[RangeOf(key, 2)].Holder), key)
		o.settle(2)
	}
}

func hour(seed uint64, f faults, lose bool) *outage {
	o := &outage{world: newWorld(4, f, seeded(seed)), open: make(map[string]string)}
	o.settle(20)
	for _, n := range o.nodes {
		n.h.cfg.MaxKeys = 5000
	}
	o.down, o.before = true, map[int]Assignment{0: o.assigned[0], 1: o.assigned[1]}
	if lose {
		o.victim = o.find(o.assigned[o.draw(2)].Holder)
	}
	at := outageRounds/3 + o.draw(outageRounds/3)
	for i := 0; i < outageRounds && o.err == nil; i++ {
		if i == at && lose {
			o.lose()
		}
		o.round(i)
	}
	o.back()
	return o
}

// Guards against bookings that stop, run twice or are told a wrong outcome in a log outage of an hour and in the burst of
// records after it. A lost host's calls without an outcome are unknown for good; its ranges refuse new keys as not run.
func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	for seed := range uint64(outageSeeds) {
		c, lose := qt.New(t), seed%2 == 1
		o := hour(seed, faults{}, lose)
		c.Assert(o.err, qt.IsNil, qt.Commentf("seed %d", seed))
		c.Assert(o.ran > outageRounds/10, qt.IsTrue, qt.Commentf("seed %d: %d", seed, o.ran))
		for id, key := range o.open {
			before := o.runs[key]
			second := o.find(o.assigned[RangeOf(key, 2)].Holder)
			got, _ := first[Answer](second.h.Handle(second.local(o.now), Begin{ID: id + "again", Key: key, Digest: "d"}))
			c.Assert(got.Err, qt.IsNotNil)
			c.Assert(got.Err.Code(), qt.Equals, codes.KeyOutcomeLost, qt.Commentf("seed %d", seed))
			c.Assert(got.Err.Outcome(), qt.Equals, codes.Unknown)
			c.Assert(o.runs[key], qt.Equals, before)
		}
		c.Assert(len(o.open) > 0, qt.Equals, lose, qt.Commentf("seed %d", seed))
		c.Assert(o.blind, qt.Equals, 0, qt.Commentf("seed %d", seed))
		c.Assert(o.runsNew(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, o.err))
	}
}

// Guards against a check of the outage that passes whatever the rules do.
func TestOutageMutants(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]faults{
		"backup acknowledgement skipped": {skipBackup: true},
		"released without proof":         {releaseAlways: true},
	} {
		qt.Check(t, hour(1, f, true).err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}
