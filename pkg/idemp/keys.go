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

// mintedKey holds the range and the epoch encoded in a key from Mint.
type mintedKey struct {
	keyRange int
	epoch    int64
}

// RangeOf returns the range of a key: the one encoded in a minted key, otherwise the one that the hash selects.
func RangeOf(key string, ranges int) int {
	if m, ok := parseMinted(key, ranges); ok {
		return m.keyRange
	}
	return int(xxhash.Sum64String(key) % uint64(ranges))
}

// MintedEpoch returns the epoch encoded in the key and reports whether the key has the form of a key minted for a system with
// this number of ranges.
func MintedEpoch(key string, ranges int) (epoch int64, ok bool) {
	m, ok := parseMinted(key, ranges)
	return m.epoch, ok
}

// mintKey returns a key that encodes a range and an epoch. The key needs no secret: it is refused before its epoch, so a forged
// key is no older than a genuine one. The checksum distinguishes minted keys from similar keys chosen by callers.
func mintKey(keyRange int, epoch int64, rng *rand.Rand) string {
	body := fmt.Sprintf("%s.%d.%d.%016x%016x", mintPrefix, keyRange, epoch, rng.Uint64(), rng.Uint64())
	return body + "." + checksum(body)
}

func parseMinted(key string, ranges int) (mintedKey, bool) {
	parts := strings.Split(key, ".")
	if len(parts) != mintParts || parts[0] != mintPrefix {
		return mintedKey{}, false
	}
	keyRange, err := strconv.Atoi(parts[1])
	if err != nil || keyRange < 0 || keyRange >= ranges {
		return mintedKey{}, false
	}
	epoch, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || epoch <= 0 || checksum(strings.Join(parts[:mintParts-1], ".")) != parts[mintParts-1] {
		return mintedKey{}, false
	}
	return mintedKey{keyRange: keyRange, epoch: epoch}, true
}

func checksum(body string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(body))
}

// validEntries reports whether the entries from a peer belong to the range and have a valid state. Without this check,
// a faulty peer could add keys that no Begin looks up in this table, or states that no rule handles.
func validEntries(entries []Entry, keyRange, ranges int) bool {
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

// score returns the rank of a daemon for a range by rendezvous hashing; the highest score is preferred.
func score(keyRange int, incarnation string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(keyRange) + "/" + incarnation)
}
