package rates

import (
	"math"
	"time"
)

const (
	// LoanTime is how long a loan is valid. Hosts use it while they cannot reach a lender, for example during the change to another one.
	LoanTime = 15 * time.Second
	// GrantTime is how long credit from the lender's own bucket is valid.
	GrantTime = CallInterval + 200*time.Millisecond
	// CallInterval is the time between two calls of a host that needs no credit at once.
	CallInterval = time.Second
	// CallTimeout is the longest time from the start of a call until its reply is applied.
	CallTimeout = 500 * time.Millisecond

	// slackShare is the share of the tolerance of a limit that is lent. The rest is for returned credit and for clocks that drift.
	slackShare = 0.7
	// returnShare is the share of the tolerance that grows with the window and is used by returned credit.
	returnShare = 0.25
	// maxLentRate and maxLentCapacity limit the sum of all loans. A new lender that does not know them can use the rest at once.
	maxLentRate     = 0.8
	maxLentCapacity = 0.5
	// shareUnit and creditUnit are the units of numbers in messages, which are short in gob.
	shareUnit  = 1.0 / (1 << 14)
	creditUnit = 1.0 / (1 << 4)
)

type (
	// Limit is the rate limit of a team.
	Limit struct {
		PerSecond float64 // in units of cost
		Burst     float64 // in units of cost
		// Requests in any Window may cost (PerSecond × Window + Burst) × (1 + Over) + Slack.
		Window time.Duration
		Over   float64
		Slack  float64
	}

	// Report tells the lender about a team at a host.
	Report struct {
		Rate     float64 // share of the rate that the host holds
		Capacity float64 // share of the capacity that the host holds
		Level    float64 // credit at the host, in units of cost
		Returned float64 // credit that the host gives back
		Demand   float64 // cost of the requests that arrived, a second
		Mean     float64 // mean cost of a request
		First    float64 // missing credit of the request that has waited longest
		Must     float64 // missing credit of all waiting requests
		Wish     float64 // further credit that the host would like
	}

	// Loan is the lender's answer to a Report.
	Loan struct {
		Rate     float64
		Capacity float64
		Grant    float64
		Wait     time.Duration // time until the lender can grant more, if it granted less than Report.Must
	}

	// Call is a call of a host to the lender. It lists only teams of which the host holds or wants credit.
	Call struct {
		Host        string
		Incarnation string
		Started     int64 // orders the incarnations of a host
		Seq         int64 // orders the calls of an incarnation
		Teams       map[string]Report
		Answered    int64         // newest call of this incarnation whose reply was applied
		SinceAnswer time.Duration // since that reply came, if its lender counts answers
	}

	// Reply is the answer to a Call. A team that it does not list has no loan.
	Reply struct {
		Seq       int64
		Beginning bool // whether the lender may not grant credit yet
		Teams     map[string]Loan
		// CountsAnswers is set by a lender that counts only hosts that get its answers as reporters.
		CountsAnswers bool
		ReadyIn       time.Duration // time until the lender grants credit, if Beginning is set; zero if unknown
	}
)

// Bound returns the largest cost of the requests in a window.
func (l Limit) Bound() float64 {
	return (l.PerSecond*l.Window.Seconds()+l.Burst)*(1+l.Over) + l.Slack
}

// Capacity returns the credit that all buckets may hold together. A window of requests admitted against buckets with this capacity costs at
// most Bound, less a margin.
func (l Limit) Capacity() float64 {
	return l.Burst + slackShare*(l.Over*(l.PerSecond*l.Window.Seconds()+l.Burst)+l.Slack)
}

// ReturnTime returns how long after its admission the credit of a request that did not run may be used again. Credit that is returned
// later could be used in a window after the one in which it was taken.
func (l Limit) ReturnTime() time.Duration {
	return time.Duration(returnShare * l.Over * float64(l.Window))
}

// scale returns the factor by which credit shrinks when the limit changes.
func scale(from, to Limit) float64 {
	if from.Capacity() <= to.Capacity() {
		return 1
	}
	return to.Capacity() / from.Capacity()
}

func roundDown(x, unit float64) float64 { return math.Floor(max(x, 0)/unit) * unit }

func roundUp(x, unit float64) float64 { return math.Ceil(max(x, 0)/unit) * unit }
