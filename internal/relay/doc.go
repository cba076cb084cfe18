// Package relay forwards callers' requests to upstreams and the responses to the callers. It reads a request completely,
// chooses an upstream, sends the request once, and forwards the response as it arrives. The kind of the route decides whether
// a request may be repeated or a stream resumed. A request is reported as not run only if no byte was sent or the upstream
// reported that it did not run the request.
package relay
