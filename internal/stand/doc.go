// Package stand holds what the stand-ins of the platform's services share: strict JSON, fault switches, lagged values,
// rate limits, network latency and the deterministic model answers. Each stand-in is a package below it.
package stand
