// Package telem provides the logs, metrics and traces of a daemon.
package telem
