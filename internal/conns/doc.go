// Package conns sends HTTP/1.1 requests over pooled connections and reports for each failed request whether any of it was
// sent.
//
// It replaces the client of net/http, which does not report whether a request reached the other side, retries some requests on
// its own, and does not check that a response belongs to the request. Here a failure states whether a byte was sent, a request
// is sent at most once, a response is accepted only if it returns the request's id, and a connection is closed if bytes follow
// a response.
package conns
