// Package logsvc is the client of the platform's log service.
package logsvc
