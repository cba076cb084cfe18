// Package relay carries requests from callers to upstreams and answers back. It reads a request whole, asks for an upstream,
// sends the request once, and passes the answer on as it arrives. What may be repeated or resumed follows from the kind of
// the route; "not run" is said only if no byte was sent or the upstream said so.
package relay
