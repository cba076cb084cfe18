package blame_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/blame"
)

const (
	crashing  = uint64(1)
	bystander = uint64(2)
)

// crashWith records the crash of another upstream under the requests.
func crashWith(l *blame.Ledger, now time.Time, requests ...uint64) {
	upstream := fmt.Sprint("u", l.CrashCount())
	for _, r := range requests {
		l.RecordCrash(now, upstream, 1, []uint64{r}, false)
	}
}

func refuses(l *blame.Ledger, now time.Time, request uint64) bool {
	return l.Judge(now, []uint64{request}).Refuse
}

// TestThirdCrashOfARequest guards against a request that crashes a fourth upstream, and against one that is refused because the two upstreams
// that it was sent to ended for other reasons.
func TestThirdCrashOfARequest(t *testing.T) {
	l := blame.NewOfRequests()
	now := start
	for i := range 3 {
		qt.Assert(t, refuses(l, now, crashing), qt.IsFalse, qt.Commentf("%d crashes", i))
		crashWith(l, now, crashing, 100+uint64(i))
		now = now.Add(4 * time.Second)
	}
	qt.Assert(t, refuses(l, now, crashing), qt.IsTrue)
	qt.Assert(t, refuses(l, now, 100), qt.IsFalse)
	end := now.Add(10 * time.Minute)
	trials := 0
	for ; now.Before(end); now = now.Add(time.Second) {
		if l.Judge(now, []uint64{crashing}).Trial {
			crashWith(l, now, crashing)
			trials++
		}
	}
	qt.Assert(t, trials <= 3, qt.IsTrue, qt.Commentf("%d crashes in ten minutes after the third", trials))
}

// TestBystanderOfARequest guards against a sound request that is refused for minutes because its caller repeated it beside the one that crashes
// upstreams, and against the latter being sent again because the two can't be told apart.
func TestBystanderOfARequest(t *testing.T) {
	l := blame.NewOfRequests()
	now := start
	for range 3 {
		crashWith(l, now, crashing, bystander)
		now = now.Add(time.Second)
	}
	qt.Assert(t, refuses(l, now, crashing), qt.IsTrue)
	qt.Assert(t, refuses(l, now, bystander), qt.IsTrue)
	qt.Assert(t, refuses(l, now.Add(15*time.Second), bystander), qt.IsFalse)
	l.RecordSound(now, []uint64{bystander})
	qt.Assert(t, l.Judge(now, []uint64{bystander}), qt.Equals, blame.Verdict{})
	qt.Assert(t, refuses(l, now.Add(15*time.Second), crashing), qt.IsTrue)
}

// TestPopularRequestWithoutAnAnswer guards against a request of many callers that is refused for minutes, because it was at the first crashes of a
// new service before any request was answered.
func TestPopularRequestWithoutAnAnswer(t *testing.T) {
	l := blame.NewOfRequests()
	for i := range 3 {
		crashWith(l, start.Add(time.Duration(i)*time.Second), bystander)
	}
	now := start.Add(35 * time.Second)
	qt.Assert(t, l.Judge(now, []uint64{bystander}).Trial, qt.IsTrue)
	l.RecordSound(now, []uint64{bystander})
	qt.Assert(t, l.Judge(now, []uint64{bystander}), qt.Equals, blame.Verdict{})
}

// TestPopularRequest guards against a request that is refused because it comes from many callers, so that it is at each crash.
func TestPopularRequest(t *testing.T) {
	l := blame.NewOfRequests()
	now := start
	for i := range 10 {
		l.RecordSound(now, []uint64{bystander})
		now = now.Add(500 * time.Millisecond)
		crashWith(l, now, bystander, 100+uint64(i))
		now = now.Add(500 * time.Millisecond)
		qt.Assert(t, refuses(l, now, bystander), qt.IsFalse, qt.Commentf("%d crashes", i+1))
	}
	// Upstreams that end within two seconds count once against it.
	together := blame.NewOfRequests()
	together.RecordSound(start, []uint64{bystander})
	for i := range 20 {
		crashWith(together, start.Add(time.Duration(i)*50*time.Millisecond), bystander)
	}
	qt.Assert(t, refuses(together, start.Add(time.Second), bystander), qt.IsFalse)
}

// TestCrashesOfARequestAtSeveralHosts guards against a request that is not known because each host saw one of its crashes only.
func TestCrashesOfARequestAtSeveralHosts(t *testing.T) {
	hosts := []*blame.Ledger{blame.NewOfRequests(), blame.NewOfRequests(), blame.NewOfRequests()}
	for i, l := range hosts {
		l.RecordCrash(start, fmt.Sprint("u", i), 1, []uint64{crashing}, false)
		qt.Assert(t, l.Suspected(crashing), qt.IsTrue)
		qt.Assert(t, l.Suspected(bystander), qt.IsFalse)
	}
	for _, from := range hosts {
		for _, to := range hosts {
			to.Merge(start, from.Export(start, false))
		}
	}
	for _, l := range hosts {
		qt.Assert(t, refuses(l, start, crashing), qt.IsTrue)
	}
	hosts[0].RecordSound(start.Add(time.Second), []uint64{crashing})
	qt.Assert(t, hosts[0].Suspected(crashing), qt.IsFalse)
}

// TestRequestAmongManyOthers guards against a request that is not known because a crash has more requests than a ledger keeps of one, so that each
// host has kept others.
func TestRequestAmongManyOthers(t *testing.T) {
	const others = 60
	var hosts []*blame.Ledger
	for range 6 {
		hosts = append(hosts, blame.NewOfRequests())
	}
	now := start
	for i := range 3 {
		upstream := fmt.Sprint("u", i)
		for n := range others {
			hosts[n%len(hosts)].RecordCrash(now, upstream, 1, []uint64{uint64(100 + others*i + n)}, false)
		}
		hosts[i].RecordCrash(now, upstream, 1, []uint64{crashing}, false)
		for range 2 { // Each host tells its hub, which tells the others with their next heartbeats.
			for _, l := range hosts[1:] {
				hosts[0].Merge(now, l.Export(now, false))
				l.Merge(now, hosts[0].Export(now, false))
			}
		}
		now = now.Add(4 * time.Second)
	}
	for i, l := range hosts {
		qt.Check(t, refuses(l, now, crashing), qt.IsTrue, qt.Commentf("host %d", i))
	}
}

// TestEvidenceOfSingleCrashes guards against evidence that grows with each end of an upstream, and is sent again and again, although none of its
// requests came back.
func TestEvidenceOfSingleCrashes(t *testing.T) {
	l := blame.NewOfRequests()
	now := start
	crashWith(l, now, 100, 101)
	crashWith(l, now, crashing)
	crashWith(l, now, crashing)
	qt.Assert(t, l.Export(now, false).Crashes, qt.HasLen, 3)
	now = now.Add(20 * time.Second)
	qt.Assert(t, l.Export(now, false).Crashes, qt.HasLen, 0)
	qt.Assert(t, l.Export(now, true).Crashes, qt.HasLen, 2)
	l.Expire(now.Add(9 * time.Minute))
	qt.Assert(t, l.CrashCount(), qt.Equals, 3)
	l.Expire(now.Add(11 * time.Minute))
	qt.Assert(t, l.CrashCount(), qt.Equals, 2)
}
