// Package fleet describes what a deployment consists of: the operator's routes, services and models, and the upstreams
// that are believed to run. Values are immutable once they are built; a new configuration replaces the old one.
package fleet
