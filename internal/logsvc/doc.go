// Package logsvc is an HTTP client for the log service of the platform.
package logsvc
