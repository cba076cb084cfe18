package retry

import "time"

const (
	bucketCount = 20 // number of buckets, one more than a window spans
	// initialShare is the share of the fixed allowance that a new process may use at once.
	initialShare = 0.15
)

type (
	// Window limits the repeats of one host within a sliding window to a share of its requests plus its part of a fixed
	// allowance that all hosts share.
	Window struct {
		length    time.Duration
		ratio     float64 // repeats allowed per request
		allowance float64
		requests  [bucketCount]int
		repeats   [bucketCount]int
		bucket    int64 // number of the newest bucket
		startedAt time.Time
	}
)

// NewWindow returns a limit of ratio times the requests in the window plus the fixed allowance divided among the hosts; startedAt
// is when the process started.
func NewWindow(startedAt time.Time, length time.Duration, ratio, allowance float64) *Window {
	return &Window{startedAt: startedAt, length: length, ratio: ratio, allowance: allowance}
}

// Adjust changes the limit and the length of the window, and keeps the counts.
func (w *Window) Adjust(now time.Time, length time.Duration, ratio, allowance float64) {
	w.advance(now)
	w.ratio, w.allowance = ratio, allowance
	if w.length == length {
		return
	}
	// The counts move to the newest bucket of the new window, which errs on the side of fewer repeats.
	requests, repeats := sum(w.requests), sum(w.repeats)
	w.requests, w.repeats = [bucketCount]int{}, [bucketCount]int{}
	w.length = length
	w.bucket = w.bucketAt(now)
	w.requests[w.bucket%bucketCount], w.repeats[w.bucket%bucketCount] = requests, repeats
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.bucket%bucketCount]++
}

// Take counts a repeat, or returns false if the limit is reached; hosts is the number of hosts that may be running.
func (w *Window) Take(now time.Time, hosts int) bool {
	w.advance(now)
	if float64(w.Repeats()+1) > w.Limit(now, hosts) {
		return false
	}
	w.repeats[w.bucket%bucketCount]++
	return true
}

// Limit returns the number of repeats that this host is allowed in the current window. The fixed allowance grows to its full
// size during the first window of a process, because an earlier process of the host may have used it.
func (w *Window) Limit(now time.Time, hosts int) float64 {
	share := min(initialShare+now.Sub(w.startedAt).Seconds()/w.length.Seconds(), 1)
	return w.ratio*float64(sum(w.requests)) + share*w.allowance/float64(max(hosts, 1))
}

// Repeats returns the number of repeats in the window.
func (w *Window) Repeats() int { return sum(w.repeats) }

// bucketAt returns the number of the bucket that contains now. There is one more bucket than the window spans, so that no repeat
// is dropped too early.
func (w *Window) bucketAt(now time.Time) int64 {
	return now.UnixNano() / int64(w.length/(bucketCount-1))
}

func (w *Window) advance(now time.Time) {
	bucket := w.bucketAt(now)
	for range min(bucket-w.bucket, bucketCount) {
		w.bucket++
		w.requests[w.bucket%bucketCount], w.repeats[w.bucket%bucketCount] = 0, 0
	}
	w.bucket = max(bucket, w.bucket)
}

func sum(list [bucketCount]int) int {
	n := 0
	for _, x := range list {
		n += x
	}
	return n
}
