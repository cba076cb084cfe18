// Package spread balances requests over upstreams when many hosts choose at the same time and each knows only an old state of the
// upstreams. From the age of a report it derives how many of the reported requests are still in flight and how many others have
// arrived since, and draws an upstream so that the choices of all hosts together level the load.
package spread
