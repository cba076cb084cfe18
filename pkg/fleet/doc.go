// Package fleet describes a deployment: the configured routes, services and models, and the registered upstreams.
// Configurations are immutable; a change creates a new Config.
package fleet
