package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// Action is an output of Handle; all action types are defined in this package.
	Action interface{ isAction() }

	// Send starts an attempt at an upstream. The attempts of a request are numbered from 1.
	Send struct {
		ID         uint64
		Attempt    int
		Upstream   string
		Priority   spec.Urgency
		ResumeFrom int // index of the first token that the upstream should return
	}

	// Cancel cancels an attempt.
	Cancel struct {
		ID       uint64
		Attempt  int
		Upstream string
	}

	// Deliver selects the attempt whose tokens are delivered to the caller. Other attempts of the request deliver nothing.
	Deliver struct {
		ID      uint64
		Attempt int
	}

	// Complete ends a request whose answer was delivered completely.
	Complete struct{ ID uint64 }

	// Refuse ends a request with an error. If tokens were already delivered, it ends the answer with an error.
	Refuse struct {
		ID      uint64
		Code    codes.Code
		Outcome codes.Outcome
		// RetryAfter is zero if a retry would not help.
		RetryAfter time.Duration
	}

	// Demand reports the number of pending requests for a model, by urgency, to the controller of a cell.
	Demand struct {
		Cell             string
		Model            string
		Adapter          string
		Urgent           int
		Normal           int
		Bulk             int
		EarliestDeadline time.Time // zero if no request is pending
	}

	// Wake requests a Tick at the given time. It replaces the previous Wake.
	Wake struct{ At time.Time }

	// SendNotices requests that new notices about the speed of upstreams are sent to all peers immediately. Entry.Notices
	// returns them again later.
	SendNotices struct{ Notices []route.Notice }

	// Drained reports that a draining host has no requests left.
	Drained struct{}
)

func (Send) isAction()        {}
func (Cancel) isAction()      {}
func (Deliver) isAction()     {}
func (Complete) isAction()    {}
func (Refuse) isAction()      {}
func (Demand) isAction()      {}
func (Wake) isAction()        {}
func (SendNotices) isAction() {}
func (Drained) isAction()     {}
