package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/blame"
)

// BenchmarkJudge measures the check of each request with a ledger that is full.
func BenchmarkJudge(b *testing.B) {
	l := blame.New()
	for i := range 64 {
		l.RecordCrash(start, fmt.Sprint("u", i), 1, []uint64{common, theme, uint64(100 + i/2)}, false)
	}
	l.RecordSound(start, []uint64{common})
	parts := []uint64{common, theme, 131}
	for b.Loop() {
		l.Judge(start, parts)
	}
}

// BenchmarkExport measures the evidence in a heartbeat between hubs with a ledger that is full.
func BenchmarkExport(b *testing.B) {
	l := blame.New()
	for i := range 64 {
		l.RecordCrash(start, fmt.Sprint("u", i), 1, []uint64{common, theme, uint64(100 + i/2)}, false)
	}
	for b.Loop() {
		l.Export(start, true)
	}
}

// BenchmarkRecordSound measures a further answer to a request with parts at all crashes of a ledger that is full.
func BenchmarkRecordSound(b *testing.B) {
	l := blame.New()
	for i := range 64 {
		for j := range uint64(10) {
			l.RecordCrash(start, fmt.Sprint("u", i), 1, []uint64{common, theme, uint64(100+i)*10 + j}, false)
		}
	}
	for b.Loop() {
		l.RecordSound(start, []uint64{common})
		l.Judge(start, []uint64{common, theme, 131})
	}
}

// BenchmarkRequests measures what the ledger of requests costs for each answered request: its answer, and its share of the search for old ones.
func BenchmarkRequests(b *testing.B) {
	l := blame.NewOfRequests()
	now := start
	for n := uint64(0); b.Loop(); n++ {
		now = now.Add(20 * time.Millisecond)
		l.RecordSound(now, []uint64{n})
		l.Judge(now, []uint64{n})
		if n%5 == 0 {
			l.Expire(now)
		}
	}
}
