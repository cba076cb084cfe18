// Package setup reads and checks the settings of a daemon. Settings are TOML; every fault is reported with file, line and
// key, and nothing is started when there is one.
package setup
