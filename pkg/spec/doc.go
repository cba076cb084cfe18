// Package spec defines the configuration that operators publish: templates that describe models and services, and the
// parameters of each team. View is an immutable snapshot of both.
package spec
