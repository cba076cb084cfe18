package ctrl

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// TestSetWhileCallbackIsQueued guards against a lost alarm: while a due callback was queued behind other steps, Set ignored a
// later time because the earlier one still counted as scheduled. Daemons then stopped proposing holders of key ranges.
func TestSetWhileCallbackIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(telem.NewMetrics())
		go func() { _ = c.Run() }()
		defer c.Stop()
		began := time.Now()
		var calls []time.Duration
		a := NewAlarm(c, func() { calls = append(calls, time.Since(began)) })
		c.Post(func() { a.Set(began.Add(100 * time.Millisecond)) })
		c.Post(func() { time.Sleep(150 * time.Millisecond) })
		c.Post(func() { a.Set(began.Add(300 * time.Millisecond)) })
		c.Post(func() { a.Set(began.Add(400 * time.Millisecond)) })
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, calls, qt.DeepEquals, []time.Duration{150 * time.Millisecond, 300 * time.Millisecond})
	})
}

// TestAskWaitsForItsStep guards against a data race between a step and the goroutine that called Ask: when Stop was called while
// the step was running, Ask returned before the step had finished, and a reply to a peer was encoded while it was being written.
func TestAskWaitsForItsStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(telem.NewMetrics())
		ended := make(chan struct{})
		go func() {
			_ = c.Run()
			close(ended)
		}()
		release, answered := make(chan struct{}), make(chan bool, 1)
		go func() { answered <- c.Ask(func() { <-release }) }()
		synctest.Wait()
		c.Stop()
		synctest.Wait()
		qt.Assert(t, answered, qt.HasLen, 0, qt.Commentf("Ask returned while its step was running"))
		close(release)
		qt.Assert(t, <-answered, qt.IsTrue)
		<-ended
		qt.Assert(t, c.Ask(func() {}), qt.IsFalse)
	})
}
