// Package route chooses the upstream of each call to a model. It corrects lagged load reports by the host's own requests in
// flight, learns the speed of upstreams from the host's own attempts and avoids slowed upstreams.
package route
