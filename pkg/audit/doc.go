// Package audit checks a configuration before operators publish it: entries that can never take effect, values that contradict each other,
// and what differs from the version in force.
package audit
