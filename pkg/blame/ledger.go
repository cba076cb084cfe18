package blame

import (
	"maps"
	"slices"
	"time"
)

const (
	// requiredCrashes is the number of upstreams that must have ended under the same parts before requests with these parts are refused.
	// One may have ended for another reason just as it began to answer.
	requiredCrashes = 2
	// requiredKnown is that number for parts that had all been answered before. A part of most requests is in each crash as a bystander, and
	// cannot be answered while the only upstream that could is away.
	requiredKnown = 5
	// refusalTime is how long requests are refused after the last crash; each further crash doubles it up to maxRefusalTime.
	refusalTime    = 2 * time.Minute
	maxRefusalTime = 30 * time.Minute
	// crashTTL is how long a crash counts; it is longer than requests are refused, so that one more crash in a trial suffices.
	crashTTL = time.Hour
	// soundTTL is how long a complete answer is remembered, and maxSound the number of parts of which one is.
	soundTTL = 2 * time.Minute
	maxSound = 4096
	// maxCrashes limits the evidence that a host keeps and sends, and crashesPerParts that about requests with the same parts.
	maxCrashes      = 64
	crashesPerParts = 8
	// recentTime is how long evidence is sent again after a host got it.
	recentTime = 10 * time.Second
)

type (
	// Crash is the end of an upstream as it began to answer a request.
	Crash struct {
		Upstream string
		Born     int64    // start of the upstream's process in Unix milliseconds
		Parts    []uint64 // shared parts of the request's prompt
		Age      time.Duration
	}

	// Sound is a complete answer to a request with the part.
	Sound struct {
		Part uint64
		Age  time.Duration // of the last such answer
	}

	// Evidence is what hosts send each other. Its ages are relative to the moment of sending, because the clocks of hosts differ.
	Evidence struct {
		Crashes []Crash
		Sound   []Sound
	}

	// Verdict tells what the evidence says about a request.
	Verdict struct {
		Crashes int           // number of upstreams that ended under parts that are all in the request
		Refuse  bool          // whether the request must not be sent
		Trial   bool          // whether the request may be sent only as the one trial of its parts
		Retry   time.Duration // time until a trial is possible; zero if the request is not refused
	}

	// Ledger holds the evidence that one host knows. It is not safe for concurrent use.
	Ledger struct {
		crashes []crash
		sound   map[uint64]time.Time // time of the last complete answer, by part
	}

	crash struct {
		Crash
		at          time.Time
		learnedAt   time.Time
		acquittedAt time.Time // when all parts had been answered since; zero means not yet
	}
)

// New returns a ledger without evidence.
func New() *Ledger { return &Ledger{sound: make(map[uint64]time.Time)} }

// RecordCrash records that an upstream ended as it began to answer a request, and reports whether that is new.
func (l *Ledger) RecordCrash(now time.Time, upstream string, born int64, parts []uint64) bool {
	return l.add(now, now, Crash{Upstream: upstream, Born: born, Parts: parts})
}

func (l *Ledger) add(now, at time.Time, c Crash) bool {
	if len(c.Parts) == 0 || now.Sub(at) > crashTTL {
		return false
	}
	same, oldest := 0, -1
	for i, x := range l.crashes {
		if !slices.Equal(x.Parts, c.Parts) {
			continue
		}
		if x.Upstream == c.Upstream && x.Born == c.Born {
			return false
		}
		if same++; oldest < 0 || x.at.Before(l.crashes[oldest].at) {
			oldest = i
		}
	}
	added := crash{Crash: c, at: at, learnedAt: now}
	if len(l.suspects(added)) == 0 {
		added.acquittedAt = now // It is kept for a while, so that the other hosts learn of the answers.
	}
	switch {
	case same >= crashesPerParts && at.Before(l.crashes[oldest].at):
		return false
	case same >= crashesPerParts:
		l.crashes = slices.Delete(l.crashes, oldest, oldest+1)
	case len(l.crashes) >= maxCrashes:
		l.dropLeast()
	}
	l.crashes = append(l.crashes, added)
	return added.acquittedAt.IsZero()
}

// dropLeast drops the oldest crash under parts of which no other crash is known, or the oldest of all.
func (l *Ledger) dropLeast() {
	least, leastAlone := 0, false
	for i, x := range l.crashes {
		alone := true
		for j, y := range l.crashes {
			alone = alone && (i == j || !slices.Equal(x.Parts, y.Parts))
		}
		if i == 0 || alone && !leastAlone || alone == leastAlone && x.at.Before(l.crashes[least].at) {
			least, leastAlone = i, alone
		}
	}
	l.crashes = slices.Delete(l.crashes, least, least+1)
}

// RecordSound records a complete answer to a request with the parts. None of them crashes upstreams by itself.
func (l *Ledger) RecordSound(now time.Time, parts []uint64) {
	for _, p := range parts {
		if _, ok := l.sound[p]; ok || len(l.sound) < maxSound || l.blamed(p) {
			l.sound[p] = now
		}
	}
}

