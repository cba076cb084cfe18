package fold

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	firstBackoff     = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxSubmitIDBytes = maxIDBytes - 8 // leaves room for the suffix of a withdrawal

	// appendTimeout is longer than the caller's timeout of 2 s, so that it only applies if an event is lost.
	appendTimeout = 5 * time.Second

	// permissionInterval is about one round trip to the peers, which must record the change before it may be published.
	permissionInterval = 50 * time.Millisecond
)

// The states of a pending append.
const (
	unsent      appendState = iota
	sent                    // The answer is outstanding or missing, and the append may take effect at any time.
	logged                  // The record is in the log, and its result is outstanding.
	withdrawing             // The deadline has passed, and the planner requests a withdrawal.
)

type (
	appendState int

	// Event is an input of Planner.
	Event interface{ isEvent() }

	// Action is an output of Planner.
	Action interface{ isAction() }

	// Submit requests that a record is appended before the deadline. The planner sets [Record.Seen] at the first attempt.
	Submit struct {
		Record   Record
		Deadline time.Time
	}

	// AppendAnswered reports that the log holds the record of an append.
	AppendAnswered struct{ ID string }

	// AppendRefused reports that an append certainly had no effect, for example because no connection was made.
	AppendRefused struct{ ID string }

	// AppendLost reports that the answer to an append is missing.
	AppendLost struct{ ID string }

	// Applied reports the result of applying the record at the next offset.
	Applied struct{ Result Result }

	// Restored reports that the state was replaced by a snapshot, so that there are no results for the records before it.
	Restored struct{ State *State }

	// Tick reports that the time of a [Wake] has come.
	Tick struct{}

	// Append requests that the encoded record is appended to the control stream. ID is that of the submitted record.
	Append struct {
		ID   string
		Data []byte
	}

	// Done reports the final result of a submitted record.
	Done struct {
		ID         string
		Result     Result
		WasInDoubt bool // set when the deadline passed while the append was in doubt
	}

	// InDoubt reports that the deadline has passed while the append is in doubt; [Done] follows.
	InDoubt struct {
		ID  string
		Err *codes.Error
	}

	// Wake requests a [Tick] at the given time.
	Wake struct{ At time.Time }

	// Planner requests appends of each submitted record until the record has been applied or can no longer be accepted. It is a
	// state machine without I/O.
	Planner struct {
		// MayPublish returns nil if templates and teams may be changed now. If the function is nil, they always may.
		MayPublish func(now time.Time) error

		rng      *rand.Rand
		offset   int64
		pending  map[string]*pendingAppend
		disabled disabledChecks
	}

	pendingAppend struct {
		record      Record
		data        []byte
		deadline    time.Time
		state       appendState
		nextAttempt time.Time
		backoff     time.Duration
		attempts    int
		refusal     *codes.Error // reported if the deadline passes while the record is unsent
	}
)

// NewPlanner returns a planner for a daemon whose state is at the offset.
func NewPlanner(offset int64, rng *rand.Rand) *Planner {
	return &Planner{rng: rng, offset: offset, pending: make(map[string]*pendingAppend)}
}

// Pending returns the number of records whose final result is outstanding.
func (p *Planner) Pending() int { return len(p.pending) }

// Publishing reports whether a change of a template or team is outstanding.
func (p *Planner) Publishing() bool {
	for _, q := range p.pending {
		if q.changesConfiguration() {
			return true
		}
	}
	return false
}

// Handle processes an event and returns the resulting actions.
func (p *Planner) Handle(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Submit:
		out = p.submit(e)
	case AppendAnswered:
		if q := p.pending[e.ID]; q != nil && q.state == sent {
			q.state = logged
		}
	case AppendRefused:
		p.handleRefused(now, e.ID)
	case AppendLost:
		if q := p.pending[e.ID]; p.disabled.lostIsRefused {
			p.handleRefused(now, e.ID)
		} else if q != nil && (q.state == sent || q.state == withdrawing) {
			q.nextAttempt = now.Add(p.nextBackoff(q))
		}
	case Applied:
		out = p.handleResult(e.Result)
	case Restored:
		out = p.handleRestored(e.State)
	}
	return p.sendDue(now, out)
}

