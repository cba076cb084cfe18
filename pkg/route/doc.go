// Package route chooses the upstream for each call to a model. It corrects delayed load reports with this host's own requests
// in flight, estimates the speed of upstreams from this host's attempts, and avoids slow upstreams.
package route
