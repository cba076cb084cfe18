package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// Event is an input of Handle; all event types are defined in this package.
	Event interface{ isEvent() }

	// Request describes a call to a model.
	Request struct {
		Team    string
		Model   string
		Adapter string // empty for a call without an adapter
		Urgency spec.Urgency
		// Deadline is the latest time for the first token.
		Deadline     time.Time
		PromptTokens int
		MaxTokens    int
		// Repeatable is set when the call may be sent again although it may already have run.
		Repeatable bool
		// Fingerprint is a hash of team and body that identifies a caller who retries after a refusal; 0 means unknown.
		Fingerprint uint64
	}

	// Arrive reports a new request. IDs must not be reused.
	Arrive struct {
		ID uint64
		Request
	}

	// Directory replaces the replicas of a cell. It is ignored unless its (Fence, Seq) pair is newer than the current one.
	Directory struct {
		Cell     string
		Fence    int64 // log offset of the cell lease of the controller that published the directory
		Seq      int64
		Replicas []route.Replica
	}

	// Report is the load of an upstream at time At. Model may be empty if the upstream has only one replica.
	Report struct {
		Upstream string
		Model    string
		Running  int
		Waiting  int
		Slots    int
		At       time.Time
	}

	// Forecast is the response of a controller to a Demand. If Refused is false and ReadyAt is zero, the previous forecast is
	// withdrawn.
	Forecast struct {
		Model      string
		Adapter    string
		ReadyAt    time.Time
		Refused    bool
		Code       codes.Code // reason for a refusal; zero means OverCapacity
		RetryAfter time.Duration
		// PeerRequests is the number of requests of other hosts that wait for the same replica; 0 if unknown.
		PeerRequests int
	}

	// FirstToken reports that an attempt produced its first token.
	FirstToken struct {
		ID      uint64
		Attempt int
	}

	// Progress reports how many tokens of the whole answer an attempt has reached. Reporting progress is optional.
	Progress struct {
		ID      uint64
		Attempt int
		Tokens  int
	}

	// AttemptEnded reports the end of an attempt. Tokens is the index of the next token that the caller needs. Each Send must be
	// followed by at least one AttemptEnded, also after a Cancel.
	AttemptEnded struct {
		ID      uint64
		Attempt int
		Result  retry.Result
		Tokens  int
	}

	// Abandoned reports that the caller disconnected.
	Abandoned struct{ ID uint64 }

	// UpstreamLeaving reports that an upstream accepts no new work; its running streams may finish.
	UpstreamLeaving struct{ Upstream string }

	// UpstreamGone reports that an upstream is gone. Attempts there end with an unknown result.
	UpstreamGone struct{ Upstream string }

	// UpstreamLive reports that a new incarnation of a leaving or gone upstream has registered.
	UpstreamLive struct{ Upstream string }

	// ViewChanged replaces the configuration.
	ViewChanged struct{ View *spec.View }

	// Hosts reports the number of live entry hosts, among which the limits of teams are divided.
	//
	// With Near and Index, the hosts of a data centre prefer different replicas; without them, all prefer the same ones.
	Hosts struct {
		Live  int // live entry hosts in all data centres
		Near  int // live entry hosts in the data centre of this host, including it; 0 means unknown
		Index int // position of this host among those of its data centre, ordered by name
	}

	// PeerNotices carries the notices of a peer about the speed of upstreams.
	PeerNotices struct{ Notices []route.Notice }

	// Drain marks the host as stopping. Requests are still accepted; Drained is emitted when none is left.
	Drain struct{}

	// Tick reports that the time of the last Wake has been reached.
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
func (PeerNotices) isEvent()     {}
func (Drain) isEvent()           {}
func (Tick) isEvent()            {}
