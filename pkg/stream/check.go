package stream

import (
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// Chunk is a part of a streamed answer.
	Chunk struct {
		RequestID string
		Seq       int64 // index of the first token; for an end marker without tokens, the number of tokens
		Tokens    []string
		End       bool // set on the last chunk of the answer
	}

	// Check verifies the chunks of one streamed answer.
	Check struct {
		requestID string
		attempt   int
		next      int64
		finished  bool
		failure   *codes.Error // error of the current attempt
		disabled  disabledChecks
	}

	// disabledChecks disables single checks. Only tests set it, to show that they detect a missing check.
	disabledChecks struct {
		attempt, failed, request, index, gap, afterEnd, earlyEnd, overlap, resume, end bool
	}
)

// New returns the Check of an answer. The first attempt has the number 0.
func New(requestID string) *Check { return &Check{requestID: requestID} }

// Accept returns the tokens of a chunk that were not delivered yet. It returns a StreamBroken error for a gap, a chunk of
// another request, an invalid index, a premature end and tokens after the end. After an error the attempt accepts no more
// chunks. Chunks of other attempts are ignored.
func (c *Check) Accept(attempt int, chunk Chunk) ([]string, error) {
	// A cancelled attempt may still send chunks. Its tokens must not mix with those of the attempt that replaced it.
	if attempt != c.attempt && !c.disabled.attempt {
		return nil, nil
	}
	if c.failure != nil && !c.disabled.failed {
		return nil, c.failure
	}
	end := chunk.Seq + int64(len(chunk.Tokens))
	switch {
	case chunk.RequestID != c.requestID && !c.disabled.request:
		return nil, c.fail("chunk belongs to another request")
	case (chunk.Seq < 0 || end < chunk.Seq) && !c.disabled.index:
		return nil, c.fail("chunk has an invalid index")
	case chunk.Seq > c.next && !c.disabled.gap:
		return nil, c.fail("tokens are missing")
	case c.finished && end > c.next && !c.disabled.afterEnd:
		return nil, c.fail("tokens follow the end")
	case chunk.End && end < c.next && !c.disabled.earlyEnd:
		return nil, c.fail("answer ends before tokens that were delivered")
	}
	c.finished = c.finished || chunk.End
	if end <= c.next {
		return nil, nil
	}
	tokens := chunk.Tokens
	if !c.disabled.overlap {
		tokens = chunk.Tokens[max(0, c.next-chunk.Seq):]
	}
	c.next = end
	return tokens, nil
}

func (c *Check) fail(detail string) error {
	c.failure = codes.New(codes.StreamBroken, detail)
	return c.failure
}

// Resume makes the attempt the current one, with its own request ID, and returns the index of the first token that it must
// deliver.
func (c *Check) Resume(attempt int, requestID string) int64 {
	c.attempt, c.requestID, c.failure = attempt, requestID, nil
	if c.disabled.resume {
		return c.next + 1
	}
	return c.next
}

// Next returns the number of tokens delivered, which is the index of the next one.
func (c *Check) Next() int64 { return c.next }

// Finished reports whether the answer was delivered completely.
func (c *Check) Finished() bool { return c.finished }

// Close returns nil if the answer was delivered completely, and a StreamBroken error otherwise.
func (c *Check) Close() error {
	switch {
	case c.finished || c.disabled.end:
		return nil
	case c.failure != nil:
		return c.failure
	}
	return codes.Newf(codes.StreamBroken, "no end marker after %d tokens", c.next)
}
