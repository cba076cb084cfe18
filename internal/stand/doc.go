// Package stand provides the code shared by the stand-ins, which are fakes of the platform's services for tests and the dev
// command: strict JSON decoding, fault injection, delayed values, rate limits, network latency and deterministic model
// answers. Each stand-in is a package below this one.
package stand
