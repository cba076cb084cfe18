package idemp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	outageRounds = 600 // one hour, in rounds of outageRound
	outageRound  = 6 * time.Second
	outageSeeds  = 4
)

// outage is a simulation of an hour without the log, and what it recorded.
type outage struct {
	*simulation
	lostHost       *node              // killed in the middle of the hour, nil if no host is lost
	assignedBefore map[int]Assignment // assignments at the start of the outage, by range
	inProgress     map[string]string  // keys that lostHost had started without an outcome, by Begin ID
	unreplicated   []string           // keys whose start did not reach the backup
	probesRun      int                // number of keys of probes that ran
}

// usesLostHost reports whether the killed host was holder or backup of the range.
func (o *outage) usesLostHost(keyRange int) bool {
	a := o.assignedBefore[keyRange]
	return o.lostHost != nil && !o.lostHost.alive && (a.Holder == o.lostHost.name || a.Backup == o.lostHost.name)
}

// lossyRound simulates one round of the outage: a call by a caller, messages that are lost, duplicated and reordered, and
// proposals that accumulate.
func (o *outage) lossyRound(i int) {
	n := o.nodes[o.draw(len(o.nodes))]
	if n.alive {
		o.begin(n, o.keys[o.draw(len(o.keys))])
	}
	for range 12 {
		o.deliver(o.draw(12))
		if k := len(o.calls); k > 0 {
			o.finishCall(o.draw(k), o.draw(9))
		}
	}
	for range 6 {
		o.now = o.now.Add(outageRound / 6)
		for _, n := range o.nodes {
			if n.alive {
				o.sendPeers(n, false)
				o.handle(n, Tick{})
			}
		}
		for range min(len(o.packets), 40) {
			o.deliver(inOrder)
		}
	}
	if i%20 == 0 {
		o.newKeys()
		o.probe()
	}
}

// probe starts a new minted key of each range at each host. The key must run unless the range has lost its holder or backup; if
// it does not run, the answer must be "not run".
func (o *outage) probe() {
	for k := range 2 * len(o.nodes) {
		n, keyRange := o.nodes[k/2], k%2
		if !n.alive {
			continue
		}
		key, err := n.h.Mint(keyRange)
		if err != nil {
			o.fail("%s cannot mint a key during the outage: %v", n.name, err)
			continue
		}
		id := o.begin(n, key)
		proposals := o.proposals
		o.runRounds(2)
		o.proposals = proposals // runRounds drops proposals that cannot be appended.
		o.probesRun += o.runs[key]
		if o.runs[key] != 1 && !o.usesLostHost(keyRange) {
			o.fail("new key of range %d did not run exactly once during the outage, at %s", keyRange, n.name)
		}
		if o.runs[key] == 0 && !o.begins[id].notRun {
			o.fail("new key of range %d was neither run nor refused as not run, at %s", keyRange, n.name)
		}
	}
}

// killLostHost kills lostHost while some of its calls are on their way to the service and others wait for the backup.
func (o *outage) killLostHost() {
	for i := range 2 {
		key, err := o.lostHost.h.Mint(i)
		if err != nil {
			o.fail("%v", err)
			return
		}
		id := o.begin(o.lostHost, key)
		for len(o.packets) > 0 {
			o.deliver(inOrder)
		}
		for _, c := range o.calls {
			if c.run.ID == id && c.at == o.lostHost {
				o.inProgress[id] = key
			}
		}
	}
	for i := range 2 {
		key, _ := o.lostHost.h.Mint(i)
		o.begin(o.lostHost, key)
		o.unreplicated = append(o.unreplicated, key)
	}
	o.packets = nil
	o.kill(o.lostHost)
}

// endOutage ends the outage: all proposals of the hour reach the log at once, in any order and some of them twice.
func (o *outage) endOutage() {
	o.logDown = false
	for len(o.proposals) > 0 {
		o.appendRecord(o.draw(len(o.proposals)), o.draw(6) == 0)
	}
	o.runRounds(80)
	for _, key := range o.unreplicated {
		o.begin(o.findNode(o.assigned[RangeOf(key, 2)].Holder), key)
		o.runRounds(2)
	}
}

func simulateOutage(seed uint64, f faults, loseHost bool) *outage {
	o := &outage{simulation: newSimulation(4, f, seeded(seed)), inProgress: make(map[string]string)}
	o.runRounds(20)
	for _, n := range o.nodes {
		n.h.cfg.MaxKeys = 5000
	}
	o.logDown, o.assignedBefore = true, map[int]Assignment{0: o.assigned[0], 1: o.assigned[1]}
	if loseHost {
		o.lostHost = o.findNode(o.assigned[o.draw(2)].Holder)
	}
	at := outageRounds/3 + o.draw(outageRounds/3)
	for i := 0; i < outageRounds && o.err == nil; i++ {
		if i == at && loseHost {
			o.killLostHost()
		}
		o.lossyRound(i)
	}
	o.endOutage()
	return o
}

// TestOutageOfAnHour guards against calls that stop, run twice or report a wrong outcome during a log outage of an hour and in the
// burst of records after it. The calls of a lost host without an outcome stay unknown; its ranges refuse new keys as not run.
func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	for seed := range uint64(outageSeeds) {
		c, loseHost := qt.New(t), seed%2 == 1
		o := simulateOutage(seed, faults{}, loseHost)
		c.Assert(o.err, qt.IsNil, qt.Commentf("seed %d", seed))
		c.Assert(o.probesRun > outageRounds/10, qt.IsTrue, qt.Commentf("seed %d: %d", seed, o.probesRun))
		for id, key := range o.inProgress {
			before := o.runs[key]
			successor := o.findNode(o.assigned[RangeOf(key, 2)].Holder)
			got, _ := firstAction[Answer](successor.h.Handle(successor.localTime(o.now), Begin{ID: id + "again", Key: key, Digest: "d"}))
			c.Assert(got.Err, qt.IsNotNil)
			c.Assert(got.Err.Code(), qt.Equals, codes.KeyOutcomeLost, qt.Commentf("seed %d", seed))
			c.Assert(got.Err.Outcome(), qt.Equals, codes.Unknown)
			c.Assert(o.runs[key], qt.Equals, before)
		}
		c.Assert(len(o.inProgress) > 0, qt.Equals, loseHost, qt.Commentf("seed %d", seed))
		c.Assert(o.resets, qt.Equals, 0, qt.Commentf("seed %d", seed))
		c.Assert(o.newKeysRun(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, o.err))
	}
}

// TestOutageMutants guards against checks of TestOutageOfAnHour that cannot fail: with a rule disabled, they must report a
// violation.
func TestOutageMutants(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]faults{
		"backup acknowledgement skipped": {skipBackup: true},
		"released without proof":         {releaseWithoutProof: true},
	} {
		qt.Check(t, simulateOutage(1, f, true).err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}
