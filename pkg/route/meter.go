package route

import "time"

const (
	bucketWidth = 50 * time.Millisecond
	bucketCount = 64 // 64 buckets of 50 ms cover 3.2 s, more than the delay of reports.
)

type (
	// ewma is an exponentially weighted moving average; the first samples have equal weight.
	ewma struct {
		value float64
		count int
	}

	// history keeps the number of this host's requests in flight over the last seconds.
	history struct {
		last  int64 // number of the newest bucket
		level [bucketCount]int32
	}
)

func (m *ewma) add(v, weight float64) {
	m.count++
	m.value += (v - m.value) * max(weight, 1/float64(m.count))
}

func (m *ewma) valueOr(v float64) float64 {
	if m.count == 0 {
		return v
	}
	return m.value
}

func (h *history) set(now time.Time, level int) {
	b := now.UnixNano() / int64(bucketWidth)
	if b > h.last {
		old := h.level[h.last%bucketCount]
		for i := max(h.last+1, b-bucketCount+1); i < b; i++ {
			h.level[i%bucketCount] = old
		}
		h.last = b
	}
	h.level[h.last%bucketCount] = int32(level)
}

// at returns the level at the end of the bucket before t. A request sent just before t is thereby treated as not yet reported.
func (h *history) at(t time.Time) int {
	b := t.UnixNano()/int64(bucketWidth) - 1
	b = max(min(b, h.last), h.last-bucketCount+1, 0)
	return int(h.level[b%bucketCount])
}
