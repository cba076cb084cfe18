package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// reading returns a list that was read once a second for a while, with ten entries written a second, and the time and position
// of the last reading.
func reading() (l *fleet.List, now time.Time, position int64) {
	l, now, position = fleet.NewList(), time.Unix(1000, 0), 50
	for range 10 {
		l.Up(now, position)
		now, position = now.Add(time.Second), position+10
	}
	l.Up(now, position)
	for _, id := range []string{"u1", "u2"} {
		l.Put(fleet.Upstream{ID: id, Beat: 1})
	}
	return l, now, position
}

// missingAfterAnOutage returns a list that could not be read for 6 s, in which the given number of entries was written and one
// of two upstreams disappeared, and the time of its reading.
func missingAfterAnOutage(written int64) (*fleet.List, time.Time) {
	l, now, position := reading()
	l.Down()
	now = now.Add(6 * time.Second)
	l.Up(now, position+written)
	l.Remove(now, "u1")
	return l, now
}

// TestLapsedEntryStaysAfterAnOutage guards against a service without upstreams after an outage of the list during which nobody
// could renew an entry, and against an entry that stays for good.
func TestLapsedEntryStaysAfterAnOutage(t *testing.T) {
	l, now := missingAfterAnOutage(5)
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	now = now.Add(2 * time.Second)
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	qt.Assert(t, l.Current(now.Add(time.Second)), qt.HasLen, 1)
}

// TestMissingEntryIsGoneIfOnlyThisHostWasBlind guards against requests to an upstream that has left, by a host that alone could
// not read the list and takes that for an outage.
func TestMissingEntryIsGoneIfOnlyThisHostWasBlind(t *testing.T) {
	l, now := missingAfterAnOutage(60)
	qt.Assert(t, l.Current(now), qt.HasLen, 1)
}

// TestAdoptedListIsNotBlind guards against requests to an upstream that has left, because a host that turns from its hub to the
// store keeps entries as after an outage.
func TestAdoptedListIsNotBlind(t *testing.T) {
	u1, u2 := fleet.Upstream{ID: "u1", Born: 1}, fleet.Upstream{ID: "u2", Born: 1}
	now := time.Unix(1000, 0)
	l := fleet.NewList()
	l.Up(now, 4)
	l.Reset(now, []fleet.Upstream{u1})
	l.Down() // From here on a hub reads the list.
	now = now.Add(20 * time.Second)
	l.Adopt(map[string]fleet.Upstream{"u1": u1, "u2": u2})
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	now = now.Add(200 * time.Millisecond)
	l.Up(now, 90)
	l.Reset(now, []fleet.Upstream{u1, u2})
	now = now.Add(time.Second)
	l.Up(now, 95)
	l.Remove(now, "u2")
	qt.Assert(t, l.Current(now), qt.HasLen, 1)
}
