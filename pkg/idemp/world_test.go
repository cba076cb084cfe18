package idemp

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fresh"
)

const fine = -1 // fine is the fate of a packet that is delivered in order.

// logAhead is what the log's clock is ahead by.
const logAhead = -2 * time.Hour

var began = time.Unix(1_700_000_000, 0)

type (
	// world is a log, a network and a plain service around a few hosts; draw(n) chooses every next step below n.
	world struct {
		draw     func(n int) int
		faults   faults
		now      time.Time
		nodes    []*node
		log      []Assignment
		at       []time.Time // at are the times of the records.
		assigned map[int]Assignment
		packets  []packet
		appends  []Propose
		calls    []serviceCall
		down     bool
		stale    bool // stale lets hosts that are not current accept work, to show what depends on it.
		reused   bool // reused tells that most of the lifetime of the keys has passed.
		gen      int
		total    int
		blind    int
		keys     []string
		runs     map[string]int    // runs counts by key what the service ran.
		answers  map[string]string // answers holds by key what the service answered.
		asked    map[string]*asked
		err      error
	}

	// asked is what became of one Begin.
	asked struct {
		key         string
		ran, notRun bool
	}

	node struct {
		name          string
		h             *Host
		ahead         time.Duration // ahead is what the clock of the host was ahead by at the start.
		drift         float64       // drift is what its clock gains in a unit of time.
		alive, paused bool
		cut           bool // cut tells that it reaches only other hosts that are cut off, callers and the service.
		cutAt         time.Time
		gone          bool
		draining      bool
		folded        int
	}

	packet struct {
		from  *node
		to    string
		event Event
	}

	serviceCall struct {
		at  *node
		run Run
	}
)

func newWorld(hosts int, f faults, draw func(n int) int) *world {
	w := &world{
		draw: draw, faults: f, now: began, assigned: make(map[int]Assignment),
		runs: make(map[string]int), answers: make(map[string]string), asked: make(map[string]*asked),
	}
	for range hosts {
		w.nodes = append(w.nodes, w.boot())
	}
	w.newKeys()
	return w
}

func (w *world) boot() *node {
	w.gen++
	n := &node{name: fmt.Sprintf("h%d", w.gen), alive: true}
	n.ahead, n.drift = time.Duration(w.draw(13)-6)*time.Hour, float64(w.draw(3)-1)/1000
	n.h = New(Config{Incarnation: n.name, Ranges: 2, MaxKeys: 50}, rand.New(rand.NewPCG(uint64(w.gen), 1)))
	n.h.faults = w.faults
	return n
}

