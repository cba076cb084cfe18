package idemp

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultRanges is the number of key ranges.
	DefaultRanges = 64

	// MaxKeyLength limits the length of a key in bytes.
	MaxKeyLength = 255

	mintPrefix = "ffk1"
	mintParts  = 5
)

// minted is what a key from Mint carries.
type minted struct {
	keyRange int
	epoch    int64
}

// RangeOf returns the range of a key: the one that a minted key carries, otherwise the one its hash selects.
func RangeOf(key string, ranges int) int {
	if m, ok := parseMinted(key, ranges); ok {
		return m.keyRange
	}
	return int(xxhash.Sum64String(key) % uint64(ranges))
}

// Minted reports whether Mint formed the key for a system with this number of ranges, and the epoch that it carries.
func Minted(key string, ranges int) (epoch int64, ok bool) {
	m, ok := parseMinted(key, ranges)
	return m.epoch, ok
}

// The key needs no secret: a key that names an epoch is refused until that epoch, so a forged one is as new as a
// genuine one. The check sum separates minted keys from keys of callers that happen to look alike.
func mintKey(keyRange int, epoch int64, rng *rand.Rand) string {
	body := fmt.Sprintf("%s.%d.%d.%016x%016x", mintPrefix, keyRange, epoch, rng.Uint64(), rng.Uint64())
	return body + "." + checkSum(body)
}

func parseMinted(key string, ranges int) (minted, bool) {
	parts := strings.Split(key, ".")
	if len(parts) != mintParts || parts[0] != mintPrefix {
		return minted{}, false
	}
	keyRange, err := strconv.Atoi(parts[1])
	if err != nil || keyRange < 0 || keyRange >= ranges {
		return minted{}, false
	}
	epoch, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || epoch <= 0 || checkSum(strings.Join(parts[:mintParts-1], ".")) != parts[mintParts-1] {
		return minted{}, false
	}
	return minted{keyRange: keyRange, epoch: epoch}, true
}

func checkSum(body string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(body))
}

// acceptable reports whether a peer's entries belong to the range. A faulty peer must not put keys into a table in which
// no Begin would look for them, or states that no rule expects.
func acceptable(entries []Entry, keyRange, ranges int) bool {
	for _, e := range entries {
		if e.Key == "" || len(e.Key) > MaxKeyLength || e.State < Started || e.State > Lost {
			return false
		}
		if RangeOf(e.Key, ranges) != keyRange {
			return false
		}
	}
	return true
}

// score orders candidates for a range by rendezvous hashing; the highest comes first.
func score(keyRange int, incarnation string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(keyRange) + "/" + incarnation)
}
