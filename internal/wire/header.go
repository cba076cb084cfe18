package wire

import (
	"net/http"
	"strconv"
	"time"
)

// RetryAfter returns the delay in the Retry-After header, which is in seconds, or zero if the header is missing or invalid.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
