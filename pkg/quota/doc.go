// Package quota limits the number of requests that each team has in progress at one entry host. Teams may borrow the unused
// share of other teams while the host has free capacity.
package quota
