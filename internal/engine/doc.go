// Package engine is the client of upstreams: model engines (orders, status, streamed answers) and plain services.
package engine
