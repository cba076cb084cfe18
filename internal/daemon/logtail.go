package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

const (
	// readWait is the long-poll time of a read. A read that returns nothing still proves that the state is current, so it
	// has to be shorter than the time for which such a proof holds.
	readWait    = time.Second
	readRetry   = 250 * time.Millisecond
	unknownBase = -1 // A state from a snapshot does not say which epoch an assignment replaced.
)

// tail reads the control stream until the daemon stops and applies what it reads.
func (d *Daemon) tail(ctx context.Context) error {
	for ctx.Err() == nil {
		var from int64
		if !d.control.Ask(func() { from = d.state.Offset() + 1 }) {
			return nil
		}
		asked := time.Now()
		b, err := d.logs.Read(ctx, from, readWait)
		if err == nil && b.Truncated() && b.First() > from {
			err = d.recover(ctx, b.First())
			if err == nil {
				continue
			}
		}
		if err != nil {
			d.control.Post(func() { d.readFailed(err) })
			pause(ctx, readRetry)
			continue
		}
		d.control.Ask(func() { d.readDone(asked, b.Records(), b.End()) })
	}
	return nil
}

// recover finds the newest snapshot among the retained records and continues from it.
func (d *Daemon) recover(ctx context.Context, first int64) error {
	finder := fold.NewFinder()
	for from := first; ; {
		b, err := d.logs.Read(ctx, from, 0)
		if err != nil {
			return err
		}
		for _, r := range b.Records() {
			finder.Add(r.Data)
			from = r.Offset + 1
		}
		if len(b.Records()) == 0 || from >= b.End() {
			break
		}
	}
	s := finder.State()
	if s == nil {
		return codes.New(codes.LogUnavailable, "retained records hold no snapshot")
	}
	d.control.Ask(func() { d.adopt(s) })
	return nil
}

// adopt replaces the state by a newer one from a snapshot or a peer.
func (d *Daemon) adopt(s *fold.State) {
	if s.Offset() <= d.state.Offset() {
		return
	}
	d.state = s
	d.log("state").Info("state adopted", "offset", s.Offset())
	d.noteLogTime()
	for i := range fold.KeyRanges {
		d.assign(s.KeyRange(i), unknownBase)
	}
	d.sync()
	d.appends.handle(fold.Restored{State: s})
}

// readDone applies records. End tells whether the state is now as new as the log was when the read began.
func (d *Daemon) readDone(asked time.Time, records []wire.LogRecord, end int64) {
	if d.apply(records) {
		d.sync()
	}
	if d.state.Offset()+1 >= end {
		d.logRead(asked, end)
	}
	if d.appends.appending(fold.SnapshotKind) || d.stopping.asked {
		return
	}
	if due, _ := d.state.SnapshotDue(d.logClock.Earliest(time.Now()), d.incarnation, d.settings.Platform.SnapshotInterval.Value()); due {
		d.writeSnapshot()
	}
}

// noteLogTime passes the time of the newest record on to what has to wait by the log's clock. The own clock may differ.
func (d *Daemon) noteLogTime() {
	d.logClock.Passed(time.Now(), d.state.Clock())
	d.bookings.handle(idemp.LogTime{At: d.state.Clock()})
}

func (d *Daemon) apply(records []wire.LogRecord) bool {
	changed := false
	for _, r := range records {
		v := d.state.Apply(r.Offset, r.At, r.Data)
		switch v.Outcome {
		case fold.Skipped:
			d.log("state").Warn("record cannot be decoded", "offset", r.Offset, "err", v.Err)
			continue
		case fold.Old, fold.Gap:
			continue
		}
		changed = true
		d.noteLogTime()
		for _, c := range v.Record.KeyRange {
			if v.Outcome == fold.Accepted {
				d.assign(d.state.KeyRange(c.Range), c.Base)
			}
		}
		d.appends.handle(fold.Folded{Verdict: v})
	}
	return changed
}

// writeSnapshot appends the state, so that a new daemon can start after retention has removed older records.
func (d *Daemon) writeSnapshot() {
	parts, err := d.state.Parts(d.incarnation, "snapshot-"+uuid.NewString())
	if err != nil {
		d.log("state").Warn("no snapshot written", "err", err)
		return
	}
	for _, p := range parts {
		d.appends.add(p, nil)
	}
}

func pause(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}
