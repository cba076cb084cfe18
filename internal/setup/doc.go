// Package setup reads and validates the settings of a daemon, which are written in TOML. It reports all problems of a file, each
// with file, line and key, and a daemon with any problem in its settings does not start.
package setup
