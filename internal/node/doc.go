// Package node runs one entry host on a platform that keeps configuration, the list of upstreams and a log for all hosts.
//
// One control thread owns all decision state: configuration, list, choice of upstreams, members, the lease and, while this
// host holds it, the placement of models. Other goroutines carry requests and calls, and post what they learn.
package node
