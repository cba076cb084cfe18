package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowSamples     = 256                   // samples per histogram; when the recent one is full, the older one is discarded
	refreshInterval   = 16                    // samples between two computations of the quantiles
	maxMicros         = 10 * 60 * 1000 * 1000 // ten minutes
	significantDigits = 1                     // keeps each histogram, one pair per model, at a few kilobytes
	medianRank        = 50
	p95Rank           = 95
)

// Latency estimates the median and the 95th percentile of recent durations.
type Latency struct {
	recent *hdrhistogram.Histogram
	older  *hdrhistogram.Histogram
	count  int
	median time.Duration
	p95    time.Duration
}

// Add records a sample.
func (l *Latency) Add(d time.Duration) {
	if l.recent == nil {
		l.recent = hdrhistogram.New(1, maxMicros, significantDigits)
		l.older = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	if l.recent.TotalCount() >= windowSamples {
		l.recent, l.older = l.older, l.recent
		l.recent.Reset()
	}
	// The value is clamped to the range of the histogram, so there is no error.
	_ = l.recent.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
	l.count++
	if l.count%refreshInterval != 0 {
		return
	}
	h := l.recent
	if h.TotalCount() < windowSamples/2 && l.older.TotalCount() > 0 {
		h = l.older
	}
	l.median = time.Duration(h.ValueAtQuantile(medianRank)) * time.Microsecond
	l.p95 = time.Duration(h.ValueAtQuantile(p95Rank)) * time.Microsecond
}

// Median returns the estimated median, or zero until enough samples have been recorded.
func (l *Latency) Median() time.Duration { return l.median }

// P95 returns the estimated 95th percentile, or zero until enough samples have been recorded.
func (l *Latency) P95() time.Duration { return l.p95 }
