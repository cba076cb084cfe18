package retry

// Results of an attempt.
const (
	// Done means that the complete answer arrived.
	Done Result = iota
	// NotRun means that the upstream refused the request without running it, or that no byte of it was sent.
	NotRun
	// Failed means that the upstream reported an error after it had started the request.
	Failed
	// Unknown means that the answer, or the rest of it, is missing.
	Unknown
	// Cancelled means that the attempt was cancelled.
	Cancelled
)

// Result is how an attempt ended.
type Result int

// String returns the name of the result.
func (r Result) String() string {
	if r < Done || r > Cancelled {
		return "invalid"
	}
	return [...]string{"done", "notRun", "failed", "unknown", "cancelled"}[r]
}
