package route

import "time"

const (
	bucketSpan  = 50 * time.Millisecond
	bucketCount = 64 // 64 buckets of 50 ms cover 3.2 s, more than the lag of reports.
)

type (
	// meter is an exponentially weighted mean; the first samples have equal weight.
	meter struct {
		value float64
		count int
	}

	// history keeps the number of own requests in flight over the last seconds.
	history struct {
		last  int64 // last is the number of the newest bucket.
		level [bucketCount]int32
	}
)

func (m *meter) add(v, weight float64) {
	m.count++
	m.value += (v - m.value) * max(weight, 1/float64(m.count))
}

func (m *meter) or(v float64) float64 {
	if m.count == 0 {
		return v
	}
	return m.value
}

func (h *history) set(now time.Time, level int) {
	b := now.UnixNano() / int64(bucketSpan)
	if b > h.last {
		old := h.level[h.last%bucketCount]
		for i := max(h.last+1, b-bucketCount+1); i < b; i++ {
			h.level[i%bucketCount] = old
		}
		h.last = b
	}
	h.level[h.last%bucketCount] = int32(level)
}

// at returns the level at the end of the bucket before t, so that a request sent just before t counts as not yet reported.
func (h *history) at(t time.Time) int {
	b := t.UnixNano()/int64(bucketSpan) - 1
	b = max(min(b, h.last), h.last-bucketCount+1, 0)
	return int(h.level[b%bucketCount])
}
