// Package peers carries messages between daemons over net/rpc with bounded sizes and times.
package peers
