// Package diag collects the log lines that explain the outcome of a request from the structured logs of several hosts.
package diag
