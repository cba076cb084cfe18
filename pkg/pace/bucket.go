package pace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time over which the number of requests to an upstream is bounded.
	Window = 4 * time.Second
	// TakeoverTime is how long after its start a host gives no credit.
	TakeoverTime = 3 * time.Second
	// MaxWait is the longest time after which a host that got no credit may ask again.
	MaxWait = 5 * time.Second
	// oneRequest allows for the rounding of times.
	oneRequest = 1 - 1e-6
)

// Bucket holds the credit for requests to an upstream at its owner. It is not safe for concurrent use.
type Bucket struct {
	perSecond float64
	level     float64
	at        time.Time // time of level
	promised  time.Time // when the last host that was refused may ask again
}

// Bound returns the highest number of requests that hosts may send within Window.
func Bound(perSecond float64) float64 { return 1.5*perSecond*Window.Seconds() + 5 }

// capacity returns the credit of a full bucket. In a window in which one owner follows another, their buckets give perSecond × Window +
// 2 × capacity, which leaves three requests of Bound for those that arrive late.
func capacity(perSecond float64) float64 { return perSecond + 1 }

// NewBucket returns a bucket without credit. The limit must be positive.
func NewBucket(now time.Time, perSecond float64) *Bucket {
	return &Bucket{perSecond: perSecond, at: now, promised: now}
}

// SetLimit replaces the limit.
func (b *Bucket) SetLimit(now time.Time, perSecond float64) {
	b.accrue(now)
	b.perSecond, b.promised = perSecond, now
	b.level = min(b.level, capacity(perSecond))
}

// Take takes the credit of one request and returns zero, or else the time after which the host may ask again. Hosts that ask in succession get
// different times, at which there is credit.
func (b *Bucket) Take(now time.Time) time.Duration {
	b.accrue(now)
	if b.level >= oneRequest {
		b.level--
		return 0
	}
	interval := time.Duration(float64(time.Second) / b.perSecond)
	next := now.Add(time.Duration((1 - b.level) * float64(interval)))
	if promised := b.promised.Add(interval); promised.After(next) {
		next = promised
	}
	if latest := now.Add(MaxWait); next.After(latest) {
		next = latest
	}
	b.promised = next
	return next.Sub(now)
}

// accrue adds the credit up to the given time.
func (b *Bucket) accrue(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.level+b.perSecond*d.Seconds(), capacity(b.perSecond))
		b.at = now
	}
}

// Owner returns the host among the given ones that owns the credit of the upstream, or an empty string if there is none.
func Owner(upstream string, hosts []string) string {
	owner, highest := "", uint64(0)
	for _, name := range hosts {
		if w := weight(upstream, name); owner == "" || w > highest || w == highest && name < owner {
			owner, highest = name, w
		}
	}
	return owner
}

// weight orders the hosts of an upstream.
func weight(upstream, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}
