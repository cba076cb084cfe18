// Package rates enforces one rate limit per team over all hosts.
//
// A Lender divides each limit into token buckets that it lends to hosts: a share of the rate with a share of the capacity, which are valid
// for LoanTime, and single grants from its own bucket, which are valid for GrantTime. A Host admits requests against the credit that it
// holds and reports to the lender, which must be one at a time (see Lender). At any time the rates of all buckets add up to at most the
// limit, and their capacities to at most Limit.Capacity. So any window in which requests are admitted keeps Limit.Bound, whatever calls are
// lost and whichever hosts are cut off, stopped or restarted.
//
// All times that are passed in must be those of a clock that includes suspensions of the machine.
package rates
