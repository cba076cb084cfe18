// Package logs is the stand-in of the platform's log service: append-only streams in memory with limited retention.
package logs
