package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// steadyList returns a list that was read once a second while ten entries a second were written, and the time and position of
// the last read.
func steadyList() (l *fleet.List, now time.Time, position int64) {
	l, now, position = fleet.NewList(), time.Unix(1000, 0), 50
	for range 10 {
		l.MarkRead(now, 0, position)
		now, position = now.Add(time.Second), position+10
	}
	l.MarkRead(now, 0, position)
	for _, id := range []string{"u1", "u2"} {
		l.Put(fleet.Upstream{ID: id, Beat: 1})
	}
	return l, now, position
}

// listAfterOutage returns a list that could not be read for 6 s and then lacked one of its two upstreams, and the time of the read
// after that. The given number of entries was written while the list could not be read.
func listAfterOutage(written int64) (*fleet.List, time.Time) {
	l, now, position := steadyList()
	l.MarkUnreadable()
	now = now.Add(6 * time.Second)
	l.MarkRead(now, 0, position+written)
	l.Remove(now, "u1")
	return l, now
}

// TestMissingEntryIsRetainedAfterAnOutage guards against a service that loses its upstreams because they could not renew their
// entries during an outage of the list, and against entries that are retained forever.
func TestMissingEntryIsRetainedAfterAnOutage(t *testing.T) {
	l, now := listAfterOutage(5)
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	now = now.Add(2 * time.Second)
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	qt.Assert(t, l.Current(now.Add(time.Second)), qt.HasLen, 1)
}

// TestMissingEntryIsRemovedIfOnlyThisHostCouldNotRead guards against requests to an upstream that has left: a host that
// was the only one unable to read the list must not treat that as an outage.
func TestMissingEntryIsRemovedIfOnlyThisHostCouldNotRead(t *testing.T) {
	l, now := listAfterOutage(60)
	qt.Assert(t, l.Current(now), qt.HasLen, 1)
}

// TestAdoptedListRetainsNoEntries guards against requests to an upstream that has left: a host that reads the list itself again,
// after its hub did so, must not retain entries as after an outage.
func TestAdoptedListRetainsNoEntries(t *testing.T) {
	u1, u2 := fleet.Upstream{ID: "u1", Born: 1}, fleet.Upstream{ID: "u2", Born: 1}
	now := time.Unix(1000, 0)
	l := fleet.NewList()
	l.MarkRead(now, 0, 4)
	l.Reset(now, []fleet.Upstream{u1})
	l.MarkUnreadable() // A hub reads the list from now on.
	now = now.Add(20 * time.Second)
	l.Adopt(map[string]fleet.Upstream{"u1": u1, "u2": u2}, fleet.Progress{}, true)
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	now = now.Add(200 * time.Millisecond)
	l.MarkRead(now, 0, 90)
	l.Reset(now, []fleet.Upstream{u1, u2})
	now = now.Add(time.Second)
	l.MarkRead(now, 0, 95)
	l.Remove(now, "u2")
	qt.Assert(t, l.Current(now), qt.HasLen, 1)
}

// TestAdoptedListTellsAnOutageFromASilentHub guards against requests to an upstream that has left: a host that turns from a silent hub to
// the published list, which the upstreams went on writing, must not retain what it lacks as after an outage.
func TestAdoptedListTellsAnOutageFromASilentHub(t *testing.T) {
	all := map[string]fleet.Upstream{"u1": {ID: "u1", Born: 1}, "u2": {ID: "u2", Born: 1}}
	hub, now, position := steadyList()
	for _, x := range []struct {
		written int64
		want    int
	}{{40, 1}, {3, 2}} {
		l := fleet.NewList()
		l.MarkRead(now.Add(-time.Minute), 0, 1) // One read at the start; it doesn't tell the rate.
		l.Put(fleet.Upstream{ID: "u0", Born: 1})
		l.Adopt(all, hub.Progress(), false)
		at := now.Add(4 * time.Second)
		l.MarkRead(at, 0, position+x.written)
		l.Reset(at, []fleet.Upstream{all["u1"]})
		qt.Check(t, l.Current(at), qt.HasLen, x.want, qt.Commentf("%d entries written", x.written))
	}
}

// TestLeftUpstreamDoesNotComeBackWithACopy guards against requests to an upstream that has left: the store came back from a copy that was made
// while the upstream was there, and has its entry again. An upstream that is alive writes its next entry.
func TestLeftUpstreamDoesNotComeBackWithACopy(t *testing.T) {
	l, now, position := steadyList()
	before := l.Current(now)
	l.Put(fleet.Upstream{ID: "u1", Beat: 5, Leaving: true})
	l.Remove(now, "u1")
	l.RecordChanges(now, before, l.Current(now))
	inCopy := []fleet.Upstream{{ID: "u1", Beat: 3}, {ID: "u2", Beat: 1}} // Hubs don't send each beat, so that the last known one may be lower.
	now = now.Add(10 * time.Second)
	l.MarkRead(now, 1, position-20)
	l.Reset(now, inCopy)
	qt.Assert(t, l.Current(now), qt.HasLen, 1)
	l.Reset(now.Add(time.Second), inCopy)
	qt.Assert(t, l.Current(now), qt.HasLen, 1)
	l.Put(fleet.Upstream{ID: "u1", Beat: 4})
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
}

// TestUpstreamComesBackWithACompleteList guards against an upstream that is alive and gets no work: it registered again while this host
// read complete lists within one era, each of which contained a newer entry, and each counted as a copy of an entry from before.
func TestUpstreamComesBackWithACompleteList(t *testing.T) {
	for _, era := range []int64{0, 1} {
		l, now, position := steadyList()
		before := l.Current(now)
		l.Remove(now, "u1")
		l.RecordChanges(now, before, l.Current(now))
		l.MarkRead(now.Add(time.Second), era, position)
		if era > 0 { // The first complete list of an era may be a copy.
			l.Reset(now, []fleet.Upstream{{ID: "u1", Beat: 3}, {ID: "u2", Beat: 1}})
			qt.Assert(t, l.Current(now), qt.HasLen, 1)
		}
		l.Reset(now, []fleet.Upstream{{ID: "u1", Beat: 4}, {ID: "u2", Beat: 1}})
		qt.Assert(t, l.Current(now), qt.HasLen, 2, qt.Commentf("era %d", era))
	}
}

// TestEntriesLostByTheStoreAreRetained guards against a service that loses its upstreams because the store came back from a copy without
// their entries, after an outage so short that no read failed, and in an outage after that: positions went back, and the rate of writing
// became negative.
func TestEntriesLostByTheStoreAreRetained(t *testing.T) {
	l, now, position := steadyList()
	now = now.Add(time.Second)
	l.MarkRead(now, 1, position-40)
	l.Reset(now, []fleet.Upstream{{ID: "u2", Beat: 1}})
	qt.Assert(t, l.Current(now), qt.HasLen, 2)
	qt.Assert(t, l.Current(now.Add(3*time.Second)), qt.HasLen, 1, qt.Commentf("an entry that is still missing is gone"))
	rate := l.Progress().Rate
	qt.Assert(t, rate > 9 && rate < 11, qt.IsTrue, qt.Commentf("%v entries a second", rate))
}
