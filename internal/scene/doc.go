// Package scene runs scripted failure scenarios: daemons and stand-ins for the platform run as separate processes, failures are
// injected, and the results are checked against the stand-ins' own counts. It consists of tests only.
package scene
