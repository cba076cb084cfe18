// Package pace keeps the limits on requests that upstreams name.
//
// Each upstream has an owner among hosts that know of each other, which follows from their names. Its bucket holds the credit of all hosts for that
// upstream, and the others ask for the credit of each request. When the owner is lost, the next host in the order of the upstream becomes its owner. A
// host that has just started gives no credit before all others know of it, because the owner until then goes on.
package pace
