// Package pick chooses the upstream of each request of one host by what the host knows: the published list, its own
// requests in flight, those that other hosts tell of, and how its last requests at each upstream went.
package pick
