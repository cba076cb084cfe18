package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

// testServer serves the callers' API with the limits that follow from the memory, and returns its address and the number of refused clients.
func testServer(t *testing.T, memory int64, l Limits) (address string, gate *intake.Gate, refused chan string) {
	callers, h := testCallers(t)
	callers.Limits = l
	refused = make(chan string, 100)
	gate = intake.New(ledger.LimitsFor(memory, 1000), func(r intake.Refusal) { refused <- r.Reason }, RefusalResponse)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(h, time.Second, gate)
	go func() { _ = s.Serve(intake.Listener{Listener: listener, Gate: gate}) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String(), gate, refused
}

func postChat(t *testing.T, address string, body []byte) *http.Response {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	q.Header.Set("Authorization", "Bearer "+testKey)
	r, err := http.DefaultClient.Do(q)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = r.Body.Close() })
	return r
}

// TestLargestRequestFits guards against a limit on memory that refuses a single request of the largest size, and against a charge that outlasts it.
func TestLargestRequestFits(t *testing.T) {
	const size = 2 << 20 // a 32nd of the memory, which is the least that the settings allow
	address, gate, refused := testServer(t, 32*size, Limits{RequestBytes: size, BodyTimeout: 10 * time.Second, InFlight: 10})
	head, end := `{"model":"m","messages":[{"role":"user","content":"`, `"}]}`
	body := []byte(head + strings.Repeat("x", size-len(head)-len(end)) + end)
	for range 5 {
		r := postChat(t, address, body)
		_, _ = io.Copy(io.Discard, r.Body)
		qt.Assert(t, strings.Contains(r.Header.Get("Content-Type"), "json") && r.StatusCode == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%v", r))
	}
	qt.Check(t, refused, qt.HasLen, 0)
	_, connections := gate.Used()
	qt.Check(t, connections, qt.Equals, 1)
}

// TestRefusedForMemory guards against a body without room that is refused without its code, outcome and Retry-After.
func TestRefusedForMemory(t *testing.T) {
	address, _, refused := testServer(t, 1<<20, Limits{RequestBytes: 1 << 20, BodyTimeout: 10 * time.Second, InFlight: 10})
	r := postChat(t, address, bytes.Repeat([]byte(" "), 512<<10))
	data, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, r.Header.Get("Retry-After"), qt.Equals, "1")
	qt.Check(t, strings.Contains(string(data), `"code":3017`) && strings.Contains(string(data), `"outcome":"notRun"`), qt.IsTrue, qt.Commentf("%s", data))
	qt.Check(t, <-refused, qt.Equals, intake.Memory)
}
