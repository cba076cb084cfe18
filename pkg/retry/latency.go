package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	window       = 256 // Samples after which the older half of the memory is dropped.
	refreshEvery = 16  // The quantiles are computed again after this many samples.
	highestMicro = 10 * 60 * 1000 * 1000
	digits       = 1 // One significant digit keeps a histogram at a few kilobytes for each model.
	medianRank   = 50
	lateRank     = 95
)

// Latency estimates the median and the 95th percentile of recent durations.
type Latency struct {
	recent *hdrhistogram.Histogram
	older  *hdrhistogram.Histogram
	count  int
	median time.Duration
	late   time.Duration
}

// Add takes over a sample.
func (l *Latency) Add(d time.Duration) {
	if l.recent == nil {
		l.recent = hdrhistogram.New(1, highestMicro, digits)
		l.older = hdrhistogram.New(1, highestMicro, digits)
	}
	if l.recent.TotalCount() >= window {
		l.recent, l.older = l.older, l.recent
		l.recent.Reset()
	}
	// The value is within the range of the histogram, so there is no error.
	_ = l.recent.RecordValue(min(max(d.Microseconds(), 1), highestMicro))
	l.count++
	if l.count%refreshEvery != 0 {
		return
	}
	h := l.recent
	if h.TotalCount() < window/2 && l.older.TotalCount() > 0 {
		h = l.older
	}
	l.median = time.Duration(h.ValueAtQuantile(medianRank)) * time.Microsecond
	l.late = time.Duration(h.ValueAtQuantile(lateRank)) * time.Microsecond
}

// Median returns the estimated median; it is zero until enough samples were seen.
func (l *Latency) Median() time.Duration { return l.median }

// Late returns the estimated 95th percentile; it is zero until enough samples were seen.
func (l *Latency) Late() time.Duration { return l.late }
