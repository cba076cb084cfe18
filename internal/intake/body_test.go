package intake

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// TestBodyEndsWithItsLastByte guards against a body of one byte more than the limit that is accepted because the reader returns the end
// together with the last byte, as it does for a chunked body whose last chunk has arrived.
func TestBodyEndsWithItsLastByte(t *testing.T) {
	for _, limit := range []int64{0, 1, firstBodyPart - 1, firstBodyPart, firstBodyPart + 1, 1 << 18} {
		for _, size := range []int64{limit - 1, limit, limit + 1, limit + 2} {
			if size < 0 {
				continue
			}
			for _, isEndSeparate := range []bool{false, true} {
				f := newFixture(t)
				c, ok := f.Open(one, func() {})
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, c.BeginRequest(100, true), qt.IsNil)
				var r io.Reader = bytes.NewReader(make([]byte, size))
				if !isEndSeparate {
					r = iotest.DataErrReader(r)
				}
				parts, err := c.ReadBody(t.Context(), Body{Reader: r, Length: -1, Limit: limit})
				comment := qt.Commentf("%d bytes, limit %d, separate end %v", size, limit, isEndSeparate)
				qt.Check(t, codes.Is(err, codes.TooLarge), qt.Equals, size > limit, comment)
				if size <= limit {
					qt.Check(t, err, qt.IsNil, comment)
					qt.Check(t, bytes.Join(parts, nil), qt.HasLen, int(size), comment)
				}
			}
		}
	}
}
