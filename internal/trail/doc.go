// Package trail finds the story of a request in the structured logs of several hosts.
package trail
