package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// The states of a key in a table.
const (
	Started  State = iota // Started keys may have run.
	Ran                   // Ran keys have a stored answer.
	Released              // Released keys are proven not to have run; the entry is deleted once the backup knows.
	Lost                  // Lost keys may have run and are never run again.
)

// The proofs that a call was not run.
const (
	NoProof     Proof = iota
	NoByteSent        // NoByteSent means that no byte of the request left this host.
	ServiceSaid       // ServiceSaid means that the service answered that it did not run the call.
)

type (
	// Event is an input of a Host.
	Event interface{ event() }

	// Action is an output of a Host.
	Action interface{ action() }

	// State is the state of a key in a table.
	State int

	// Proof tells why a call is known not to have run.
	Proof int

	// Attempt names one permission to run a key; a Host emits Run at most once for it.
	Attempt struct {
		Incarnation string
		Number      uint64
	}

	// Stored is the answer of a service as it is repeated to later callers.
	Stored struct {
		Status      int
		ContentType string
		Body        []byte
		BodyOmitted bool // BodyOmitted tells that the body was longer than the limit and is not kept.
	}

	// Entry is what a table knows of one key.
	Entry struct {
		Key       string
		State     State
		Attempt   Attempt
		Digest    string
		StartedAt time.Time // StartedAt is by the clock of the daemon that has the entry; Moved changes it in messages.
		Stored    Stored
	}

	// Member is a daemon that the log records and that is not gone.
	Member struct {
		Incarnation string
		Lost        bool // Lost members missed heartbeats or are proven gone.
		Draining    bool
	}

	// Assignment is an accepted keyRange record. Base is the epoch that it replaced, zero for the first of a range and
	// negative if it is not known, as in a state that came from a snapshot.
	Assignment struct {
		Range      int
		Epoch      int64
		Base       int64
		Holder     string
		Backup     string    // Backup is empty when the holder runs alone.
		BlindEpoch int64     // BlindEpoch is the epoch of the last blind reset; zero means there was none.
		BlindSince time.Time // BlindSince is the time of the last blind reset by the log's clock.
	}

	// Peers replaces the list of members, this daemon included; an incarnation that is not listed is gone.
	Peers struct{ Members []Member }

	// LogTime tells the time of the newest record that this daemon has read, by the log's clock.
	LogTime struct{ At time.Time }

	// Drain tells that this daemon stops and hands over its ranges.
	Drain struct{}

	// Begin asks to run a call. Each Begin has an ID of its own; a caller's retry is a new Begin with the same key.
	Begin struct {
		ID        string
		Key       string
		Digest    string // Digest identifies the request body.
		Forwarded bool   // Forwarded tells that another daemon sent it here.
	}

	// Outcome tells how a Run ended; NotRun without a proof counts as Unknown.
	Outcome struct {
		Attempt Attempt
		Result  codes.Outcome
		Proof   Proof
		Stored  Stored
	}

	// Tick is the event for a requested Wake.
	Tick struct{}

	// Replicate carries changes of the table from holder to backup; First is the sequence number of the first entry.
	Replicate struct {
		From    string
		Range   int
		Epoch   int64
		First   uint64
		Entries []Entry
	}

	// ReplicateAck tells the holder the last sequence number that the backup applied.
	ReplicateAck struct {
		From  string
		Range int
		Epoch int64
		Seq   uint64
	}

	// ReplicateRefused tells a holder that its epoch is over.
	ReplicateRefused struct {
		From  string
		Range int
		Epoch int64
		Newer int64
	}

	// Transfer carries one chunk of the table to a new backup; the table is complete when all chunks have arrived.
	Transfer struct {
		From    string
		Range   int
		Epoch   int64
		Chunk   int
		Chunks  int
		Entries []Entry
	}

	// TransferAck confirms one chunk.
	TransferAck struct {
		From  string
		Range int
		Epoch int64
		Chunk int
	}

	// Late tells the current holder how an attempt of a former holder ended.
	Late struct {
		From  string
		Range int
		Entry Entry
	}

	// LateAck confirms a Late.
	LateAck struct {
		From    string
		Attempt Attempt
	}

	// Send delivers Message to the daemon To. A reply is among the actions of the call that handled the message, so that
	// the caller of an RPC can receive it as the result.
	Send struct {
		To      string
		Message Event
	}

	// Run sends the call of the Begin with the ID to its service, once.
	Run struct {
		ID      string
		Range   int
		Key     string
		Attempt Attempt
	}

	// Answer ends a Begin with the stored answer, or with Err if it is not nil.
	Answer struct {
		ID       string
		Stored   Stored
		Repeated bool // Repeated tells that an earlier call produced the stored answer.
		Err      *codes.Error
	}

	// Forward asks to send a Begin to the daemon To.
	Forward struct {
		ID string
		To string
	}

	// Propose asks to append a keyRange record, which the fold accepts only if Base is the current epoch.
	Propose struct {
		Range  int
		Base   int64
		Holder string
		Backup string
		Blind  bool   // Blind tells that the keys before this record are not known to the new holder.
		Reason string // Reason is for logs.
	}

	// Wake asks for a Tick at the time At.
	Wake struct{ At time.Time }
)

// String returns the name of the state for logs.
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
