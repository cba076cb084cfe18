package blame

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crashTTL is how long a crash counts; it is longer than requests are refused, so that one more crash in a trial suffices.
	crashTTL = time.Hour
	// singleTTL is that time for a crash whose requests were at no other one: each end of an upstream leaves some that are not sent again.
	singleTTL = 10 * time.Minute
	// soundTTL is how long a complete answer is remembered, and maxSound the number of parts of which one is.
	soundTTL = 2 * time.Minute
	maxSound = 4096
	// sweepInterval is the time between two searches for answers that no longer count.
	sweepInterval = 5 * time.Second
	// maxCrashes limits the evidence that a host keeps and sends, and maxParts the parts of a crash.
	maxCrashes = 64
	maxParts   = 32
	// maxRequests limits the requests of a crash whose parts are kept together.
	maxRequests = 16
	// recentTime is how long evidence is sent again after a host got it.
	recentTime = 10 * time.Second
)

type (
	// Crash is the end of an upstream and the parts of the requests that it may have been beginning to answer, known to one host.
	Crash struct {
		Upstream string
		Born     int64      // start of the upstream's process in Unix milliseconds
		Parts    []uint64   // shared parts of prompts
		Waiting  []uint64   // those of other requests, which had probably not begun
		Requests [][]uint64 // parts by request; some earlier builds send none
		Age      time.Duration
	}

	// Sound is a complete answer to a request with the part.
	Sound struct {
		Part   uint64
		Answer uint64        // identifies the answer, so that it grows no younger on its way between hosts; zero if unknown
		Age    time.Duration // of the last such answer
	}

	// Evidence is what hosts send each other. Its ages are relative to the moment of sending, because the clocks of hosts differ.
	Evidence struct {
		Crashes []Crash
		Sound   []Sound
	}

	// Verdict tells what the evidence says about a request.
	Verdict struct {
		Crashes int           // number of upstreams that ended under the refused parts
		Refuse  bool          // whether the request must not be sent
		Trial   bool          // whether the request may be sent only as the one trial of its parts
		Retry   time.Duration // time until a trial is possible; zero if the request is not refused
	}

	// Conviction is a set of parts that explains crashes. Requests that have all of them are refused.
	Conviction struct {
		Parts     []uint64
		Crashes   int       // number of crashes that they explain
		ToldApart bool      // whether requests without these parts were answered
		Until     time.Time // when a trial is possible
	}

	// Ledger holds the evidence that one host knows. It is not safe for concurrent use.
	Ledger struct {
		crashes     []*crash // by time
		sound       map[uint64]answer
		blamed      map[uint64]int // number of crashes with the part
		convictions []conviction
		stale       bool      // whether the evidence has changed since the convictions were determined
		required    int       // weight of the crashes that convict a part without an answer
		single      bool      // whether each request has one part, which only its repeats share
		sweptAt     time.Time // when old answers were dropped
	}

	// answer is the last complete answer to a request with a part.
	answer struct {
		id uint64
		at time.Time
	}

	crash struct {
		upstream    string
		born        int64
		parts       []suspect
		requests    [][]uint64 // parts by request, sorted
		at          time.Time
		learnedAt   time.Time // when the last of the parts became known
		acquittedAt time.Time // when all parts had been answered since; zero means not yet
	}

	// suspect is a part at a crash.
	suspect struct {
		part    uint64
		waiting bool // whether its requests had probably not begun
	}
)

// New returns a ledger without evidence about parts of prompts.
func New() *Ledger {
	return &Ledger{sound: make(map[uint64]answer), blamed: make(map[uint64]int), required: requiredWeight}
}

// NewOfRequests returns a ledger without evidence about whole requests, each of which has one part that only its repeats share.
func NewOfRequests() *Ledger {
	l := New()
	l.required, l.single = requestWeight, true
	return l
}

// RecordCrash records that an upstream ended while a request was there that it may have been beginning to answer, and reports whether that is
// new. A waiting request had probably not begun.
func (l *Ledger) RecordCrash(now time.Time, upstream string, born int64, parts []uint64, waiting bool) bool {
	c := Crash{Upstream: upstream, Born: born, Parts: parts}
	if !l.single {
		c.Requests = [][]uint64{parts}
	}
	if waiting {
		c.Parts, c.Waiting = nil, parts
	}
	return l.add(now, c)
}

// add adds what is known of a crash to what other requests and hosts told of it, and reports whether that is new.
func (l *Ledger) add(now time.Time, x Crash) bool {
	at := now.Add(-x.Age)
	if len(x.Parts)+len(x.Waiting) == 0 || x.Age < 0 || x.Age > crashTTL {
		return false
	}
	i := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.upstream == x.Upstream && c.born == x.Born })
	var c *crash
	if i >= 0 {
		c = l.crashes[i]
	} else {
		if c = l.insert(x, at); c == nil {
			return false
		}
	}
	added := false
	for _, list := range []struct {
		parts   []uint64
		waiting bool
	}{{x.Parts, false}, {x.Waiting, true}} {
		for _, p := range list.parts {
			if l.addPart(c, suspect{p, list.waiting}) {
				added = true
			}
		}
	}
	for _, parts := range x.Requests {
		if c.addRequest(parts) {
			c.learnedAt, l.stale = now, true
		}
	}
	if !added {
		return false
	}
	c.learnedAt, l.stale = now, true
	if c.acquittedAt.IsZero() && !l.hasSuspects(c) {
		c.acquittedAt = now // It is kept for a while, so that the other hosts learn of the answers.
	} else if l.hasSuspects(c) {
		c.acquittedAt = time.Time{}
	}
	return c.acquittedAt.IsZero()
}

