// Package hosts is the stand-in of the platform's host list, which shows the hosts as they were some time ago.
package hosts
