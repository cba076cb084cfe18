// Package engine is an HTTP client for upstreams: model engines (orders, status, streamed responses) and plain services. It
// also reads the host list of the platform.
package engine
