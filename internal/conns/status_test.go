package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
)

// TestStatusOutsideOfTheProtocol guards against a response whose status HTTP does not have: the caller would get it as an answer, or wait for
// another one until its deadline, or get the body of this one as an answer.
func TestStatusOutsideOfTheProtocol(t *testing.T) {
	t.Parallel()
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "050", "099", "+20", "-01", "101", "600", "601", "999", "20", "2000", "abc", ""} {
		for name, rest := range map[string]string{
			"empty": "Content-Length: 0\r\n\r\n", "body": "Content-Length: 2\r\n\r\nok", "unframed": "\r\nok", "no body": "\r\n", "another answer": "\r\n" + answer,
			"answer as body": "Content-Length: 47\r\n\r\n" + answer,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{})
				address := listen(t, func(c net.Conn) {
					defer close(closed)
					input := bufio.NewReader(c)
					q, err := http.ReadRequest(input)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nId: 1\r\n"+rest)
					_, _ = input.ReadByte() // It ends with the connection.
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				r, err := newPool(t).Do(ctx, newRequest(address))
				if r != nil {
					defer r.Close()
				}
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("it waits for another response"))
				f, ok := err.(*conns.Failure)
				qt.Assert(t, ok && f.Sent, qt.IsTrue)
				select {
				case <-closed:
				case <-ctx.Done():
					t.Error("the connection stays open")
				}
			})
		}
	}
}

// TestInterimResponses guards against interim responses that are taken for the answer, or for no answer at all.
func TestInterimResponses(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"100", "102", "103", "199"} {
		address := listen(t, func(c net.Conn) {
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Early\r\n\r\nHTTP/1.1 599 Last\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		r, err := newPool(t).Do(t.Context(), newRequest(address))
		qt.Assert(t, err, qt.IsNil, qt.Commentf(status))
		qt.Check(t, r.Status, qt.Equals, 599)
		r.Close()
	}
}
