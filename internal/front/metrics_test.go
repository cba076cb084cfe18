package front

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a gauge whose help says something else than the operators' page, a queue or a proven configuration where
// the value is calls in progress or readiness, and against gauges that the page leaves out.
func TestGaugesOnPage(t *testing.T) {
	c, _ := testCallers(t)
	page, err := os.ReadFile("../../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	c.Metrics.Load(2, 5)
	c.Metrics.State(7, true)
	w := httptest.NewRecorder()
	c.Metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	gauges := regexp.MustCompile(`# HELP (fireflycleat_\w+) (.*)\.\n# TYPE \w+ gauge\n`).FindAllStringSubmatch(text, -1)
	qt.Assert(t, gauges, qt.HasLen, 4)
	for _, g := range gauges {
		meaning := strings.ToLower(g[2][:1]) + g[2][1:]
		qt.Check(t, strings.Contains(string(page), "| `"+g[1]+"` | gauge | "+meaning+" |"), qt.IsTrue, qt.Commentf(g[1]))
	}
	for _, want := range []string{"model_calls_in_flight 2\n", "in_flight_requests 5\n", "log_offset 7\n", "ready 1\n"} {
		qt.Check(t, text, qt.Contains, "\nfireflycleat_"+want)
	}
}
