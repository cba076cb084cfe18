// Package telem provides what operators see of a daemon: logs with a fixed prefix for each part, metrics and traces.
package telem