// insert adds a crash without parts. It returns nil if the ledger is full and the crash is older than the others.
func (l *Ledger) insert(x Crash, at time.Time) *crash {
	if len(l.crashes) >= maxCrashes {
		if at.Before(l.crashes[0].at) {
			return nil
		}
		l.dropLeast()
	}
	i, _ := slices.BinarySearchFunc(l.crashes, at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	c := &crash{upstream: x.Upstream, born: x.Born, at: at}
	l.crashes = slices.Insert(l.crashes, i, c)
	return c
}

// addRequest adds the parts of one request to a crash and reports whether they are new.
func (c *crash) addRequest(parts []uint64) bool {
	sorted := slices.Sorted(slices.Values(parts))
	known := slices.ContainsFunc(c.requests, func(r []uint64) bool { return slices.Equal(r, sorted) })
	if known || len(c.requests) >= maxRequests || len(parts) > maxParts {
		return false
	}
	c.requests = append(c.requests, sorted)
	return true
}

// Ended reports whether the crash of the upstream's process is known.
func (l *Ledger) Ended(upstream string, born int64) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return c.upstream == upstream && c.born == born })
}

// addPart adds a part to a crash, in place of a less suspicious one if there are too many, and reports whether that is new.
func (l *Ledger) addPart(c *crash, s suspect) bool {
	for i, x := range c.parts {
		if x.part == s.part {
			better := x.waiting && !s.waiting
			if better {
				c.parts[i].waiting = false
			}
			return better
		}
	}
	if len(c.parts) >= maxParts {
		least := slices.MinFunc(c.parts, func(a, b suspect) int { return l.rank(a) - l.rank(b) })
		if l.rank(least) >= l.rank(s) {
			return false
		}
		c.parts = slices.DeleteFunc(c.parts, func(x suspect) bool { return x == least })
		l.release(least.part)
	}
	c.parts = append(c.parts, s)
	l.blamed[s.part]++
	return true
}

// rank orders the parts of a crash by how suspicious they are.
func (l *Ledger) rank(s suspect) int {
	rank := 0
	if _, ok := l.sound[s.part]; !ok {
		rank += 2
	}
	if !s.waiting {
		rank++
	}
	if l.single {
		rank += 4 * min(l.blamed[s.part], requestWeight) // Among the many requests of one crash, those of others are the suspects.
	}
	return rank
}

// repeated reports whether a part of the crash was at another one.
func (l *Ledger) repeated(c *crash) bool {
	return slices.ContainsFunc(c.parts, func(s suspect) bool { return l.blamed[s.part] > 1 })
}

func (l *Ledger) release(part uint64) {
	if l.blamed[part]--; l.blamed[part] <= 0 {
		delete(l.blamed, part)
	}
}

// drop drops the crashes for which the function returns true.
func (l *Ledger) drop(dropped func(c *crash) bool) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool {
		if !dropped(c) {
			return false
		}
		for _, s := range c.parts {
			l.release(s.part)
		}
		l.stale = true
		return true
	})
}

// dropLeast drops the oldest crash that no conviction needs, or else the oldest one of the conviction with the most.
func (l *Ledger) dropLeast() {
	l.update()
	least := l.crashes[0]
	if i := slices.IndexFunc(l.crashes, func(c *crash) bool { return !l.needed(c) }); i >= 0 {
		least = l.crashes[i]
	} else if len(l.convictions) > 0 {
		least = slices.MaxFunc(l.convictions, func(a, b conviction) int { return len(a.crashes) - len(b.crashes) }).crashes[0]
	}
	l.drop(func(c *crash) bool { return c == least })
}

func (l *Ledger) needed(c *crash) bool {
	return slices.ContainsFunc(l.convictions, func(v conviction) bool { return slices.Contains(v.crashes, c) })
}

// RecordSound records an answer to a request with the parts that was complete at the given time. None of them crashes upstreams by itself.
func (l *Ledger) RecordSound(at time.Time, parts []uint64) {
	a := answer{rand.Uint64(), at} //nolint:gosec // an id need not be unpredictable
	for _, p := range parts {
		l.setSound(p, a)
	}
}

func (l *Ledger) setSound(part uint64, a answer) {
	old, known := l.sound[part]
	if !known && len(l.sound) >= maxSound && l.blamed[part] == 0 {
		return
	}
	l.sound[part] = a
	if l.blamed[part] > 0 && (!known || l.clears(old, part) != l.clears(a, part)) {
		l.stale = true
	}
}

