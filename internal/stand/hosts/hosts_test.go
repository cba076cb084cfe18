package hosts

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

func call(l *List, method, path, body string) (int, wire.HostList) {
	w := httptest.NewRecorder()
	l.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	var a wire.HostList
	_ = json.Unmarshal(w.Body.Bytes(), &a) // A problem document leaves the result empty.
	return w.Code, a
}

// The list must publish each change after its lag, neither earlier nor later.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, l := qt.New(t), New(Settings{Lag: 3 * time.Second})
		defer l.Close()
		states := func() string {
			status, a := call(l, http.MethodGet, "/v1/hosts", "")
			c.Assert(status, qt.Equals, 200)
			s := ""
			for _, h := range a.Hosts {
				s += h.Name + ":" + string(h.State) + " "
			}
			return s
		}
		status, _ := call(l, http.MethodPut, "/v1/hosts", `{"hosts":[
			{"name":"b","address":"127.0.0.1:2","dataCentre":"x","kind":"engine","state":"live","checksFence":true},
			{"name":"a","address":"127.0.0.1:1","dataCentre":"x","kind":"entry","state":"live"}]}`)
		c.Assert(status, qt.Equals, 204)
		time.Sleep(time.Second)
		status, _ = call(l, http.MethodPost, "/v1/hosts/b/state", `{"state":"leaving"}`)
		c.Assert(status, qt.Equals, 204)
		status, _ = call(l, http.MethodPut, "/v1/hosts/c", `{"address":"127.0.0.1:3","kind":"service","service":"booking","state":"live"}`)
		c.Assert(status, qt.Equals, 204)
		c.Check(states(), qt.Equals, "")
		time.Sleep(2 * time.Second)
		c.Check(states(), qt.Equals, "a:live b:live ")
		time.Sleep(time.Second)
		c.Check(states(), qt.Equals, "a:live b:leaving c:live ")
		c.Check(l.Published().AsOf, qt.Equals, time.Now().Add(-3*time.Second))
	})
}

// Malformed hosts and states must be rejected, or a test would run with a host list other than the one it set up.
func TestBadCalls(t *testing.T) {
	l := New(Settings{})
	for _, ts := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodPut, "/v1/hosts", `{"hots":[]}`, 400},
		{http.MethodPut, "/v1/hosts", `{"hosts":[{"name":"a","state":"live"}]}`, 400},
		{http.MethodPut, "/v1/hosts", `{"hosts":[{"name":"a","address":"x","state":"dead"}]}`, 400},
		{http.MethodPut, "/v1/hosts/a", `{}`, 400},
		{http.MethodPost, "/v1/hosts/a/state", `{"state":"live"}`, 404},
		{http.MethodPost, "/v1/hosts/a/state", `{"state":"dead"}`, 400},
		{http.MethodPost, "/faults", `{"outage":true}`, 200},
		{http.MethodGet, "/v1/hosts", ``, 503},
	} {
		status, _ := call(l, ts.method, ts.path, ts.body)
		qt.Check(t, status, qt.Equals, ts.want, qt.Commentf("%v", ts))
	}
}
