package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
)

const (
	appendDeadline = 10 * time.Second
	appendBackoff  = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

type (
	// appends sends records to the log until the fold shows what became of them. It belongs to the control thread.
	appends struct {
		d       *Daemon
		pending map[string]*pendingAppend
	}

	pendingAppend struct {
		record   fold.Record
		data     []byte
		deadline time.Time
		backoff  time.Duration
		doubt    bool
		done     func(offset int64, err error)
	}
)

func newAppends(d *Daemon) *appends {
	return &appends{d: d, pending: make(map[string]*pendingAppend)}
}

// add appends the record and calls done once with the offset of the accepted record, or with the reason why it was not
// accepted. AppendInDoubt means that it may still be accepted later. A record without an ID gets a new one.
func (a *appends) add(r fold.Record, done func(offset int64, err error)) {
	if done == nil {
		done = func(_ int64, err error) {
			if err != nil {
				a.d.log("state").Debug("record was not accepted", "kind", r.Kind, "err", err)
			}
		}
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if v, ok := a.d.state.Seen(r.ID); ok {
		done(v.First, verdictError(v))
		return
	}
	r.By, r.Seen = a.d.incarnation, a.d.state.Offset()
	data, err := fold.Encode(r)
	if err != nil {
		done(0, err)
		return
	}
	if _, ok := a.pending[r.ID]; ok {
		done(0, codes.New(codes.AppendInDoubt, "the same change is being appended"))
		return
	}
	p := &pendingAppend{record: r, data: data, deadline: time.Now().Add(appendDeadline), backoff: appendBackoff, done: done}
	a.pending[r.ID] = p
	a.send(p)
}

func (a *appends) send(p *pendingAppend) {
	a.d.background(func(ctx context.Context) {
		ctx, span := a.d.traces.Start(ctx, "log append")
		defer span.End()
		_, err := a.d.logs.Append(ctx, p.data)
		a.d.control.post(func() { a.answered(p, err) })
	})
}

// answered looks at the log's answer. Success is decided by the fold; without an answer the same record is sent again,
// which the fold recognises by its change id.
func (a *appends) answered(p *pendingAppend, err error) {
	if a.pending[p.record.ID] != p {
		return
	}
	result := "ok"
	if err != nil {
		result = codes.From(err).Code().Title()
		p.doubt = p.doubt || codes.Is(err, codes.AppendInDoubt)
	}
	a.d.metrics.Append(string(p.record.Kind), result)
	if codes.Is(err, codes.BadRecord) {
		a.finish(p, 0, err)
		return
	}
	// A record that was appended shows in the fold soon; if it does not, its answer was wrong and it is sent again.
	p.backoff = min(2*p.backoff, maxBackoff)
	time.AfterFunc(p.backoff, func() { a.d.control.post(func() { a.again(p) }) })
}

func (a *appends) again(p *pendingAppend) {
	switch {
	case a.pending[p.record.ID] != p:
	case time.Now().After(p.deadline) && p.doubt:
		a.finish(p, 0, codes.New(codes.AppendInDoubt, "no answer from the log"))
	case time.Now().After(p.deadline):
		a.finish(p, 0, codes.New(codes.LogUnavailable, "the log refused the record").WithRetryAfter(maxBackoff))
	default:
		a.send(p)
	}
}

// folded tells that the fold has decided on the change id.
func (a *appends) folded(id string, v fold.Verdict) {
	if p, ok := a.pending[id]; ok {
		a.finish(p, v.First, verdictError(v))
	}
}

func (a *appends) finish(p *pendingAppend, offset int64, err error) {
	delete(a.pending, p.record.ID)
	p.done(offset, err)
}

// verdictError avoids a nil *codes.Error in an error interface.
func verdictError(v fold.Verdict) error {
	if v.Err == nil {
		return nil
	}
	return v.Err
}
