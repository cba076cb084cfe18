package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// The states of a key in a table.
const (
	Started  State = iota // The call may have run; its outcome is not known yet.
	Ran                   // The call ran, and its answer is stored.
	Released              // The call is proven not to have run; the entry is deleted once the backup has applied the release.
	Lost                  // The call may have run; its outcome is unknown, and the key is never run again.
)

// The proofs that a call was not run.
const (
	NoProof          Proof = iota
	NoByteSent             // No byte of the request left this host.
	ServiceConfirmed       // The service answered that it did not run the call.
)

type (
	// Event is an input of Host.Handle.
	Event interface{ event() }

	// Action is an output of Host.Handle; the caller carries it out.
	Action interface{ action() }

	// State is the state of a key in a table.
	State int

	// Proof states why a call is known not to have run.
	Proof int

	// Attempt identifies one permission to run a key; a Host emits Run at most once for each attempt.
	Attempt struct {
		Incarnation string
		Number      uint64
	}

	// StoredAnswer is the answer of a service, kept to answer later calls with the same key.
	StoredAnswer struct {
		Status      int
		ContentType string
		Body        []byte
		BodyOmitted bool // set when the body exceeded Config.BodyLimit and was not kept
	}

	// Entry is the record of one key in a table.
	Entry struct {
		Key       string
		State     State
		Attempt   Attempt
		Digest    string
		StartedAt time.Time // by the local clock of the daemon that has the entry, shifted in messages between daemons
		Stored    StoredAnswer
	}

	// Member is a daemon that the log lists and that is not gone.
	Member struct {
		Incarnation string
		Lost        bool // set when the member missed heartbeats or is proven gone
		Draining    bool
	}

	// Assignment is an accepted keyRange record. Base is the epoch that it replaced: zero for the first assignment of a range,
	// negative if unknown, as in state restored from a snapshot.
	Assignment struct {
		Range          int
		Epoch          int64
		Base           int64
		Holder         string
		Backup         string    // empty when the holder runs without a backup
		StateLostEpoch int64     // epoch of the last reset, zero if there was none
		StateLostSince time.Time // time of the last reset by the log's clock
	}

	// Peers replaces the list of members, which includes this daemon; an incarnation that is not listed is gone.
	Peers struct{ Members []Member }

	// LogTime reports the time, by the log's clock, of the newest record that this daemon has read.
	LogTime struct{ At time.Time }

	// Drain makes this daemon hand over its ranges because it is about to stop.
	Drain struct{}

	// Begin requests that a call is run. Each Begin has a unique ID; a caller's retry is a new Begin with the same key.
	Begin struct {
		ID        string
		Key       string
		Digest    string // identifies the request body
		Forwarded bool   // set when another daemon forwarded the Begin to this one
	}

	// Outcome reports the result of a Run; NotRun without a proof is treated as Unknown.
	Outcome struct {
		Attempt Attempt
		Result  codes.Outcome
		Proof   Proof
		Stored  StoredAnswer
	}

	// Tick is delivered at the time requested by a Wake.
	Tick struct{}

	// Replicate sends changes of the table from the holder to the backup; First is the sequence number of the first entry.
	Replicate struct {
		From    string
		Range   int
		Epoch   int64
		First   uint64
		Entries []Entry
	}

	// ReplicateAck reports to the holder the last sequence number that the backup applied.
	ReplicateAck struct {
		From  string
		Range int
		Epoch int64
		Seq   uint64
	}

	// ReplicateRefused reports to a holder that its epoch was replaced by the epoch Newer.
	ReplicateRefused struct {
		From  string
		Range int
		Epoch int64
		Newer int64
	}

	// Transfer sends one chunk of the table to a new backup; the table is complete when all chunks have arrived.
	Transfer struct {
		From    string
		Range   int
		Epoch   int64
		Chunk   int
		Chunks  int
		Entries []Entry
	}

	// TransferAck acknowledges one chunk of a Transfer.
	TransferAck struct {
		From  string
		Range int
		Epoch int64
		Chunk int
	}

	// Late reports to the current holder the outcome of an attempt of a former holder.
	Late struct {
		From  string
		Range int
		Entry Entry
	}

	// LateAck acknowledges a Late.
	LateAck struct {
		From    string
		Attempt Attempt
	}

	// Send delivers Message to the daemon To. A reply is among the actions of the Handle call that processed the
	// message, so that it can be returned as the result of an RPC.
	Send struct {
		To      string
		Message Event
	}

	// Run sends the call of the Begin with this ID to its service, once.
	Run struct {
		ID      string
		Range   int
		Key     string
		Attempt Attempt
	}

	// Answer completes a Begin with the stored answer, or with Err if it is not nil.
	Answer struct {
		ID       string
		Stored   StoredAnswer
		Repeated bool // set when the stored answer is that of an earlier call
		Err      *codes.Error
	}

	// Forward sends the Begin with this ID to the daemon To.
	Forward struct {
		ID string
		To string
	}

	// Propose requests that a keyRange record is appended to the log. The record is accepted only if Base is the current epoch.
	Propose struct {
		Range     int
		Base      int64
		Holder    string
		Backup    string
		StateLost bool   // set when the record is a reset, whose new holder does not have the earlier keys
		Reason    string // appears in logs only
	}

	// Wake requests a Tick at the time At.
	Wake struct{ At time.Time }
)

// String returns the name of the state, for logs.
func (s State) String() string {
	if s < Started || s > Lost {
		return "invalid"
	}
	return [...]string{"started", "ran", "released", "lost"}[s]
}

func (Assignment) event()       {}
func (Peers) event()            {}
func (LogTime) event()          {}
func (Drain) event()            {}
func (Begin) event()            {}
func (Outcome) event()          {}
func (Tick) event()             {}
func (Replicate) event()        {}
func (ReplicateAck) event()     {}
func (ReplicateRefused) event() {}
func (Transfer) event()         {}
func (TransferAck) event()      {}
func (Late) event()             {}
func (LateAck) event()          {}

func (Send) action()    {}
func (Run) action()     {}
func (Answer) action()  {}
func (Forward) action() {}
func (Propose) action() {}
func (Wake) action()    {}
