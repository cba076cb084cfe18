// Package front serves the two HTTP doors of a daemon: the callers' API and the operators' API. It checks and decodes
// requests, and leaves decisions to the functions it is given.
package front
