// Package conns sends HTTP/1.1 requests over pooled connections and reports for each failed request whether any of it was
// sent.
//
// It replaces the client of net/http, which does not report whether a request reached the other side, retries some requests on
// its own, and does not check that a response belongs to the request. This package reports with
// each failure whether a byte was sent, sends a request at most once, accepts a response only if it returns the request's id, and
// closes a connection if bytes follow a response.
package conns
