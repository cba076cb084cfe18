package logs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const recordsPath = "/v1/streams/s/records"

// call returns the status of the response, or 0 if the connection was aborted.
func call(s *Service, method, path, body, client string) (status int, a wire.ReadResponse, w *httptest.ResponseRecorder) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set(HeaderClient, client)
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.Handler().ServeHTTP(w, r)
	_ = json.Unmarshal(w.Body.Bytes(), &a) // A problem document leaves the result empty.
	return w.Code, a, w
}

// Offsets must be consecutive, and a read below the first kept record must return 410 and not silently skip records.
func TestAppendAndRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := qt.New(t), New(Settings{KeepRecords: 3, KeepFor: time.Minute})
		defer s.Close()
		for i := 1; i <= 3; i++ {
			status, _, w := call(s, http.MethodPost, recordsPath, fmt.Sprint(i), "")
			c.Assert(status, qt.Equals, 200)
			c.Assert(strings.TrimSpace(w.Body.String()), qt.Equals, fmt.Sprintf(`{"offset":%d}`, i))
			time.Sleep(time.Second)
		}
		for _, bad := range []string{"", "{", "1 2", `"` + strings.Repeat("x", maxRecordBytes) + `"`} {
			status, _, _ := call(s, http.MethodPost, recordsPath, bad, "")
			c.Check(status/100, qt.Equals, 4)
		}
		_, a, _ := call(s, http.MethodGet, recordsPath+"?from=2&limit=1", "", "")
		c.Check([]any{a.First, a.End, len(a.Records), string(a.Records[0].Data)}, qt.DeepEquals, []any{int64(1), int64(4), 1, "2"})
		s.Append("s", json.RawMessage("4")) // Retention by count removes record 1.
		status, a, _ := call(s, http.MethodGet, recordsPath+"?from=1", "", "")
		c.Check([]any{status, a.First, len(a.Records)}, qt.DeepEquals, []any{410, int64(2), 0})
		time.Sleep(58500 * time.Millisecond) // Retention by age removes record 2, which is 60.5 s old.
		status, a, _ = call(s, http.MethodGet, recordsPath+"?from=2", "", "")
		c.Check([]any{status, a.First, a.End}, qt.DeepEquals, []any{410, int64(3), int64(5)})
		time.Sleep(time.Hour)
		status, a, _ = call(s, http.MethodGet, recordsPath+"?from=5", "", "")
		c.Check([]any{status, a.First, a.End}, qt.DeepEquals, []any{200, int64(5), int64(5)})
		status, _, _ = call(s, http.MethodGet, recordsPath+"?from=x", "", "")
		c.Check(status, qt.Equals, 400)
	})
}

// A long poll must respond at the append, before its time-out, and at its time-out if nothing is appended.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := qt.New(t), New(Settings{})
		defer s.Close()
		time.AfterFunc(300*time.Millisecond, func() { s.Append("s", json.RawMessage("1")) })
		for _, want := range []struct {
			records int
			after   time.Duration
		}{{1, 300 * time.Millisecond}, {0, time.Second}} {
			start := time.Now()
			status, a, _ := call(s, http.MethodGet, fmt.Sprintf("%s?from=%d&waitMillis=1000", recordsPath, 2-want.records), "", "")
			c.Check([]any{status, len(a.Records), time.Since(start)}, qt.DeepEquals, []any{200, want.records, want.after})
		}
	})
}

// Appends must be limited to the rate, and rejected appends must not be stored.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := qt.New(t), New(Settings{AppendsPerSecond: 20})
		defer s.Close()
		accepted := 0
		for range 1000 {
			status, _, w := call(s, http.MethodPost, recordsPath, "1", "")
			if status == 200 {
				accepted++
			} else {
				c.Assert([]any{status, w.Header().Get("Retry-After")}, qt.DeepEquals, []any{429, "1"})
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Check(accepted >= 199 && accepted <= 202, qt.IsTrue, qt.Commentf("accepted %d in 10 s at 20 a second", accepted))
		_, a, _ := call(s, http.MethodGet, recordsPath, "", "")
		c.Check(len(a.Records), qt.Equals, accepted)
	})
}

// Each fault must affect the response as declared, and only a lost answer may leave the append applied without a response.
func TestFaults(t *testing.T) {
	for _, ts := range []struct {
		name       string
		faults     Faults
		clearAfter time.Duration
		client     string
		status     int
		applied    bool
		took       time.Duration
	}{
		{"none", Faults{}, 0, "", 200, true, 0},
		{"refuse", Faults{Outage: OutageRefuse}, 0, "", 503, false, 0},
		{"hang past the time-out", Faults{Outage: OutageHang}, 0, "", 0, false, 10 * time.Second},
		{"hang and recover", Faults{Outage: OutageHang}, time.Second, "", 200, true, time.Second},
		{"delay", Faults{DelayMillis: 70}, 0, "", 200, true, 70 * time.Millisecond},
		{"lost answer", Faults{LostAnswers: stand.FaultTrigger{Next: 1}}, 0, "", 0, true, 0},
		{"cut client", Faults{CutClients: []string{"a"}}, 0, "a", 0, false, 0},
		{"other client", Faults{CutClients: []string{"a"}}, 0, "b", 200, true, 0},
	} {
		t.Run(ts.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s := qt.New(t), New(Settings{})
				defer s.Close()
				c.Assert(s.SetFaults(ts.faults), qt.IsNil)
				if ts.clearAfter > 0 {
					time.AfterFunc(ts.clearAfter, func() { _ = s.SetFaults(Faults{}) })
				}
				start := time.Now()
				status, _, _ := call(s, http.MethodPost, recordsPath, "1", ts.client)
				c.Check([]any{status, time.Since(start)}, qt.DeepEquals, []any{ts.status, ts.took})
				c.Assert(s.SetFaults(Faults{}), qt.IsNil)
				_, a, _ := call(s, http.MethodGet, recordsPath, "", "")
				c.Check(len(a.Records) == 1, qt.Equals, ts.applied)
			})
		})
	}
	qt.Check(t, New(Settings{}).SetFaults(Faults{Outage: "other"}), qt.IsNotNil)
}

// A poll that is open when the outage starts must be aborted, or the client would still consider the log reachable.
func TestOutageBreaksPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{})
		defer s.Close()
		time.AfterFunc(time.Second, func() { _ = s.SetFaults(Faults{Outage: OutageHang}) })
		start := time.Now()
		status, _, _ := call(s, http.MethodGet, recordsPath+"?waitMillis=5000", "", "")
		qt.Check(t, []any{status, time.Since(start)}, qt.DeepEquals, []any{0, time.Second})
	})
}
