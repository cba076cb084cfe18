package daemon

import (
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

const controlQueue = 4096

type (
	// control runs steps one after the other. All decision state belongs to it.
	control struct {
		steps   chan func()
		stopped chan struct{}
		ended   chan struct{}
		once    sync.Once
		metrics *telem.Metrics
	}

	// alarm calls back on the control thread at the earliest time that was asked for.
	alarm struct {
		control *control
		ring    func()
		timer   *time.Timer
		at      time.Time
	}
)

func newControl(m *telem.Metrics) *control {
	return &control{steps: make(chan func(), controlQueue), stopped: make(chan struct{}), ended: make(chan struct{}), metrics: m}
}

// run executes steps until stop.
func (c *control) run() error {
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

// post queues a step; after stop it is dropped.
func (c *control) post(step func()) {
	select {
	case c.steps <- step:
	case <-c.stopped:
	}
}

// ask runs a step and waits for it; it reports false if the step was not run because of a stop. It waits for the end of the
// control thread and not for the stop, because a step that is running may still write what the caller reads next.
func (c *control) ask(step func()) bool {
	done := make(chan struct{})
	c.post(func() {
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

func (c *control) stop() { c.once.Do(func() { close(c.stopped) }) }

func newAlarm(c *control, ring func()) *alarm { return &alarm{control: c, ring: ring} }

// set asks for a call at the time, or earlier if an earlier one is already set. It is called on the control thread.
func (a *alarm) set(at time.Time) {
	if a.timer != nil && !a.at.After(at) {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.at = at
	var t *time.Timer
	t = time.AfterFunc(time.Until(at), func() {
		a.control.post(func() {
			// A timer that was replaced after it fired must not clear its successor.
			if a.timer == t {
				a.timer = nil
			}
			a.ring()
		})
	})
	a.timer = t
}