func (w *world) newKeys() {
	w.keys, w.reused = nil, false
	for i := range 8 {
		w.keys = append(w.keys, fmt.Sprintf("key-%d-%d", len(w.asked), i))
	}
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// local returns what the clock of the host shows; hosts are hours apart and drift by up to 0.1%.
func (n *node) local(now time.Time) time.Time {
	passed := now.Sub(began)
	return now.Add(n.ahead + time.Duration(n.drift*float64(passed)))
}

func (w *world) handle(n *node, e Event) {
	for _, a := range n.h.Handle(n.local(w.now), e) {
		switch m := a.(type) {
		case Send:
			w.packets = append(w.packets, packet{n, m.To, Moved(m.Message, n.local(w.now), clocks.Epoch)})
		case Run:
			w.calls = append(w.calls, serviceCall{n, m})
		case Propose:
			if n.cut {
				continue // It does not reach the log.
			}
			w.appends = append(w.appends, m)
		case Forward:
			w.packets = append(w.packets, packet{n, m.To, Begin{ID: m.ID, Key: w.asked[m.ID].key, Digest: "d", Forwarded: true}})
		case Answer:
			w.answered(m)
		}
	}
}

func (w *world) answered(a Answer) {
	q := w.asked[a.ID]
	switch {
	case a.Err == nil && string(a.Stored.Body) != w.answers[q.key]:
		w.fail("%s got the answer %q of another request", a.ID, a.Stored.Body)
	case a.Err != nil && a.Err.Outcome() == codes.NotRun:
		if q.notRun = true; q.ran {
			w.fail("%s ran and was told not run: %v", a.ID, a.Err)
		}
	}
}

// current is the rule of pkg/fresh for a host without log and without a majority: it accepts work for a short while only.
func (w *world) current(n *node) bool {
	return !n.cut || w.stale || n.local(w.now).Sub(n.local(n.cutAt)) <= fresh.Bound
}

// cutPair cuts the holder and the backup of a range off from the log and the other hosts. The others reset the range.
func (w *world) cutPair(keyRange int) {
	a := w.assigned[keyRange]
	for _, n := range w.nodes {
		if n.alive && (n.name == a.Holder || n.name == a.Backup) {
			n.cut, n.cutAt = true, w.now
		}
	}
}

// outlast lets the others wait as long as a reset without proof takes, and then settle.
func (w *world) outlast(d time.Duration) {
	w.settle(8)
	w.now = w.now.Add(d)
	w.settle(60)
}

func (w *world) begin(n *node, key string) string {
	id := fmt.Sprintf("b%d", len(w.asked)+1)
	w.asked[id] = &asked{key: key}
	if !w.current(n) {
		w.asked[id].notRun = true
		return id
	}
	w.handle(n, Begin{ID: id, Key: key, Digest: "d"})
	return id
}

// serve lets the service run a call and is the only place that counts runs.
func (w *world) serve(r Run) Stored {
	w.runs[r.Key]++
	w.total++
	w.asked[r.ID].ran = true
	w.answers[r.Key] = "answer to " + r.ID
	if w.runs[r.Key] > 1 {
		w.fail("%s ran %d times", r.Key, w.runs[r.Key])
	}
	if w.asked[r.ID].notRun {
		w.fail("%s ran after it was told not run", r.ID)
	}
	return Stored{Status: 200, Body: []byte(w.answers[r.Key])}
}

func (w *world) call(i, how int) {
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	o := Outcome{Attempt: c.run.Attempt, Result: codes.Unknown}
	switch how {
	case 0:
		o.Result, o.Proof = codes.NotRun, NoByteSent
	case 1:
		o.Result, o.Proof = codes.NotRun, ServiceSaid
	case 2:
		o.Result = codes.NotRun // The claim has no proof, and the service did run the call.
		w.serve(c.run)
	case 3:
		w.serve(c.run) // The answer is lost.
	case 4: // Neither ran nor answered.
	default:
		o.Result, o.Stored = codes.Ran, w.serve(c.run)
	}
	if c.at.alive {
		w.handle(c.at, o)
	}
}

// append applies the rule of the fold: only a proposal on the current epoch is accepted.
func (w *world) append(i int, keep bool) {
	p := w.appends[i]
	if !keep {
		w.appends = append(w.appends[:i:i], w.appends[i+1:]...)
	}
	cur := w.assigned[p.Range]
	if p.Base != cur.Epoch {
		return
	}
	a := Assignment{
		Range: p.Range, Epoch: int64(len(w.log) + 1), Base: p.Base, Holder: p.Holder, Backup: p.Backup,
		BlindEpoch: cur.BlindEpoch, BlindSince: cur.BlindSince,
	}
	if p.Blind {
		a.BlindEpoch, a.BlindSince = a.Epoch, w.now.Add(logAhead)
		w.blind++
	}
	w.assigned[p.Range] = a
	w.log, w.at = append(w.log, a), append(w.at, w.now.Add(logAhead))
}

// deliver hands over some packet, or the next one if all goes well; fate 0 loses it and 1 doubles it. A Begin is a call
// of its own and is never doubled.
func (w *world) deliver(fate int) {
	if len(w.packets) == 0 {
		return
	}
	i := 0
	if fate != fine {
		i = w.draw(len(w.packets))
	}
	p := w.packets[i]
	if _, isBegin := p.event.(Begin); fate != 1 || isBegin {
		w.packets = append(w.packets[:i:i], w.packets[i+1:]...)
	}
	if n := w.find(p.to); fate != 0 && n != nil && n.alive && !n.paused && n.cut == p.from.cut {
		w.handle(n, Moved(p.event, clocks.Epoch, n.local(w.now)))
	}
}

// peers tells a node who is lost; wrong suspicions are drawn if the network is noisy.
func (w *world) peers(n *node, noisy bool) {
	var m []Member
	for _, o := range w.nodes {
		if o.gone {
			continue
		}
		lost := !o.alive || o.paused || o.cut != n.cut
		if noisy && w.draw(12) == 0 {
			lost = !lost
		}
		m = append(m, Member{Incarnation: o.name, Lost: lost && o != n, Draining: o.draining})
	}
	w.handle(n, Peers{Members: m})
}

func (w *world) fold(n *node, most int) {
	for ; most > 0 && n.folded < len(w.log) && !n.cut; most-- {
		n.folded++
		w.handle(n, LogTime{At: w.at[n.folded-1]})
		w.handle(n, w.log[n.folded-1])
	}
}

// kill ends a process; calls that it had sent may still reach the service.
func (w *world) kill(n *node) {
	n.alive, n.paused = false, false
	for i := len(w.calls) - 1; i >= 0; i-- {
		if w.calls[i].at == n {
			w.call(i, 3+w.draw(2))
		}
	}
}

// restart replaces a stopped process, or sometimes removes its host while others are up.
func (w *world) restart(n *node) {
	n.gone = true
	others := slices.ContainsFunc(w.nodes, func(o *node) bool { return o.alive })
	if !others || w.draw(5) > 0 {
		w.nodes = append(w.nodes, w.boot())
	}
}

// jump lets a host that fell behind continue from a snapshot, which lacks the records in between and may lack bases.
func (w *world) jump(n *node) {
	n.folded = len(w.log)
	for keyRange := range 2 {
		if a, ok := w.assigned[keyRange]; ok {
			if w.draw(2) == 0 {
				a.Base = -1
			}
			w.handle(n, a)
		}
	}
}

// settle lets the hosts that are up work without new faults, half a second a round.
func (w *world) settle(rounds int) {
	for range rounds {
		w.now = w.now.Add(500 * time.Millisecond)
		for _, n := range w.nodes {
			if !n.alive || n.paused {
				continue
			}
			if !w.down {
				w.fold(n, len(w.log))
			}
			w.peers(n, false)
			w.handle(n, Tick{})
		}
		for len(w.packets) > 0 {
			w.deliver(fine)
		}
		for i := len(w.calls) - 1; i >= 0; i-- {
			if !w.calls[i].at.paused {
				w.call(i, 9)
			}
		}
		for len(w.appends) > 0 && !w.down {
			w.append(0, false)
		}
		w.appends = nil
	}
}

// heal ends all faults and replaces stopped processes.
func (w *world) heal() {
	w.down = false
	for _, n := range append([]*node(nil), w.nodes...) {
		n.paused, n.cut = false, false
		if n.draining && n.alive {
			w.kill(n)
		}
		if !n.alive && !n.gone {
			w.restart(n)
		}
	}
	w.settle(60)
}

// runsNew reports whether a new minted key of each range runs through every live node.
func (w *world) runsNew() bool {
	for i := range 2 * len(w.nodes) {
		n := w.nodes[i/2]
		if !n.alive {
			continue
		}
		key, err := n.h.Mint(i % 2)
		if err != nil {
			return false
		}
		w.begin(n, key)
		if w.settle(2); w.runs[key] != 1 {
			return false
		}
	}
	return true
}
