package diag_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/diag"
)

const sampleLog = `  1.2 host1 {"time":"2026-01-01T00:00:01Z","level":"WARN","msg":"node: dependency lost","host":"h1","event":104,"dependency":"list"}
{"time":"2026-01-01T00:00:01.5Z","msg":"node: dependency lost","host":"h2","event":104,"dependency":"list"}
not a structured line
{"time":"2026-01-01T00:00:02Z","msg":"place: order","host":"h2","event":402,"model":"m1","upstream":"u1","answer":6}
{"time":"2026-01-01T00:00:02.01Z","msg":"request: waits for a load","host":"h1","event":203,"id":"r1","model":"m1","readyMS":6000}
{"time":"2026-01-01T00:00:03Z","msg":"request: ended","host":"h1","event":201,"id":"r1","model":"m1","code":3003,"reason":"late","tookMS":1500,"detail":"ready in 6s"}
{"time":"2026-01-01T00:00:03Z","msg":"request: ended","host":"h1","event":201,"id":"r2","code":3003,"reason":"late","detail":"ready in 7s"}
{"time":"2026-01-01T00:00:03Z","msg":"request: ended","host":"h1","event":200,"id":"r3","code":0}
{"time":"2026-01-01T00:01:00Z","msg":"place: order","host":"h2","event":402,"model":"m1","upstream":"u1"}
`

// TestTimeline guards against a timeline that lacks a relevant line of another host or includes unrelated lines.
func TestTimeline(t *testing.T) {
	lines, skipped, err := diag.Read(strings.NewReader(sampleLog))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, skipped, qt.Equals, 1)
	s := diag.Find(lines, "r1")
	var texts []string
	for _, l := range s.Lines {
		texts = append(texts, l.Host+" "+l.Text)
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{
		"h1 node: dependency lost", "h2 place: order", "h1 request: waits for a load", "h1 request: ended",
	})
	qt.Assert(t, s.Unordered, qt.IsTrue)
	var b bytes.Buffer
	qt.Assert(t, s.Write(&b), qt.IsNil)
	qt.Assert(t, strings.Contains(b.String(), "* 00:00:03.000 h1 [201] request: ended: code=3003 detail=ready in 6s"), qt.IsTrue, qt.Commentf("%s", &b))
	qt.Assert(t, diag.Find(lines, "none").Lines, qt.HasLen, 0)
}

// TestReasonsIgnoreNumbers guards against counting failures as different causes because numbers in their details differ.
func TestReasonsIgnoreNumbers(t *testing.T) {
	lines, _, err := diag.Read(strings.NewReader(sampleLog))
	qt.Assert(t, err, qt.IsNil)
	list := diag.Reasons(lines)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0], qt.Equals, diag.Reason{Code: 3003, Reason: "late", Detail: "ready in Ns", Count: 2, First: "r1"})
}

// FuzzRead guards against a malformed log line that makes the package panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sampleLog))
	f.Add([]byte(`{"time":5,"event":"x"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		lines, _, err := diag.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		diag.Reasons(lines)
		for _, l := range lines {
			if id, ok := l.Fields["id"].(string); ok {
				diag.Find(lines, id)
			}
		}
	})
}
