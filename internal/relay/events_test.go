package relay

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// TestEndlessEvent guards against a stream that sends one event without end: the host would keep all of it in memory.
func TestEndlessEvent(t *testing.T) {
	c := qt.New(t)
	e := &events{}
	chunk := bytes.Repeat([]byte("x"), streamBufferSize)
	var err error
	sent := 0
	for ; err == nil && sent < 16<<20; sent += len(chunk) {
		_, err = e.push(chunk)
	}
	c.Assert(codes.Is(err, codes.EndlessResponse), qt.IsTrue, qt.Commentf("%d bytes: %v", sent, err))
	c.Assert(cap(e.partial) <= 2<<20, qt.IsTrue, qt.Commentf("%d bytes kept", cap(e.partial)))
}

// TestOnlyNewEventsAreProgress guards against a stalled stream that never ends because comments, blank lines or repeated events
// count as progress.
func TestOnlyNewEventsAreProgress(t *testing.T) {
	c := qt.New(t)
	progress := 0
	e := &events{onEvent: func() { progress++ }}
	for _, x := range []struct {
		text string
		want int
	}{
		{"id: 1\ndata: a\n\n", 1},
		{": still here\n\n", 1},
		{"\n\n", 1},
		{"id: 2\nda", 1},
		{"ta: b\n", 1},
		{"\n", 2},
		{"id: 2\ndata: b\n\n", 2},
		{"id: 3\ndata: c\n\n", 3},
	} {
		_, err := e.push([]byte(x.text))
		c.Assert(err, qt.IsNil)
		c.Assert(progress, qt.Equals, x.want, qt.Commentf("after %q", x.text))
	}
}

// TestSlowStreamIsProgress guards against a slow but sound stream that counts as stalled because its events have no ids.
func TestSlowStreamIsProgress(t *testing.T) {
	c := qt.New(t)
	progress := 0
	e := &events{onEvent: func() { progress++ }}
	for range 3 {
		_, err := e.push([]byte("data: a\n\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(progress, qt.Equals, 3)
}

// TestResumedEvents guards against a resumed stream that repeats or leaves out events, and against one that is rejected although ids only have
// to increase.
func TestResumedEvents(t *testing.T) {
	for _, x := range []struct {
		sent, resumed string
		ok            bool
	}{
		{"id: 1\n\n", "id: 1\n\n", false},
		{"id: 1\n\nid: 2\n\n", "id: 1\n\n", false},
		{"id: 1\n\nid: 2\n\n", "id: 3\n\n", true},
		{"id: 1\n\nid: 2\n\n", "id: 4\n\n", true},
		{"id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n", "id: 6\n\n", false},
		{"id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n", ": x\n\nid: 5\n\nid: 9\n\n", true},
		{"id: 1\n\nid: 4\n\nid: 5\n\nid: 9\n\n", "id: 12\n\n", true},
		{"id: 1\n\nid: 4\n\nid: 5\n\nid: 9\n\n", "id: 5\n\n", false},
		{"id: 1\n\nid: 2\n\n", "data: x\n\nid: 3\n\n", false},
		{"id: a\n\nid: b\n\n", "id: c\n\n", true},
		{"id: a\n\nid: b\n\n", "id: b\n\n", false},
	} {
		e := &events{}
		e.beginAttempt()
		_, err := e.push([]byte(x.sent))
		qt.Assert(t, err, qt.IsNil)
		e.beginAttempt()
		complete, err := e.push([]byte(x.resumed))
		qt.Check(t, err == nil, qt.Equals, x.ok, qt.Commentf("%q after %q: %v", x.resumed, x.sent, err))
		qt.Check(t, string(complete), qt.Equals, map[bool]string{true: x.resumed}[x.ok])
	}
}