func (p *Planner) submit(e Submit) []Action {
	r := e.Record
	_, err := Encode(r)
	if err == nil && len(r.ID) > maxSubmitIDBytes {
		err = badRecord("id", "must have 1 to 56 bytes")
	}
	if err == nil && p.pending[r.ID] != nil {
		err = badRecord("id", "is in use")
	}
	if err != nil {
		return []Action{Done{ID: r.ID, Result: Result{Outcome: Skipped, Record: r, Err: codes.From(err)}}}
	}
	p.pending[r.ID] = &pendingAppend{
		record: r, deadline: e.Deadline, backoff: firstBackoff,
		refusal: codes.New(codes.LogUnavailable, "the log did not accept the record before the deadline"),
	}
	return nil
}

// handleRefused schedules the next attempt. The record only becomes unsent again if no earlier append of it is in doubt.
func (p *Planner) handleRefused(now time.Time, id string) {
	q := p.pending[id]
	if q == nil || q.state != sent && q.state != withdrawing {
		return
	}
	if q.state == sent && q.attempts == 1 {
		q.state, q.attempts = unsent, 0
	}
	q.nextAttempt = now.Add(p.nextBackoff(q))
}

func (p *Planner) handleResult(res Result) []Action {
	if res.Outcome == AlreadyApplied || res.Outcome == Gap {
		return nil // The state has not changed.
	}
	p.offset = max(p.offset, res.Offset)
	id := res.Record.ID
	// An accepted withdrawal ends the change. So does one that was rejected because its author is recorded as gone: the
	// change itself would then be rejected too.
	if w := res.Record.Withdraw; w != nil && (res.Outcome == Accepted || res.Outcome == Rejected && res.Err.Field() == "by") {
		id = w.ID
		res.Outcome, res.Err = Rejected, codes.New(codes.AppendInDoubt, "the change was withdrawn").WithOutcome(codes.NotRun)
	}
	var out []Action
	if q := p.pending[id]; q != nil && id != "" {
		// Another daemon may have appended a different change with this id; this change is then rejected.
		if res.Record.ID == id && res.Record.digest() != q.record.digest() {
			res = changeIDConflict(res.Offset, res.First, q.record)
		}
		out = p.finish(q, res)
	}
	for _, i := range slices.Sorted(maps.Keys(p.pending)) {
		if q := p.pending[i]; p.windowPassed(q) {
			out = append(out, p.finish(q, expiredResult(q, p.offset, codes.NotRun))...)
		}
	}
	return out
}

func (p *Planner) handleRestored(s *State) []Action {
	p.offset = max(p.offset, s.offset)
	var out []Action
	for _, i := range slices.Sorted(maps.Keys(p.pending)) {
		q := p.pending[i]
		if res, ok := s.DuplicateResult(q.record); ok {
			res.Record = q.record
			out = append(out, p.finish(q, res)...)
		} else if p.windowPassed(q) {
			// The change may have been applied, and its id may have expired, between the two states.
			out = append(out, p.finish(q, expiredResult(q, p.offset, codes.Unknown))...)
		}
	}
	return out
}

// windowPassed reports whether the record can no longer be accepted at any later offset. A record that was never sent has no
// Seen yet.
func (p *Planner) windowPassed(q *pendingAppend) bool {
	window := int64(ChangeWindow)
	if p.disabled.earlyExpiry {
		window /= 2
	}
	return q.attempts > 0 && p.offset-q.record.Seen > window && !p.disabled.noExpiry
}

