// Package blame finds parts of prompts, and whole requests, that crash upstreams. It treats the question as a group test: each end of an upstream is a positive
// test of all parts whose requests may have been beginning to be answered there, each complete answer a negative test of all parts of
// its request. Ledgers of several hosts exchange their evidence and reach the same verdict from it.
package blame
