// Package hubs selects the hubs of each data centre: the few hosts that read the platform's store and communicate with other
// data centres. All other hosts get this information from a hub, so that calls and traffic grow with the number of data
// centres and not with the square of the number of hosts.
package hubs
