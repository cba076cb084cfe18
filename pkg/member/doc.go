// Package member keeps the peers and upstreams as one daemon sees them: suspicion and proof of gone, leaving upstreams,
// who proposes a lease take-over, address answers and the planned stop.
//
// Lost and gone differ. A daemon without heartbeats for 3 s is lost: its leases may be taken over, which is safe for a
// daemon that is only paused. A daemon is gone by proof only: its address refuses connections, a newer incarnation is
// recorded at its host or address, or a host list that is newer than its last sign of life says so. Gone is final.
//
// # Leaving upstreams
//
// Evidence comes from the host list, from the upstream's own refusal or from a peer, and every daemon passes on all that
// it knows. New evidence is sent at once and twice again after 300 ms. With up to two of three messages lost on a link,
// and a path of two links between any two daemons, all know well within 3 s. A daemon without any working link learns
// nothing; the freshness rule makes it refuse new work.
//
// Evidence ends in two ways. An answer of another incarnation ends it if the request was sent after the latest evidence.
// A host list that says live ends it if the list is newer than the latest evidence, whoever found it. Each daemon
// remembers what ended, so that peers which still pass the evidence on do not revive it.
package member
