package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// Event is an input of the machine; the set of events is closed.
	Event interface{ isEvent() }

	// Request describes a call to a model.
	Request struct {
		Team    string
		Model   string
		Adapter string // Adapter is empty for a call without an adapter.
		Urgency spec.Urgency
		// Deadline is the latest time of the first token.
		Deadline     time.Time
		PromptTokens int
		MaxTokens    int
		// Repeatable tells that the call may be sent again after a missing answer.
		Repeatable bool
		// Fingerprint is a hash of team and body that recognises a caller who returns after a refusal; zero means unknown.
		Fingerprint uint64
	}

	// Arrive reports a new request; IDs are never reused.
	Arrive struct {
		ID uint64
		Request
	}

	// Directory replaces the replicas of a cell. Older (Fence, Seq) pairs are ignored.
	Directory struct {
		Cell     string
		Fence    int64 // Fence is the offset of the cell lease of the publishing controller.
		Seq      int64
		Replicas []route.Replica
	}

	// Report is the load of an upstream as of At. Model is empty if the report covers the only replica of the upstream.
	Report struct {
		Upstream string
		Model    string
		Running  int
		Waiting  int
		Slots    int
		At       time.Time
	}

	// Forecast is the answer of a controller to a Demand. It tells nothing if it neither refuses nor names a time.
	Forecast struct {
		Model      string
		Adapter    string
		ReadyAt    time.Time
		Refused    bool
		Code       codes.Code // Code tells the reason of a refusal; zero means OverCapacity.
		RetryAfter time.Duration
		// Others is the number of requests of other hosts that wait for the same replica, if the controller tells it.
		Others int
	}

	// FirstToken reports the first token of an attempt.
	FirstToken struct {
		ID      uint64
		Attempt int
	}

	// Progress reports the number of tokens of the whole answer that the attempt has reached; it is optional.
	Progress struct {
		ID      uint64
		Attempt int
		Tokens  int
	}

	// AttemptEnded reports the end of an attempt. Tokens is the index of the next token that the caller needs. The caller
	// of Handle reports each Send at least once, also after a Cancel.
	AttemptEnded struct {
		ID      uint64
		Attempt int
		Result  retry.Result
		Tokens  int
	}

	// Abandoned reports that the caller left.
	Abandoned struct{ ID uint64 }

	// UpstreamLeaving reports that an upstream takes no new work; its streams may finish.
	UpstreamLeaving struct{ Upstream string }

	// UpstreamGone reports that an upstream is gone; attempts there end as unknown.
	UpstreamGone struct{ Upstream string }

	// UpstreamLive reports a new incarnation under the name of an upstream that was leaving or gone.
	UpstreamLive struct{ Upstream string }

	// ViewChanged replaces the configuration.
	ViewChanged struct{ View *spec.View }

	// Hosts reports the number of live entry hosts, which divide the limits of teams.
	//
	// Near and Index let the hosts of a data centre prefer different replicas; without them all prefer the same.
	Hosts struct {
		Live  int // Live is the number of live entry hosts in all data centres.
		Near  int // Near is the number of those in the own data centre, with this one; zero means unknown.
		Index int // Index is the position of this host among those, in order of their names.
	}

	// Findings reports what another host has found out about the speed of upstreams.
	Findings struct{ Notices []route.Notice }

	// Drain marks the host as stopping. Requests are still accepted; Drained follows when none is left.
	Drain struct{}

	// Tick is the call that a Wake asked for.
	Tick struct{}
)

func (Arrive) isEvent()          {}
func (Directory) isEvent()       {}
func (Report) isEvent()          {}
func (Forecast) isEvent()        {}
func (FirstToken) isEvent()      {}
func (Progress) isEvent()        {}
func (AttemptEnded) isEvent()    {}
func (Abandoned) isEvent()       {}
func (UpstreamLeaving) isEvent() {}
func (UpstreamGone) isEvent()    {}
func (UpstreamLive) isEvent()    {}
func (ViewChanged) isEvent()     {}
func (Hosts) isEvent()           {}
func (Findings) isEvent()        {}
func (Drain) isEvent()           {}
func (Tick) isEvent()            {}
