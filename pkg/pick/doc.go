// Package pick chooses the upstream for each request of one host. The choice is based on the published list of upstreams, the
// requests in flight at this host, those that its peers report, and the results of its recent requests at each upstream.
package pick
