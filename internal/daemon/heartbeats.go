package daemon

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/member"
)

const (
	republishInterval = time.Second
	loadPollInterval  = 50 * time.Millisecond
)

// beat does what recurs until the daemon stops: it asks engines for their status, and repeats what peers may have missed.
func (d *Daemon) beat(ctx context.Context) error {
	last := time.Time{}
	return d.every(ctx, d.settings.Platform.StatusInterval.Value(), func() {
		d.upstreams.pollHeld()
		d.cells.use(d.models.use)
		d.refresh()
		if time.Since(last) >= republishInterval {
			last = time.Now()
			d.repeat()
		}
	})
}

// watchLoads asks engines that load a model for their status until the daemon stops.
func (d *Daemon) watchLoads(ctx context.Context) error {
	return d.every(ctx, loadPollInterval, func() {
		for _, r := range d.cells.byName {
			r.pollLoading()
		}
	})
}

// every runs the step on the control thread at each interval until the context ends.
func (d *Daemon) every(ctx context.Context, interval time.Duration, step func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.control.Ask(step)
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh brings what depends on time up to date.
func (d *Daemon) refresh() {
	now := time.Now()
	d.publish()
	ok := d.snapshot.Load().ready == nil
	d.members.handle(member.Self{
		Offset: d.state.Offset(), LogContact: d.members.logContact, Current: ok, Draining: d.stopping.asked,
	})
	d.members.tellPeers()
	d.members.confirm(now)
	d.metrics.Load(len(d.models.calls), len(d.models.calls)+len(d.bookings.waiting))
	d.metrics.State(d.state.Offset(), ok)
}

// repeat sends directories again and asks earlier lease holders whether they have released.
func (d *Daemon) repeat() {
	for _, r := range d.cells.byName {
		r.beat()
	}
	if now := time.Now(); now.Sub(d.members.logContact) > republishInterval {
		d.trySeeds(now)
	}
}

// trySeeds sends heartbeats to addresses from the settings and the host list, because a daemon that starts during a log
// outage cannot learn from the log who the others are.
func (d *Daemon) trySeeds(now time.Time) {
	known := map[string]bool{d.settings.PeerAddress().String(): true}
	for _, p := range d.members.list.Peers(now) {
		known[p.Address] = true
	}
	addresses := d.upstreams.entryHosts()
	for _, s := range d.settings.Platform.Seeds {
		addresses = append(addresses, s.String())
	}
	for _, a := range addresses {
		if !known[a] {
			d.heartbeat("", a, d.members.heartbeat(now))
		}
	}
}

// heartbeat sends a heartbeat to a peer and takes its answer in.
func (d *Daemon) heartbeat(incarnation, address string, b member.Heartbeat) {
	began := time.Now()
	args := peers.Heartbeat{
		Header: d.header(d.life), Beat: b, Fresh: d.members.fresh.Beat(began, incarnation), Speeds: d.models.machine.Notices(began),
	}
	d.background(func(ctx context.Context) {
		var reply peers.Heartbeat
		err := d.peerClient.Call(ctx, address, "Peer.Heartbeat", args, &reply)
		d.countPeerCall("Heartbeat", err)
		d.control.Post(func() {
			switch {
			case err == nil:
				d.members.fresh.Heard(began, reply.Fresh)
				d.members.handle(reply.Beat)
				d.catchUp(reply.Beat)
			case peers.Refused(err) && incarnation != "":
				d.members.handle(member.Refused{Incarnation: incarnation})
			}
		})
	})
}

// catchUp takes the state of a peer that is ahead while the log cannot be read.
func (d *Daemon) catchUp(b member.Heartbeat) {
	if b.Offset <= d.state.Offset() || !d.logLost() || d.fetching {
		return
	}
	d.fetching = true
	after := d.state.Offset()
	d.background(func(ctx context.Context) {
		d.fetchState(ctx, b.Address, after)
		d.control.Post(func() { d.fetching = false })
	})
}

// logLost reports whether the log has not been read to its end for longer than a read takes.
func (d *Daemon) logLost() bool { return time.Since(d.members.logContact) >= 2*readWait }

// logRead records that the state was as new as the log when the read began.
func (d *Daemon) logRead(asked time.Time, end int64) {
	d.members.fresh.Read(asked, end-1)
	d.members.logContact = asked
	d.members.everCurrent = true
	d.members.join()
	d.refresh()
}

func (d *Daemon) readFailed(err error) {
	d.log("state").Debug("log cannot be read", "err", err)
	d.refresh()
}
