package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
)

const appendDeadline = 10 * time.Second

type (
	// appends carries out the planner's appends to the log. It belongs to the control thread.
	appends struct {
		d       *Daemon
		planner *fold.Planner
		alarm   *ctrl.Alarm
		pending map[string]*pendingAppend
	}

	pendingAppend struct {
		kind fold.Kind
		done func(offset int64, err error)
	}
)

func newAppends(d *Daemon) *appends {
	a := &appends{d: d, planner: fold.NewPlanner(0, d.random), pending: make(map[string]*pendingAppend)}
	a.planner.MayPublish = func(now time.Time) error { return d.members.fresh.MayPublish(now) }
	a.alarm = ctrl.NewAlarm(d.control, func() { a.handle(fold.Tick{}) })
	return a
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
	if v, ok := a.d.state.Known(r); ok {
		done(v.First, verdictError(v))
		return
	}
	if _, ok := a.pending[r.ID]; ok {
		done(0, codes.New(codes.AppendInDoubt, "the same change is being appended"))
		return
	}
	r.By = a.d.incarnation
	a.pending[r.ID] = &pendingAppend{r.Kind, done}
	a.handle(fold.Submit{Record: r, Deadline: time.Now().Add(appendDeadline)})
}

// appending reports whether a record of the kind is under way.
func (a *appends) appending(k fold.Kind) bool {
	for _, p := range a.pending {
		if p.kind == k {
			return true
		}
	}
	return false
}

func (a *appends) handle(e fold.Event) {
	actions := a.planner.Handle(time.Now(), e)
	a.d.members.setIntent(a.planner.Publishing())
	for _, x := range actions {
		switch x := x.(type) {
		case fold.Append:
			a.send(x)
		case fold.Done:
			a.finish(x.ID, x.Verdict.First, verdictError(x.Verdict))
		case fold.GiveUp:
			a.finish(x.ID, 0, x.Err)
		case fold.Wake:
			a.alarm.Set(x.At)
		}
	}
}

func (a *appends) send(x fold.Append) {
	kind := "withdraw"
	if p, ok := a.pending[x.ID]; ok {
		kind = string(p.kind)
	}
	a.d.background(func(ctx context.Context) {
		ctx, span := a.d.traces.Start(ctx, "log append")
		defer span.End()
		_, err := a.d.logs.Append(ctx, x.Data)
		a.d.control.Post(func() { a.answered(kind, x.ID, err) })
	})
}

func (a *appends) answered(kind, id string, err error) {
	switch {
	case err == nil:
		a.d.metrics.Append(kind, "ok")
		a.handle(fold.AppendAnswered{ID: id})
	case codes.Is(err, codes.AppendInDoubt):
		a.d.metrics.Append(kind, "lost")
		a.handle(fold.AppendLost{ID: id})
	default:
		a.d.metrics.Append(kind, "refused")
		a.handle(fold.AppendRefused{ID: id})
	}
}

func (a *appends) finish(id string, offset int64, err error) {
	p, ok := a.pending[id]
	if !ok {
		return // It was given up before, and its end has come now.
	}
	delete(a.pending, id)
	p.done(offset, err)
}

// verdictError avoids a nil *codes.Error in an error interface.
func verdictError(v fold.Verdict) error {
	if v.Err == nil {
		return nil
	}
	return v.Err
}
