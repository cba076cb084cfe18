package stream

import (
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// Chunk is a part of a streamed answer.
	Chunk struct {
		RequestID string
		Seq       int64 // Seq is the index of the first token, or the number of tokens at the end marker.
		Tokens    []string
		End       bool // End marks the end of the answer.
	}

	// Check is the state of one streamed answer.
	Check struct {
		requestID string
		attempt   int
		next      int64
		ended     bool
		broken    *codes.Error // broken is the fault of the present attempt.
		off       guards
	}

	// guards switches single checks off; only tests set it, to show that theirs notice.
	guards struct {
		attempt, sticky, request, index, gap, afterEnd, earlyEnd, overlap, resume, end bool
	}
)

// New returns the check of an answer whose first attempt has the number zero.
func New(requestID string) *Check { return &Check{requestID: requestID} }

// Accept returns the tokens of a chunk that the caller does not have yet. It fails with StreamBroken on a gap, on a
// chunk of another request and on tokens after the end; after a failure the attempt accepts nothing more.
func (c *Check) Accept(attempt int, k Chunk) ([]string, error) {
	// A cancelled attempt may still deliver; its tokens must not be mixed with those of the attempt that replaced it.
	if attempt != c.attempt && !c.off.attempt {
		return nil, nil
	}
	if c.broken != nil && !c.off.sticky {
		return nil, c.broken
	}
	last := k.Seq + int64(len(k.Tokens))
	switch {
	case k.RequestID != c.requestID && !c.off.request:
		return nil, c.fail("chunk belongs to another request")
	case (k.Seq < 0 || last < k.Seq) && !c.off.index:
		return nil, c.fail("chunk has an invalid index")
	case k.Seq > c.next && !c.off.gap:
		return nil, c.fail("tokens are missing")
	case c.ended && last > c.next && !c.off.afterEnd:
		return nil, c.fail("tokens follow the end")
	case k.End && last < c.next && !c.off.earlyEnd:
		return nil, c.fail("answer ends before tokens that were delivered")
	}
	c.ended = c.ended || k.End
	if last <= c.next {
		return nil, nil
	}
	fresh := k.Tokens
	if !c.off.overlap {
		fresh = k.Tokens[max(0, c.next-k.Seq):]
	}
	c.next = last
	return fresh, nil
}

func (c *Check) fail(detail string) error {
	c.broken = codes.New(codes.StreamBroken, detail)
	return c.broken
}

// Resume makes the attempt the present one and returns the index of the first token that it must deliver. The attempt
// carries a request ID of its own.
func (c *Check) Resume(attempt int, requestID string) int64 {
	c.attempt, c.requestID, c.broken = attempt, requestID, nil
	if c.off.resume {
		return c.next + 1
	}
	return c.next
}

// Next returns the number of tokens delivered, which is the index of the next one.
func (c *Check) Next() int64 { return c.next }

// Ended reports whether the whole answer was delivered.
func (c *Check) Ended() bool { return c.ended }

// Close returns nil if the whole answer was delivered and StreamBroken otherwise.
func (c *Check) Close() error {
	switch {
	case c.ended || c.off.end:
		return nil
	case c.broken != nil:
		return c.broken
	}
	return codes.Newf(codes.StreamBroken, "no end marker after %d tokens", c.next)
}
