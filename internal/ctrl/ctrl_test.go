package ctrl

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

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
