package ctrl

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// TestAlarmThatIsDueTakesANewTime guards against an alarm that is lost: its call was due and waited behind a step that asked for a
// later one, which was passed over because of the earlier one. Daemons then proposed no holders of key ranges any more.
func TestAlarmThatIsDueTakesANewTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(telem.NewMetrics())
		go func() { _ = c.Run() }()
		defer c.Stop()
		began := time.Now()
		var rung []time.Duration
		a := NewAlarm(c, func() { rung = append(rung, time.Since(began)) })
		c.Post(func() { a.Set(began.Add(100 * time.Millisecond)) })
		c.Post(func() { time.Sleep(150 * time.Millisecond) })
		c.Post(func() { a.Set(began.Add(300 * time.Millisecond)) })
		c.Post(func() { a.Set(began.Add(400 * time.Millisecond)) })
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, rung, qt.DeepEquals, []time.Duration{150 * time.Millisecond, 300 * time.Millisecond})
	})
}

// TestAskWaitsForItsStep guards against a step that still writes an answer while the asking goroutine already reads it: with
// a stop in between, Ask returned before its step had ended, and the reply to a peer was encoded while it was written.
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
