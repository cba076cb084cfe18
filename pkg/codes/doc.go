// Package codes defines the numbered result codes of fireflycleat, the outcome class of each and its mapping to HTTP
// statuses and process exit codes.
package codes
