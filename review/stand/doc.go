//go:build review

// Command stand runs the scripted cases of the review. It starts hosts as separate processes with the command of the deploy file and
// plays the platform's store, the servers and the clients.
package main
