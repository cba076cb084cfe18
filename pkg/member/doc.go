// Package member keeps the peers and upstreams as one daemon sees them: suspicion and proof of gone, leaving upstreams,
// who proposes a lease take-over, address answers and the planned stop.
package member
