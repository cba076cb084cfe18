package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
)

// serveRepeating refuses the first request on each connection, if it is among the first few of all, and otherwise writes the last refusal of the
// connection once more before it answers.
func serveRepeating(t *testing.T, refusals int) (address string) {
	requests := 0
	turn := make(chan struct{}, 1)
	turn <- struct{}{}
	return listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		earlier := ""
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			name := ""
			if id := q.Header.Get("Id"); id != "" {
				name = "Id: " + id + "\r\n"
			}
			<-turn
			requests++
			refuse := requests <= refusals
			turn <- struct{}{}
			if refuse {
				earlier = "HTTP/1.1 503 Full\r\n" + name + "Content-Length: 0\r\n\r\n"
				_, _ = io.WriteString(c, earlier)
				continue
			}
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", earlier, name)
		}
	})
}

// TestRefusalWrittenAgain guards against an earlier refusal that an upstream writes once more on a kept connection and that is read as the
// response to a request that the upstream runs: the same request sent again, or one without an id.
func TestRefusalWrittenAgain(t *testing.T) {
	for _, x := range []struct {
		name          string
		first, second string // ids
		opened        int64  // connections
	}{
		{"same id", "1", "1", 2},
		{"other id", "1", "2", 1},
		{"without id after an id", "1", "", 1},
		{"id after one without", "", "1", 1},
		{"twice without id", "", "", 2},
		{"earlier response allowed", "1", "earlier", 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newPool(t)
			address := serveRepeating(t, 1)
			var statuses []int
			for _, id := range []string{x.first, x.second} {
				q := newRequest(address)
				q.Header, q.AllowEarlier = http.Header{}, id == "earlier"
				if id != "" && !q.AllowEarlier {
					q.Header.Set("Id", id)
				}
				r, err := p.Do(t.Context(), q)
				qt.Assert(t, err, qt.IsNil)
				_, err = r.ReadAll(100)
				qt.Assert(t, err, qt.IsNil)
				r.Close()
				statuses = append(statuses, r.Status)
			}
			qt.Check(t, statuses, qt.DeepEquals, []int{http.StatusServiceUnavailable, http.StatusOK})
			opened, _ := p.ConnCounts()
			qt.Check(t, opened, qt.Equals, x.opened)
		})
	}
}

// TestConnectionsAreReused guards against a new connection for each request where the responses can be told apart.
func TestConnectionsAreReused(t *testing.T) {
	p := newPool(t)
	address := serveRepeating(t, 0)
	for i := range 200 {
		q := &conns.Request{
			Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {fmt.Sprint(i)}}, MaxIdle: time.Minute, Echo: "Id",
		}
		r, err := p.Do(t.Context(), q)
		qt.Assert(t, err, qt.IsNil)
		_, err = r.ReadAll(100)
		qt.Assert(t, err, qt.IsNil)
		r.Close()
	}
	opened, _ := p.ConnCounts()
	qt.Assert(t, opened, qt.Equals, int64(1))
}
