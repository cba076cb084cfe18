package ctrl

import (
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

const queueLength = 4096

type (
	// Thread runs queued steps sequentially on one goroutine. Decision state is accessed only from these steps.
	Thread struct {
		steps    chan func()
		stopped  chan struct{}
		finished chan struct{}
		once     sync.Once
		metrics  *telem.Metrics
	}

	// Alarm runs a callback on the control thread at the earliest time passed to Set.
	Alarm struct {
		thread   *Thread
		callback func()
		timer    *time.Timer
		dueAt    time.Time
	}
)

// New returns a control thread; Run starts it.
func New(m *telem.Metrics) *Thread {
	return &Thread{steps: make(chan func(), queueLength), stopped: make(chan struct{}), finished: make(chan struct{}), metrics: m}
}

// Run executes queued steps until Stop is called. It always returns nil.
func (c *Thread) Run() error {
	defer close(c.finished)
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

// Post queues a step and blocks while the queue is full. After Stop, the step is dropped.
func (c *Thread) Post(step func()) {
	select {
	case c.steps <- step:
	case <-c.stopped:
	}
}

// Ask runs a step on the control thread and waits until the step has finished. It reports false if the step was dropped because of
// Stop. After a call of Stop, Ask waits until Run has returned: a step that is still running may write data that the caller reads
// next.
func (c *Thread) Ask(step func()) bool {
	done := make(chan struct{})
	c.Post(func() {
		step()
		close(done)
	})
	select {
	case <-done:
	case <-c.finished:
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Stop ends the thread after the running step and drops the queued ones. It may be called more than once.
func (c *Thread) Stop() { c.once.Do(func() { close(c.stopped) }) }

// NewAlarm returns an alarm that runs the callback on the control thread.
func NewAlarm(c *Thread, callback func()) *Alarm { return &Alarm{thread: c, callback: callback} }

// Set schedules the callback for the given time, unless it is already scheduled for an earlier time in the future. A callback that
// is already due but still queued on the thread doesn't count as scheduled, because it may rely on the call at the new time. Set
// must be called on the control thread.
func (a *Alarm) Set(at time.Time) {
	if a.timer != nil && a.dueAt.After(time.Now()) {
		if !a.dueAt.After(at) {
			return
		}
		a.timer.Stop()
	}
	a.dueAt = at
	var t *time.Timer
	t = time.AfterFunc(time.Until(at), func() {
		a.thread.Post(func() {
			// A timer that was replaced after it fired must not clear the timer that replaced it.
			if a.timer == t {
				a.timer = nil
			}
			a.callback()
		})
	})
	a.timer = t
}

// Stopped returns a channel that is closed when Stop is called.
func (c *Thread) Stopped() <-chan struct{} { return c.stopped }
