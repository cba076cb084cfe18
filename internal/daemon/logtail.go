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
	// longPollTime is the longest time that a read waits for records. An empty read also proves that the state is current, so it
	// must be shorter than the time for which such a proof is valid.
	longPollTime   = time.Second
	readRetryDelay = 250 * time.Millisecond
	unknownBase    = -1 // for assignments from a snapshot, which does not contain the epoch that they replaced
)

// tailLog reads the control stream and applies its records until the daemon stops.
func (d *Daemon) tailLog(ctx context.Context) error {
	for ctx.Err() == nil {
		var from int64
		if !d.control.Ask(func() { from = d.state.Offset() + 1 }) {
			return nil
		}
		requestedAt := time.Now()
		b, err := d.logClient.Read(ctx, from, longPollTime)
		if err == nil && b.Truncated() && b.First() > from {
			err = d.restoreFromSnapshot(ctx, b.First())
			if err == nil {
				continue
			}
		}
		if err != nil {
			d.control.Post(func() { d.logReadFailed(err) })
			pause(ctx, readRetryDelay)
			continue
		}
		d.control.Ask(func() { d.applyRead(requestedAt, b.Records(), b.End()) })
	}
	return nil
}

// restoreFromSnapshot adopts the newest snapshot among the retained records, which start at the offset first.
func (d *Daemon) restoreFromSnapshot(ctx context.Context, first int64) error {
	finder := fold.NewSnapshotFinder()
	for from := first; ; {
		b, err := d.logClient.Read(ctx, from, 0)
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
		return codes.New(codes.LogUnavailable, "retained log records contain no snapshot")
	}
	d.control.Ask(func() { d.adoptState(s) })
	return nil
}

// adoptState replaces the state with a newer one from a snapshot or a peer. An older one is ignored.
func (d *Daemon) adoptState(s *fold.State) {
	if s.Offset() <= d.state.Offset() {
		return
	}
	d.state = s
	d.log("state").Info("adopted newer state", "offset", s.Offset())
	d.updateLogClock()
	for i := range fold.KeyRanges {
		d.applyAssignment(s.KeyRange(i), unknownBase)
	}
	d.sync()
	d.appender.handle(fold.Restored{State: s})
}

// applyRead applies the records of a read, and writes a snapshot if one is due. At the time of the read, the last record of the
// log was the one before the offset end; a state that includes that record was current when the read was requested.
func (d *Daemon) applyRead(requestedAt time.Time, records []wire.LogRecord, end int64) {
	if d.applyRecords(records) {
		d.sync()
	}
	if d.state.Offset()+1 >= end {
		d.confirmCurrent(requestedAt, end)
	}
	if d.appender.isPending(fold.SnapshotKind) || d.stopping.draining {
		return
	}
	if due, _ := d.state.SnapshotDue(d.logClock.Earliest(time.Now()), d.incarnation, d.settings.Platform.SnapshotInterval.Value()); due {
		d.writeSnapshot()
	}
}

// updateLogClock passes the time of the newest record to the components that measure time by the log's clock, from which this
// host's clock may differ.
func (d *Daemon) updateLogClock() {
	d.logClock.ObserveLowerBound(time.Now(), d.state.Clock())
	d.serviceCalls.handle(idemp.LogTime{At: d.state.Clock()})
}

// applyRecords applies the records to the state and reports whether it changed.
func (d *Daemon) applyRecords(records []wire.LogRecord) bool {
	changed := false
	for _, r := range records {
		res := d.state.Apply(r.Offset, r.At, r.Data)
		switch res.Outcome {
		case fold.Skipped:
			d.log("state").Warn("skipped log record that cannot be decoded", "offset", r.Offset, "err", res.Err)
			continue
		case fold.AlreadyApplied, fold.Gap:
			continue
		}
		changed = true
		d.updateLogClock()
		for _, c := range res.Record.KeyRange {
			if res.Outcome == fold.Accepted {
				d.applyAssignment(d.state.KeyRange(c.Range), c.Base)
			}
		}
		d.appender.handle(fold.Applied{Result: res})
	}
	return changed
}

// writeSnapshot appends a snapshot, so that a new daemon can start after retention has removed older records.
func (d *Daemon) writeSnapshot() {
	parts, err := d.state.Parts(d.incarnation, "snapshot-"+uuid.NewString())
	if err != nil {
		d.log("state").Warn("encoding a snapshot failed", "err", err)
		return
	}
	for _, p := range parts {
		d.appender.add(p, nil)
	}
}

// pause waits for the delay or until the context is cancelled.
func pause(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}
