// Package spec holds the value types of operator configuration: templates that describe models and services, the
// parameters of each team, and View, an immutable snapshot of both that the decision packages read.
package spec
