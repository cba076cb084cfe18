package retry

import "time"

const (
	steps = 20 // steps is the number of parts into which a window is divided.
	// firstShare is the share of the fixed part that a new process may use at once.
	firstShare = 0.15
)

type (
	// Window limits the repeats of one host to a share of the requests in a sliding window and its part of a fixed number
	// that all hosts share.
	Window struct {
		length   time.Duration
		ratio    float64
		extra    float64
		requests [steps]int
		repeats  [steps]int
		step     int64
		began    time.Time
	}
)

// NewWindow returns a limit of ratio times the requests in the window, and of extra divided among the hosts. The process that
// keeps it began at the given time.
func NewWindow(began time.Time, length time.Duration, ratio, extra float64) *Window {
	return &Window{began: began, length: length, ratio: ratio, extra: extra}
}

// Adjust changes the limit; what was counted stays.
func (w *Window) Adjust(now time.Time, length time.Duration, ratio, extra float64) {
	w.advance(now)
	w.ratio, w.extra = ratio, extra
	if w.length == length {
		return
	}
	// What was counted moves to the newest part of the new window, which errs on the side of fewer repeats.
	requests, repeats := sum(w.requests), sum(w.repeats)
	w.requests, w.repeats = [steps]int{}, [steps]int{}
	w.length = length
	w.step = w.stepAt(now)
	w.requests[w.step%steps], w.repeats[w.step%steps] = requests, repeats
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.step%steps]++
}

// Take counts a repeat, or reports false if the limit is reached; hosts is the number of hosts that may be at work.
func (w *Window) Take(now time.Time, hosts int) bool {
	w.advance(now)
	if float64(w.Repeats()+1) > w.Limit(now, hosts) {
		return false
	}
	w.repeats[w.step%steps]++
	return true
}

// Limit returns the number of repeats that the present window allows this host. The fixed part grows during the first
// window, because an earlier process of the host may have used it.
func (w *Window) Limit(now time.Time, hosts int) float64 {
	grown := min(firstShare+now.Sub(w.began).Seconds()/w.length.Seconds(), 1)
	return w.ratio*float64(sum(w.requests)) + grown*w.extra/float64(max(hosts, 1))
}

// Repeats returns the number of repeats in the window.
func (w *Window) Repeats() int { return sum(w.repeats) }

// stepAt numbers the parts of windows; there is one more part than the window needs, so that no repeat is dropped too early.
func (w *Window) stepAt(now time.Time) int64 { return now.UnixNano() / int64(w.length/(steps-1)) }

func (w *Window) advance(now time.Time) {
	step := w.stepAt(now)
	for range min(step-w.step, steps) {
		w.step++
		w.requests[w.step%steps], w.repeats[w.step%steps] = 0, 0
	}
	w.step = max(step, w.step)
}

func sum(list [steps]int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}
