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
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// appendTimeout is longer than the caller's own time-out of 2 s, so that it acts only if an event is lost.
	appendTimeout = 5 * time.Second
	// permissionInterval is about a round trip to the peers, which must note the change before it may be published.
	permissionInterval = 50 * time.Millisecond
	maxPlanIDBytes     = maxIDBytes - 8 // The rest holds the suffix of a withdrawal.
)

// The states of a planned append.
const (
	toSend   planState = iota
	sent               // The answer is outstanding or missing: the append may take effect at any time.
	inLog              // The log has answered with an offset that is not folded yet.
	watching           // The deadline has passed; the record is being withdrawn.
)

type (
	planState int

	// Event is an input of Planner.
	Event interface{ isEvent() }

	// Action is an output of Planner.
	Action interface{ isAction() }

	// Submit asks for a record to be appended before the deadline; the planner sets Record.Seen when it first sends it.
	Submit struct {
		Record   Record
		Deadline time.Time
	}

	// AppendAnswered says that the log holds an append's record.
	AppendAnswered struct{ ID string }

	// AppendRefused says that an append certainly had no effect, for example because no connection was made.
	AppendRefused struct{ ID string }

	// AppendLost says that an append's answer is missing.
	AppendLost struct{ ID string }

	// Folded is the fold's verdict on the record at the next offset.
	Folded struct{ Verdict Verdict }

	// Restored says that the state was replaced by a snapshot, so that there were no verdicts up to its offset.
	Restored struct{ State *State }

	// Tick is the event for a call that Wake asked for.
	Tick struct{}

	// Append asks for the record to be appended to the control stream.
	Append struct {
		ID   string
		Data []byte
	}

	// Done is the last result of a submitted record.
	Done struct {
		ID      string
		Verdict Verdict
		Late    bool // Late says that GiveUp came before.
	}

	// GiveUp says that the deadline has passed while the append is in doubt; Done follows.
	GiveUp struct {
		ID  string
		Err *codes.Error
	}

	// Wake asks for a Tick at the time.
	Wake struct{ At time.Time }

	// Planner appends records until the fold has seen each of them, or can no longer accept it.
	Planner struct {
		// MayPublish returns nil if templates and teams may be changed now; nil means always.
		MayPublish func(now time.Time) error

		rng    *rand.Rand
		offset int64
		plans  map[string]*plan
		off    guards
	}

	plan struct {
		record   Record
		data     []byte
		deadline time.Time
		state    planState
		next     time.Time
		backoff  time.Duration
		attempts int
		refusal  *codes.Error
	}
)

// NewPlanner returns a planner for a daemon whose fold is at the offset.
func NewPlanner(offset int64, rng *rand.Rand) *Planner {
	return &Planner{rng: rng, offset: offset, plans: make(map[string]*plan)}
}

// Pending returns the number of records whose last result is outstanding.
func (p *Planner) Pending() int { return len(p.plans) }

// Publishing reports whether a change of a template or team is outstanding.
func (p *Planner) Publishing() bool {
	for _, q := range p.plans {
		if q.publishes() {
			return true
		}
	}
	return false
}

// Handle takes an event and returns the actions that follow from it.
func (p *Planner) Handle(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case Submit:
		out = p.submit(e)
	case AppendAnswered:
		if q := p.plans[e.ID]; q != nil && q.state == sent {
			q.state = inLog
		}
	case AppendRefused:
		p.refused(now, e.ID)
	case AppendLost:
		if q := p.plans[e.ID]; p.off.lostIsRefused {
			p.refused(now, e.ID)
		} else if q != nil && (q.state == sent || q.state == watching) {
			q.next = now.Add(p.wait(q))
		}
	case Folded:
		out = p.folded(e.Verdict)
	case Restored:
		out = p.restored(e.State)
	}
	return p.tick(now, out)
}

func (p *Planner) submit(e Submit) []Action {
	r := e.Record
	_, err := Encode(r)
	if err == nil && len(r.ID) > maxPlanIDBytes {
		err = bad("id", "must have 1 to 56 bytes")
	}
	if err == nil && p.plans[r.ID] != nil {
		err = bad("id", "is in use")
	}
	if err != nil {
		return []Action{Done{ID: r.ID, Verdict: Verdict{Outcome: Skipped, Record: r, Err: codes.From(err)}}}
	}
	p.plans[r.ID] = &plan{
		record: r, deadline: e.Deadline, backoff: firstBackoff,
		refusal: codes.New(codes.LogUnavailable, "the log did not take the record before the deadline"),
	}
	return nil
}

// refused counts an append as without effect only if no earlier one is in doubt.
func (p *Planner) refused(now time.Time, id string) {
	q := p.plans[id]
	if q == nil || q.state != sent && q.state != watching {
		return
	}
	if q.state == sent && q.attempts == 1 {
		q.state, q.attempts = toSend, 0
	}
	q.next = now.Add(p.wait(q))
}

