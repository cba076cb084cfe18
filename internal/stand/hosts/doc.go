// Package hosts is the stand-in of the platform's host list, which publishes changes to the hosts with a delay.
package hosts
