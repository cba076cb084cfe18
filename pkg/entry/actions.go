package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// Action is an output of the machine; the set of actions is closed.
	Action interface{ isAction() }

	// Send asks for an attempt at an upstream. Attempts of a request are numbered from 1.
	Send struct {
		ID         uint64
		Attempt    int
		Upstream   string
		Priority   spec.Urgency
		ResumeFrom int // ResumeFrom is the index of the first token wanted.
	}

	// Cancel asks for the end of an attempt.
	Cancel struct {
		ID       uint64
		Attempt  int
		Upstream string
	}

	// Deliver tells that the tokens of the attempt go to the caller; other attempts of the request deliver nothing.
	Deliver struct {
		ID      uint64
		Attempt int
	}

	// Complete ends a request whose whole answer was delivered.
	Complete struct{ ID uint64 }

	// Refuse ends a request with a code, or ends its answer with an error after tokens were delivered.
	Refuse struct {
		ID      uint64
		Code    codes.Code
		Outcome codes.Outcome
		// RetryAfter is zero if a retry does not help.
		RetryAfter time.Duration
	}

	// Demand tells the controller of a cell how many requests wait for a model, by urgency.
	Demand struct {
		Cell             string
		Model            string
		Adapter          string
		Urgent           int
		Normal           int
		Bulk             int
		EarliestDeadline time.Time // EarliestDeadline is zero if nothing waits.
	}

	// Wake asks for a Tick at the given time; it replaces the previous Wake.
	Wake struct{ At time.Time }

	// Tell asks that the other hosts get these findings at once; Entry.Notices repeats them.
	Tell struct{ Notices []route.Notice }

	// Drained tells a draining host that no request is left.
	Drained struct{}
)

func (Send) isAction()     {}
func (Cancel) isAction()   {}
func (Deliver) isAction()  {}
func (Complete) isAction() {}
func (Refuse) isAction()   {}
func (Demand) isAction()   {}
func (Wake) isAction()     {}
func (Tell) isAction()     {}
func (Drained) isAction()  {}
