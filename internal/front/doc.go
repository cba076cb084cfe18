// Package front serves the two HTTP APIs of a daemon, one for callers and one for operators. It validates and decodes
// requests and passes them to the functions that the daemon supplies.
package front
