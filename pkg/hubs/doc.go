// Package hubs chooses the few hosts of each data centre that read the platform's store and talk to those of other data
// centres. All others get what they know from a hub, so that calls and traffic grow with the data centres and not with the
// square of the hosts.
package hubs
