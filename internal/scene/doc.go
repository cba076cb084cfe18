// Package scene holds the scripted scenarios: daemons and stand-ins of the platform run as separate processes, failures are
// brought about, and the stand-ins' own counts are the judge. It consists of tests only.
package scene