// clears returns the number of crashes of which the answer clears the part.
func (l *Ledger) clears(a answer, part uint64) int {
	n := 0
	for _, c := range l.crashes {
		if !a.at.Before(c.at) && slices.ContainsFunc(c.parts, func(s suspect) bool { return s.part == part }) {
			n++
		}
	}
	return n
}

// Suspected reports whether an upstream ended under a request with the part that has not been answered since.
func (l *Ledger) Suspected(part uint64) bool {
	return l.blamed[part] > 0 && slices.ContainsFunc(l.crashes, func(c *crash) bool {
		return slices.ContainsFunc(c.parts, func(s suspect) bool { return s.part == part }) && l.suspected(c, part)
	})
}

// Known reports whether requests with each of the parts have been answered lately.
func (l *Ledger) Known(now time.Time, parts []uint64) bool {
	for _, p := range parts {
		if a, ok := l.sound[p]; !ok || now.Sub(a.at) > soundTTL {
			return false
		}
	}
	return true
}

// suspected reports whether a part of the crash has not been answered since.
func (l *Ledger) suspected(c *crash, part uint64) bool {
	a, ok := l.sound[part]
	return !ok || a.at.Before(c.at)
}

func (l *Ledger) hasSuspects(c *crash) bool {
	return slices.ContainsFunc(c.parts, func(s suspect) bool { return l.suspected(c, s.part) })
}

// Judge returns the verdict about a request with the parts. A request is at fault if it has all parts of a conviction.
func (l *Ledger) Judge(now time.Time, parts []uint64) Verdict {
	l.update()
	var v Verdict
	for _, x := range l.convictions {
		if slices.ContainsFunc(x.parts, func(p uint64) bool { return !slices.Contains(parts, p) }) {
			continue
		}
		v.Crashes = max(v.Crashes, len(x.crashes))
		until := x.until()
		v.Refuse, v.Trial = v.Refuse || now.Before(until), true
		v.Retry = max(v.Retry, until.Sub(now))
	}
	v.Trial = v.Trial && !v.Refuse
	return v
}

// Expire drops evidence that no longer counts.
func (l *Ledger) Expire(now time.Time) {
	for _, c := range l.crashes {
		if c.acquittedAt.IsZero() && !l.hasSuspects(c) {
			c.acquittedAt = now
		}
	}
	l.drop(func(c *crash) bool {
		lapsed := now.Sub(c.at) > crashTTL || l.single && now.Sub(c.at) > singleTTL && !l.repeated(c)
		return lapsed || !c.acquittedAt.IsZero() && now.Sub(c.acquittedAt) > recentTime
	})
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.sound, func(part uint64, a answer) bool {
		// What acquits a part of a crash counts as long as the crash does.
		return now.Sub(a.at) > soundTTL && l.blamed[part] == 0
	})
}

// Export returns the evidence to send to another host: what is recent, and with all set the rest too. Of crashes of whole requests, the rest has
// only those with a request that was at several.
func (l *Ledger) Export(now time.Time, all bool) Evidence {
	var e Evidence
	seen := make(map[uint64]bool)
	for _, c := range l.crashes {
		isRecent := now.Sub(c.learnedAt) <= recentTime || !c.acquittedAt.IsZero() && now.Sub(c.acquittedAt) <= recentTime
		if !isRecent && (!all || l.single && !l.repeated(c)) {
			continue
		}
		x := Crash{Upstream: c.upstream, Born: c.born, Requests: slices.Clone(c.requests), Age: now.Sub(c.at)}
		for _, s := range c.parts {
			if s.waiting {
				x.Waiting = append(x.Waiting, s.part)
			} else {
				x.Parts = append(x.Parts, s.part)
			}
			if a, ok := l.sound[s.part]; ok && !seen[s.part] {
				seen[s.part] = true
				e.Sound = append(e.Sound, Sound{s.part, a.id, now.Sub(a.at)})
			}
		}
		e.Crashes = append(e.Crashes, x)
	}
	return e
}

// Merge adds the evidence of another host and reports whether a part of a crash was new.
func (l *Ledger) Merge(now time.Time, e Evidence) bool {
	for _, s := range e.Sound {
		if s.Age < 0 {
			continue
		}
		a := answer{s.Answer, now.Add(-s.Age)}
		known, ok := l.sound[s.Part]
		isSame := ok && a.id != 0 && a.id == known.id
		if !ok || isSame && a.at.Before(known.at) || !isSame && a.at.After(known.at) {
			l.setSound(s.Part, a)
		}
	}
	added := false
	for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashes)] {
		added = l.add(now, c) || added
	}
	return added
}

// Convictions returns what the evidence convicts.
func (l *Ledger) Convictions() []Conviction {
	l.update()
	list := make([]Conviction, len(l.convictions))
	for i, v := range l.convictions {
		list[i] = Conviction{v.parts, len(v.crashes), v.toldApart, v.until()}
	}
	return list
}

// CrashCount returns the number of crashes in the ledger.
func (l *Ledger) CrashCount() int { return len(l.crashes) }
