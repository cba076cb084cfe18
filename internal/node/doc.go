// Package node implements an entry host for a platform that stores the configuration, the list of upstreams and a log for all
// hosts.
//
// One control thread owns all decision state: configuration, list, choice of upstreams, members, the lease and, while this
// host holds it, the placement of models. Other goroutines handle requests and calls and post results to the control thread.
package node
