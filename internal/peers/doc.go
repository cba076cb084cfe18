// Package peers carries messages between daemons over net/rpc and limits their size and duration.
package peers
