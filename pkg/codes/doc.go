// Package codes defines the numbered result codes of fireflycleat, the outcome class of each code and the HTTP status and
// process exit code to which it maps.
package codes
