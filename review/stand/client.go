//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callers are the clients of one zone.
type callers struct {
	hosts  []*host
	record *record
	number atomic.Int64
	lost   atomic.Int64 // attempts that got no answer, a part of one, or one that does not tell whether the request ran
}

type result struct {
	id       string
	status   int // zero if the connection ended without an answer
	complete bool
	err      error
}

// resolve asks a directory for the addresses of the system and returns one of them.
func (c *callers) resolve(zone, avoid string) (string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err := fmt.Errorf("no directory")
	for _, i := range rand.Perm(len(c.hosts)) {
		var r *http.Response
		r, err = client.Get("http://" + c.hosts[i].directory + "/resolve?name=a.example&region=r&zone=" + zone)
		if err != nil {
			continue
		}
		var a struct{ Addresses []string }
		err = json.NewDecoder(r.Body).Decode(&a)
		_ = r.Body.Close()
		if err != nil || len(a.Addresses) == 0 {
			continue
		}
		for _, j := range rand.Perm(len(a.Addresses)) {
			if a.Addresses[j] != avoid || len(a.Addresses) == 1 {
				return a.Addresses[j], nil
			}
		}
	}
	return "", err
}

// nextID returns the id of a client attempt.
func (c *callers) nextID() string { return fmt.Sprintf("%016x", c.number.Add(1)) }

// send sends one client attempt on a new connection and reads the whole answer.
func (c *callers) send(address, id, method, path string, budget time.Duration, body []byte, header ...string) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.record.write("answer", "%s no connection to %s: %v", id, address, err)
		return result{id: id, err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(budget))
	q := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nTime-Budget-Ms: %d\r\nContent-Length: %d\r\n",
		method, path, id, budget.Milliseconds(), len(body))
	for i := 0; i+1 < len(header); i += 2 {
		q += header[i] + ": " + header[i+1] + "\r\n"
	}
	c.record.write("sent", "%s %s %s to %s %v", id, method, path, address, header)
	if _, err = conn.Write(append([]byte(q+"\r\n"), body...)); err != nil {
		c.record.write("answer", "%s write: %v", id, err)
		return result{id: id, err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		c.record.write("answer", "%s none: %v", id, err)
		return result{id: id, err: err}
	}
	var data bytes.Buffer
	_, err = io.Copy(&data, r.Body)
	c.record.write("answer", "%s status %d, %d bytes, retry after %q, complete %v", id, r.StatusCode, data.Len(), r.Header.Get("Retry-After"), err == nil)
	if err != nil || r.StatusCode == http.StatusBadGateway || r.StatusCode == http.StatusGatewayTimeout {
		c.lost.Add(1)
	}
	return result{id, r.StatusCode, err == nil, err}
}