func (p *Planner) folded(v Verdict) []Action {
	if v.Outcome == Old || v.Outcome == Gap {
		return nil // The state did not move.
	}
	p.offset = max(p.offset, v.Offset)
	id := v.Record.ID
	// An accepted withdrawal ends the change. So does one that was rejected because its author is recorded as gone, since
	// the fold then rejects the change as well.
	if w := v.Record.Withdraw; w != nil && (v.Outcome == Accepted || v.Outcome == Rejected && v.Err.Field() == "by") {
		id = w.ID
		v.Outcome, v.Err = Rejected, codes.New(codes.AppendInDoubt, "the change was withdrawn").WithOutcome(codes.NotRun)
	}
	var out []Action
	if q := p.plans[id]; q != nil && id != "" {
		// Another daemon may have appended another change with this id; the fold then rejects this one.
		if v.Record.ID == id && v.Record.digest() != q.record.digest() {
			v = conflict(v.Offset, v.First, q.record)
		}
		out = p.done(q, v)
	}
	for _, i := range slices.Sorted(maps.Keys(p.plans)) {
		if q := p.plans[i]; p.expires(q) {
			out = append(out, p.done(q, expired(q, p.offset, codes.NotRun))...)
		}
	}
	return out
}

func (p *Planner) restored(s *State) []Action {
	p.offset = max(p.offset, s.offset)
	var out []Action
	for _, i := range slices.Sorted(maps.Keys(p.plans)) {
		q := p.plans[i]
		if v, ok := s.Known(q.record); ok {
			v.Record = q.record
			out = append(out, p.done(q, v)...)
		} else if p.expires(q) {
			// The change id may have been folded and forgotten between the two states.
			out = append(out, p.done(q, expired(q, p.offset, codes.Unknown))...)
		}
	}
	return out
}

// expires reports whether the fold can no longer accept the record, wherever in the log it comes. A record that was not sent
// has no Seen yet.
func (p *Planner) expires(q *plan) bool {
	window := int64(ChangeWindow)
	if p.off.earlyExpiry {
		window /= 2
	}
	return q.attempts > 0 && p.offset-q.record.Seen > window && !p.off.noExpiry
}

func expired(q *plan, offset int64, o codes.Outcome) Verdict {
	err := codes.New(codes.AppendInDoubt, "the change can no longer be accepted").WithOutcome(o)
	return Verdict{Outcome: Rejected, Record: q.record, Offset: offset, First: offset, Err: err}
}

func (p *Planner) done(q *plan, v Verdict) []Action {
	delete(p.plans, q.record.ID)
	if v.Outcome == Duplicate && v.Err == nil {
		v.Outcome = Accepted
	} else if v.Outcome == Duplicate {
		v.Outcome = Rejected
	}
	return []Action{Done{ID: q.record.ID, Verdict: v, Late: q.state == watching}}
}

func (p *Planner) tick(now time.Time, out []Action) []Action {
	var wake time.Time
	for _, id := range slices.Sorted(maps.Keys(p.plans)) {
		q := p.plans[id]
		if q.state != watching && !now.Before(q.deadline) {
			out = append(out, p.giveUp(now, q))
		} else if q.state != inLog && !now.Before(q.next) {
			out = append(out, p.send(now, q)...)
		}
		if p.plans[id] == nil {
			continue
		}
		next := q.deadline
		if q.state == watching || q.state != inLog && q.next.Before(next) {
			next = q.next
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

func (p *Planner) giveUp(now time.Time, q *plan) Action {
	if q.state == toSend {
		delete(p.plans, q.record.ID)
		return Done{ID: q.record.ID, Verdict: Verdict{Outcome: Rejected, Record: q.record, Err: q.refusal}}
	}
	q.state, q.next, q.backoff = watching, now.Add(firstBackoff), firstBackoff
	return GiveUp{ID: q.record.ID, Err: codes.New(codes.AppendInDoubt, "the log's answer is missing")}
}

// send appends the record, or its withdrawal once the deadline has passed. A resend has the same bytes.
func (p *Planner) send(now time.Time, q *plan) []Action {
	if q.state == toSend && q.publishes() && p.MayPublish != nil {
		if err := p.MayPublish(now); err != nil {
			q.refusal, q.next = codes.From(err), now.Add(permissionInterval)
			return nil
		}
	}
	r := q.record
	switch {
	case q.state == watching:
		// Each withdrawal has its own change id: an earlier one may have been rejected for its age.
		r = Record{
			Kind: WithdrawKind, ID: fmt.Sprintf("%s.w%d", r.ID, q.attempts%100000), By: r.By, Seen: p.offset,
			Withdraw: &Withdraw{ID: r.ID},
		}
	case q.state == toSend:
		q.record.Seen = p.offset
		r, q.state = q.record, sent
	}
	data, err := Encode(r)
	if err != nil {
		v := Verdict{Outcome: Skipped, Record: q.record, Err: codes.From(err)}
		return p.done(q, v)
	}
	q.attempts++
	q.next = now.Add(appendTimeout)
	return []Action{Append{ID: q.record.ID, Data: data}}
}

func (p *Planner) wait(q *plan) time.Duration {
	d := q.backoff
	q.backoff = min(2*d, maxBackoff)
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}

func (q *plan) publishes() bool { return q.record.Kind == TemplateKind || q.record.Kind == TeamKind }

func (Submit) isEvent()         {}
func (AppendAnswered) isEvent() {}
func (AppendRefused) isEvent()  {}
func (AppendLost) isEvent()     {}
func (Folded) isEvent()         {}
func (Restored) isEvent()       {}
func (Tick) isEvent()           {}
func (Append) isAction()        {}
func (Done) isAction()          {}
func (GiveUp) isAction()        {}
func (Wake) isAction()          {}
