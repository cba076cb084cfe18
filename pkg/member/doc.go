// Package member tracks the peers and upstreams as one daemon sees them. It decides which peers are lost or gone, which
// upstreams are leaving, when this daemon proposes to take over a lease, which addresses callers get, and how a planned stop
// proceeds.
//
// Lost and gone differ. A daemon is lost after 3 s without heartbeats: its leases may be taken over, which is safe even if
// the daemon is only paused. A daemon is gone only by proof: its address refuses connections, a newer incarnation is
// recorded at its host or address, or a host list that is newer than the last contact with it lists its host as gone. Gone is
// final.
//
// # Leaving upstreams
//
// Evidence that an upstream is leaving comes from the host list, from the upstream's own refusal or from a peer, and every
// daemon forwards all evidence that it has. New evidence is sent at once and repeated three times at intervals of 300 ms. If
// each link loses at most two of three messages, and a path of at most two links connects any two daemons, the evidence reaches
// all daemons well within 3 s. A daemon without any working link receives nothing; package stale makes it refuse new work.
//
// Evidence ends in two ways. An answer of another incarnation ends it if the request was sent after the latest evidence. A
// host list that lists the upstream as live ends it if the list is newer than the latest evidence, whichever daemon found that
// evidence. Each daemon remembers which evidence has ended, so that peers that still forward it do not revive it.
package member
