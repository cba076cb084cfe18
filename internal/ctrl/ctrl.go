package ctrl

import (
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

const controlQueue = 4096

type (
	// Thread runs steps one after the other. All decision state belongs to it.
	Thread struct {
		steps   chan func()
		stopped chan struct{}
		ended   chan struct{}
		once    sync.Once
		metrics *telem.Metrics
	}

	// Alarm calls back on the control thread at the earliest time that was asked for.
	Alarm struct {
		control *Thread
		ring    func()
		timer   *time.Timer
		at      time.Time
	}
)

// New returns a control thread that does not run yet.
func New(m *telem.Metrics) *Thread {
	return &Thread{steps: make(chan func(), controlQueue), stopped: make(chan struct{}), ended: make(chan struct{}), metrics: m}
}

// Run executes steps until stop.
func (c *Thread) Run() error {
	defer close(c.ended)
	for {
		select {
		case step := <-c.steps:
			begin := time.Now()
			step()
			c.metrics.ControlStep(time.Since(begin))
		case <-c.stopped:
			return nil
		}
	}
}

// Post queues a step; after stop it is dropped.
func (c *Thread) Post(step func()) {
	select {
	case c.steps <- step:
	case <-c.stopped:
	}
}

// Ask runs a step and waits for it; it reports false if the step was not run because of a stop. It waits for the end of the
// control thread and not for the stop, because a step that is running may still write what the caller reads next.
func (c *Thread) Ask(step func()) bool {
	done := make(chan struct{})
	c.Post(func() {
		step()
		close(done)
	})
	select {
	case <-done:
	case <-c.ended:
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Stop ends the thread after the step that is running; steps still queued are dropped.
func (c *Thread) Stop() { c.once.Do(func() { close(c.stopped) }) }

// NewAlarm returns an alarm that calls ring on the control thread.
func NewAlarm(c *Thread, ring func()) *Alarm { return &Alarm{control: c, ring: ring} }

// Set asks for a call at the time, or earlier if an earlier one is already set. It is called on the control thread. A call that is
// due already and waits for the thread does not count, because what it does may depend on the one that is asked for now.
func (a *Alarm) Set(at time.Time) {
	if a.timer != nil && a.at.After(time.Now()) {
		if !a.at.After(at) {
			return
		}
		a.timer.Stop()
	}
	a.at = at
	var t *time.Timer
	t = time.AfterFunc(time.Until(at), func() {
		a.control.Post(func() {
			// A timer that was replaced after it fired must not clear its successor.
			if a.timer == t {
				a.timer = nil
			}
			a.ring()
		})
	})
	a.timer = t
}

// Stopped returns a channel that is closed when the thread is asked to stop.
func (c *Thread) Stopped() <-chan struct{} { return c.stopped }