func (l *Ledger) blamed(part uint64) bool {
	return slices.ContainsFunc(l.crashes, func(c crash) bool { return slices.Contains(c.Parts, part) })
}

// Known reports whether requests with each of the parts have been answered lately.
func (l *Ledger) Known(now time.Time, parts []uint64) bool {
	for _, p := range parts {
		if at, ok := l.sound[p]; !ok || now.Sub(at) > soundTTL {
			return false
		}
	}
	return true
}

// suspects returns the parts of the crash that have not been answered since.
func (l *Ledger) suspects(c crash) []uint64 {
	var list []uint64
	for _, p := range c.Parts {
		if at, ok := l.sound[p]; !ok || at.Before(c.at) {
			list = append(list, p)
		}
	}
	return list
}

// unknown returns those of the parts that have not been answered lately.
func (l *Ledger) unknown(parts []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(parts), func(p uint64) bool {
		_, ok := l.sound[p]
		return ok
	})
}

// Judge returns the verdict about a request with the parts. The request is at fault if it has all suspects of several crashes: of two
// parts that occur together, a request with one of them shows which it is. Parts that were answered before are suspects only of crashes
// that no other part explains.
func (l *Ledger) Judge(now time.Time, parts []uint64) Verdict {
	var v Verdict
	if len(l.crashes) == 0 || len(parts) == 0 {
		return v
	}
	var last time.Time
	type process struct {
		upstream string
		born     int64
	}
	explained := make(map[process]bool)
	for _, c := range l.crashes {
		if len(l.unknown(l.suspects(c))) > 0 {
			explained[process{c.Upstream, c.Born}] = true
		}
	}
	ended, endedKnown := make(map[process]bool), make(map[process]bool)
	for _, c := range l.crashes {
		p := process{c.Upstream, c.Born}
		suspects, count := l.suspects(c), endedKnown
		if explained[p] {
			suspects, count = l.unknown(suspects), ended
		}
		if len(suspects) == 0 || slices.ContainsFunc(suspects, func(p uint64) bool { return !slices.Contains(parts, p) }) {
			continue
		}
		count[p] = true
		if c.at.After(last) {
			last = c.at
		}
	}
	required := requiredCrashes
	if v.Crashes = len(ended); v.Crashes < required {
		v.Crashes, required = len(endedKnown), requiredKnown
	}
	if v.Crashes < required {
		return v
	}
	until := last.Add(min(refusalTime<<(v.Crashes-required), maxRefusalTime))
	v.Refuse, v.Trial = now.Before(until), !now.Before(until)
	if v.Refuse {
		v.Retry = until.Sub(now)
	}
	return v
}

// Expire drops evidence that no longer counts.
func (l *Ledger) Expire(now time.Time) {
	for i := range l.crashes {
		if c := &l.crashes[i]; c.acquittedAt.IsZero() && len(l.suspects(*c)) == 0 {
			c.acquittedAt = now
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(c crash) bool {
		return now.Sub(c.at) > crashTTL || !c.acquittedAt.IsZero() && now.Sub(c.acquittedAt) > recentTime
	})
	maps.DeleteFunc(l.sound, func(_ uint64, at time.Time) bool { return now.Sub(at) > soundTTL })
}

// Export returns the evidence to send to another host: all of it, or only what is recent.
func (l *Ledger) Export(now time.Time, all bool) Evidence {
	var e Evidence
	seen := make(map[uint64]bool)
	for _, c := range l.crashes {
		if !all && now.Sub(c.learnedAt) > recentTime && (c.acquittedAt.IsZero() || now.Sub(c.acquittedAt) > recentTime) {
			continue
		}
		c.Age = now.Sub(c.at)
		e.Crashes = append(e.Crashes, c.Crash)
		for _, p := range c.Parts {
			if at, ok := l.sound[p]; ok && !seen[p] {
				seen[p] = true
				e.Sound = append(e.Sound, Sound{p, now.Sub(at)})
			}
		}
	}
	return e
}

// Merge adds the evidence of another host and reports whether a crash was new.
func (l *Ledger) Merge(now time.Time, e Evidence) bool {
	for _, s := range e.Sound {
		at, ok := l.sound[s.Part]
		if t := now.Add(-s.Age); s.Age >= 0 && (!ok && (len(l.sound) < maxSound || l.blamed(s.Part)) || ok && t.After(at)) {
			l.sound[s.Part] = t
		}
	}
	added := false
	for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashes)] {
		if c.Age >= 0 && l.add(now, now.Add(-c.Age), c) {
			added = true
		}
	}
	return added
}

// CrashCount returns the number of crashes in the ledger.
func (l *Ledger) CrashCount() int { return len(l.crashes) }
