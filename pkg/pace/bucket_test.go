package pace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// longestNotice is how long hosts take to notice that another one is lost, or back.
	longestNotice = 2500 * time.Millisecond
	// retryTime is how long a host waits that got no answer of an owner.
	retryTime = 300 * time.Millisecond
)

type (
	// world plays hosts that send requests to one upstream.
	world struct {
		random    *rand.Rand
		now       time.Time
		perSecond float64
		hosts     []*worldHost
		sent      []time.Time
		noticed   []notice
	}

	worldHost struct {
		name   string
		alive  bool
		views  map[string]bool // hosts that it takes for alive
		owner  string          // as it sees it
		bucket *Bucket
		since  time.Time // when it was started
		demand float64   // requests a second
		notYet time.Time
	}

	// notice is a change of the view of one host that is due.
	notice struct {
		at    time.Time
		by    *worldHost
		of    *worldHost
		alive bool
	}
)

func newWorld(seed uint64, hosts int, perSecond float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), perSecond: perSecond}
	for i := range hosts {
		w.hosts = append(w.hosts, &worldHost{name: fmt.Sprint("host", i), alive: true, views: make(map[string]bool), bucket: NewBucket(w.now, perSecond)})
	}
	for _, h := range w.hosts {
		for _, x := range w.hosts {
			h.views[x.name] = true
		}
		h.setView(h.name, true)
	}
	return w
}

// setView sets whether the host takes another one for alive.
func (h *worldHost) setView(name string, isAlive bool) {
	h.views[name] = isAlive
	var alive []string
	for name, ok := range h.views {
		if ok {
			alive = append(alive, name)
		}
	}
	h.owner = Owner("u", alive)
}

// setAlive ends a host or starts it anew, which the others notice later.
func (w *world) setAlive(h *worldHost, alive bool) {
	if h.alive = alive; alive {
		h.bucket, h.since = NewBucket(w.now, w.perSecond), w.now
		for _, x := range w.hosts {
			h.setView(x.name, x.alive)
		}
	}
	for _, x := range w.hosts {
		if x != h {
			w.noticed = append(w.noticed, notice{w.now.Add(time.Duration(w.random.Float64() * float64(longestNotice))), x, h, alive})
		}
	}
}

// request makes the host ask the owner of the upstream for the credit of a request, and send that if it gets it.
func (w *world) request(h *worldHost) {
	i := slices.IndexFunc(w.hosts, func(x *worldHost) bool { return x.name == h.owner })
	wait := retryTime
	if x := w.hosts[i]; x.alive && x.owner == x.name && w.now.Sub(x.since) >= TakeoverTime {
		if wait = x.bucket.Take(w.now); wait == 0 {
			w.sent = append(w.sent, w.now.Add(time.Duration(w.random.Float64()*float64(100*time.Millisecond))))
			return
		}
	}
	h.notYet = w.now.Add(wait)
}

// play advances the time in steps of 50 ms.
func (w *world) play(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.noticed = slices.DeleteFunc(w.noticed, func(x notice) bool {
			due := !w.now.Before(x.at)
			if due && x.of.alive == x.alive { // Otherwise a later change is on its way, or was noticed earlier.
				x.by.setView(x.of.name, x.alive)
			}
			return due
		})
		for _, i := range w.random.Perm(len(w.hosts)) {
			if h := w.hosts[i]; h.alive && !w.now.Before(h.notYet) && w.random.Float64() < h.demand*step.Seconds() {
				w.request(h)
			}
		}
	}
}

// highest returns the highest number of requests in any window.
func (w *world) highest() int {
	slices.SortFunc(w.sent, func(a, b time.Time) int { return a.Compare(b) })
	most := 0
	for i, first := range w.sent {
		n := 0
		for n+i < len(w.sent) && w.sent[i+n].Sub(first) < Window {
			n++
		}
		most = max(most, n)
	}
	return most
}

// TestBoundOverHosts guards against hosts that together send more requests than the bound: with demand at all or some hosts, after a time
// without any, and while the owner is lost, comes back, and is lost again.
func TestBoundOverHosts(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 3, 30, 100} {
		for _, perSecond := range []float64{0.1, 1, 2.5, 20} {
			for seed := range uint64(10) {
				w := newWorld(seed, hosts, perSecond)
				for range 10 {
					highest := []float64{0.3, 20}[w.random.IntN(2)]
					for _, h := range w.hosts {
						h.demand = highest * float64(w.random.IntN(3)) / 2
					}
					w.play(time.Duration(w.random.Float64() * 4 * float64(time.Second)))
					if w.random.IntN(2) == 0 {
						w.play(longestNotice)
						w.now = w.now.Add(time.Duration(w.random.Float64() * 60 * float64(time.Second)))
					}
					w.restart()
				}
				qt.Check(t, float64(w.highest()) <= Bound(perSecond), qt.IsTrue,
					qt.Commentf("%d requests, %v allowed: %d hosts, limit %v, seed %d", w.highest(), Bound(perSecond), hosts, perSecond, seed))
			}
		}
	}
}

// restart starts hosts that have ended, or ends the owner of the upstream, or both.
func (w *world) restart() {
	starts := w.random.IntN(2) == 0
	ends := !starts || w.random.IntN(2) == 0
	var alive []string
	for _, h := range w.hosts {
		if h.alive {
			alive = append(alive, h.name)
		}
	}
	owner := Owner("u", alive)
	for _, h := range w.hosts {
		switch {
		case !h.alive && starts:
			w.setAlive(h, true)
		case ends && len(alive) > 2 && h.name == owner:
			w.setAlive(h, false)
		}
	}
}

// TestLimitIsUsed guards against a limit of which hosts use little, whether the demand is at all of them or at one.
func TestLimitIsUsed(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 3, 30, 100} {
		for _, perSecond := range []float64{0.1, 1, 20} {
			for _, all := range []bool{false, true} {
				w := newWorld(1, hosts, perSecond)
				for i, h := range w.hosts {
					if all || i == 0 {
						h.demand = 20
					}
				}
				w.play(100 * time.Second)
				qt.Check(t, float64(len(w.sent)) > 0.75*perSecond*100-1, qt.IsTrue,
					qt.Commentf("%d hosts, limit %v, all %v: %d requests", hosts, perSecond, all, len(w.sent)))
			}
		}
	}
}

// TestPromisedTimes guards against hosts that all come back for the same credit, and against a time that is too early or never comes.
func TestPromisedTimes(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	b := NewBucket(now, 2)
	for i := range 4 {
		qt.Check(t, b.Take(now), qt.Equals, time.Duration(1+i)*500*time.Millisecond)
	}
	for i := range 4 {
		qt.Check(t, b.Take(now.Add(time.Duration(1+i)*500*time.Millisecond)), qt.Equals, time.Duration(0))
	}
	slow := NewBucket(now, 0.1)
	for range 3 {
		qt.Check(t, slow.Take(now), qt.Equals, MaxWait)
	}
}

// TestCreditOfAChangedLimit guards against credit of a higher limit that outlives it.
func TestCreditOfAChangedLimit(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	b := NewBucket(now, 100)
	now = now.Add(time.Minute)
	b.SetLimit(now, 1)
	taken := 0
	for b.Take(now) == 0 {
		taken++
	}
	qt.Check(t, taken, qt.Equals, 2)
}
