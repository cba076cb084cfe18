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
	// logAppender carries out the append planner's actions on the log. It is used only on the control thread.
	logAppender struct {
		d       *Daemon
		planner *fold.Planner
		alarm   *ctrl.Alarm
		pending map[string]*pendingAppend
	}

	// pendingAppend is an append whose result is not known yet.
	pendingAppend struct {
		kind fold.Kind
		done func(offset int64, err error)
	}
)

func newLogAppender(d *Daemon) *logAppender {
	a := &logAppender{d: d, planner: fold.NewPlanner(0, d.random), pending: make(map[string]*pendingAppend)}
	a.planner.MayPublish = func(now time.Time) error { return d.members.tracker.MayPublish(now) }
	a.alarm = ctrl.NewAlarm(d.control, func() { a.handle(fold.Tick{}) })
	return a
}

// add appends the record and calls done once, with the offset of the accepted record or with the error that kept it from
// being accepted. After an AppendInDoubt error the record may still be accepted. A record without an ID gets a new one. If done
// is nil, an error is only logged.
func (a *logAppender) add(r fold.Record, done func(offset int64, err error)) {
	if done == nil {
		done = func(_ int64, err error) {
			if err != nil {
				a.d.log("state").Debug("log record was not accepted", "kind", r.Kind, "err", err)
			}
		}
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if res, ok := a.d.state.DuplicateResult(r); ok {
		done(res.First, resultError(res))
		return
	}
	if _, ok := a.pending[r.ID]; ok {
		done(0, codes.New(codes.AppendInDoubt, "an append of the same record is in progress"))
		return
	}
	r.By = a.d.incarnation
	a.pending[r.ID] = &pendingAppend{r.Kind, done}
	a.handle(fold.Submit{Record: r, Deadline: time.Now().Add(appendDeadline)})
}

// isPending reports whether an append of a record of the kind is in progress.
func (a *logAppender) isPending(k fold.Kind) bool {
	for _, p := range a.pending {
		if p.kind == k {
			return true
		}
	}
	return false
}

func (a *logAppender) handle(e fold.Event) {
	actions := a.planner.Handle(time.Now(), e)
	a.d.members.setPublishing(a.planner.Publishing())
	for _, x := range actions {
		switch x := x.(type) {
		case fold.Append:
			a.send(x)
		case fold.Done:
			a.finish(x.ID, x.Result.First, resultError(x.Result))
		case fold.InDoubt:
			a.finish(x.ID, 0, x.Err)
		case fold.Wake:
			a.alarm.Set(x.At)
		}
	}
}

func (a *logAppender) send(action fold.Append) {
	kind := "withdraw"
	if p, ok := a.pending[action.ID]; ok {
		kind = string(p.kind)
	}
	a.d.background(func(ctx context.Context) {
		ctx, span := a.d.traces.Start(ctx, "log append")
		defer span.End()
		_, err := a.d.logClient.Append(ctx, action.Data)
		a.d.control.Post(func() { a.appendAnswered(kind, action.ID, err) })
	})
}

func (a *logAppender) appendAnswered(kind, id string, err error) {
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

func (a *logAppender) finish(id string, offset int64, err error) {
	p, ok := a.pending[id]
	if !ok {
		return // The append already finished as in doubt at its deadline; this is its late result.
	}
	delete(a.pending, id)
	p.done(offset, err)
}

// resultError returns the error of the result without wrapping a nil *codes.Error in a non-nil error interface.
func resultError(res fold.Result) error {
	if res.Err == nil {
		return nil
	}
	return res.Err
}