func expiredResult(q *pendingAppend, offset int64, outcome codes.Outcome) Result {
	err := codes.New(codes.AppendInDoubt, "the change can no longer be accepted").WithOutcome(outcome)
	return Result{Outcome: Rejected, Record: q.record, Offset: offset, First: offset, Err: err}
}

func (p *Planner) finish(q *pendingAppend, res Result) []Action {
	delete(p.pending, q.record.ID)
	if res.Outcome == Duplicate && res.Err == nil {
		res.Outcome = Accepted
	} else if res.Outcome == Duplicate {
		res.Outcome = Rejected
	}
	return []Action{Done{ID: q.record.ID, Result: res, WasInDoubt: q.state == withdrawing}}
}

func (p *Planner) sendDue(now time.Time, out []Action) []Action {
	var wake time.Time
	for _, id := range slices.Sorted(maps.Keys(p.pending)) {
		q := p.pending[id]
		if q.state != withdrawing && !now.Before(q.deadline) {
			out = append(out, p.handleDeadline(now, q))
		} else if q.state != logged && !now.Before(q.nextAttempt) {
			out = append(out, p.send(now, q)...)
		}
		if p.pending[id] == nil {
			continue
		}
		next := q.deadline
		if q.state == withdrawing || q.state != logged && q.nextAttempt.Before(next) {
			next = q.nextAttempt
		}
		if wake.IsZero() || next.Before(wake) {
			wake = next
		}
	}
	if !wake.IsZero() {
		out = append(out, Wake{At: wake})
	}
	return out
}

func (p *Planner) handleDeadline(now time.Time, q *pendingAppend) Action {
	if q.state == unsent {
		delete(p.pending, q.record.ID)
		return Done{ID: q.record.ID, Result: Result{Outcome: Rejected, Record: q.record, Err: q.refusal}}
	}
	q.state, q.nextAttempt, q.backoff = withdrawing, now.Add(firstBackoff), firstBackoff
	return InDoubt{ID: q.record.ID, Err: codes.New(codes.AppendInDoubt, "the log's answer is missing")}
}

// send requests an append of the record, or of its withdrawal once the deadline has passed. A resend has the same bytes.
func (p *Planner) send(now time.Time, q *pendingAppend) []Action {
	if q.state == unsent && q.changesConfiguration() && p.MayPublish != nil {
		if err := p.MayPublish(now); err != nil {
			q.refusal, q.nextAttempt = codes.From(err), now.Add(permissionInterval)
			return nil
		}
	}
	r := q.record
	switch {
	case q.state == withdrawing:
		// Each withdrawal needs a new change id, because an earlier one may have been rejected for its age.
		r = Record{
			Kind: WithdrawKind, ID: fmt.Sprintf("%s.w%d", r.ID, q.attempts%100000), By: r.By, Seen: p.offset,
			Withdraw: &Withdraw{ID: r.ID},
		}
	case q.state == unsent:
		q.record.Seen = p.offset
		r, q.state = q.record, sent
	}
	data, err := Encode(r)
	if err != nil {
		res := Result{Outcome: Skipped, Record: q.record, Err: codes.From(err)}
		return p.finish(q, res)
	}
	q.attempts++
	q.nextAttempt = now.Add(appendTimeout)
	return []Action{Append{ID: q.record.ID, Data: data}}
}

func (p *Planner) nextBackoff(q *pendingAppend) time.Duration {
	d := q.backoff
	q.backoff = min(2*d, maxBackoff)
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}

func (q *pendingAppend) changesConfiguration() bool {
	return q.record.Kind == TemplateKind || q.record.Kind == TeamKind
}

func (Submit) isEvent()         {}
func (AppendAnswered) isEvent() {}
func (AppendRefused) isEvent()  {}
func (AppendLost) isEvent()     {}
func (Applied) isEvent()        {}
func (Restored) isEvent()       {}
func (Tick) isEvent()           {}
func (Append) isAction()        {}
func (Done) isAction()          {}
func (InDoubt) isAction()       {}
func (Wake) isAction()          {}
