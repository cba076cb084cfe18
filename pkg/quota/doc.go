// Package quota limits the requests that each team has in progress at one entry host. Teams may borrow the unused share of
// other teams while capacity is free.
package quota
