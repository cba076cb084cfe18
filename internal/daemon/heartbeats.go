package daemon

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/member"
)

const (
	resendInterval      = time.Second
	loadingPollInterval = 50 * time.Millisecond
)

// pollStatus polls the status of engines and updates time-dependent state at each status interval until the daemon stops. At
// each resend interval it also resends what peers may have missed.
func (d *Daemon) pollStatus(ctx context.Context) error {
	lastResend := time.Time{}
	return d.runEvery(ctx, d.settings.Platform.StatusInterval.Value(), func() {
		d.upstreams.pollHeld()
		d.cells.reportInFlight(d.modelCalls.inFlight)
		d.refresh()
		if time.Since(lastResend) >= resendInterval {
			lastResend = time.Now()
			d.resend()
		}
	})
}

// pollLoadingEngines polls the status of engines that are loading a model until the daemon stops.
func (d *Daemon) pollLoadingEngines(ctx context.Context) error {
	return d.runEvery(ctx, loadingPollInterval, func() {
		for _, r := range d.cells.byName {
			r.pollLoading()
		}
	})
}

// runEvery runs the step on the control thread at each interval until the context is cancelled.
func (d *Daemon) runEvery(ctx context.Context, interval time.Duration, step func()) error {
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

// refresh updates the state that depends on the current time: readiness, membership, lease confirmations and metrics.
func (d *Daemon) refresh() {
	now := time.Now()
	d.publish()
	ready := d.published.Load().readyErr == nil
	d.members.handle(member.LocalState{
		Offset: d.state.Offset(), LogContact: d.members.logContact, Current: ready, Draining: d.stopping.draining,
	})
	d.members.reportMembers()
	d.members.confirmLeases(now)
	d.metrics.Load(len(d.modelCalls.calls), len(d.modelCalls.calls)+len(d.serviceCalls.pending))
	d.metrics.State(d.state.Offset(), ready)
}

// resend sends directories again and queries prior lease holders for the release of their leases. After a resend interval without
// contact to the log it also contacts the seeds.
func (d *Daemon) resend() {
	for _, r := range d.cells.byName {
		r.resendDirectory()
	}
	if now := time.Now(); now.Sub(d.members.logContact) > resendInterval {
		d.contactSeeds(now)
	}
}

// contactSeeds sends heartbeats to the addresses in the settings and the host list, because a daemon that starts during a log
// outage cannot read its peers from the log.
func (d *Daemon) contactSeeds(now time.Time) {
	known := map[string]bool{d.settings.PeerAddress().String(): true}
	for _, p := range d.members.list.Peers(now) {
		known[p.Address] = true
	}
	addresses := d.upstreams.entryHostAddresses()
	for _, s := range d.settings.Platform.Seeds {
		addresses = append(addresses, s.String())
	}
	for _, a := range addresses {
		if !known[a] {
			d.sendHeartbeat("", a, d.members.currentHeartbeat(now))
		}
	}
}

// sendHeartbeat sends a heartbeat to a peer and applies the reply. The incarnation is empty if only the address is known.
func (d *Daemon) sendHeartbeat(incarnation, address string, h member.Heartbeat) {
	startedAt := time.Now()
	args := peers.Heartbeat{
		Header: d.header(d.ctx), Beat: h, Fresh: d.members.tracker.Heartbeat(startedAt, incarnation), Speeds: d.modelCalls.entry.Notices(startedAt),
	}
	d.background(func(ctx context.Context) {
		var reply peers.Heartbeat
		err := d.peerClient.Call(ctx, address, "Peer.Heartbeat", args, &reply)
		d.countPeerCall("Heartbeat", err)
		d.control.Post(func() {
			switch {
			case err == nil:
				d.members.tracker.ReceiveAnswer(startedAt, reply.Fresh)
				d.members.handle(reply.Beat)
				d.catchUp(reply.Beat)
			case peers.Refused(err) && incarnation != "":
				d.members.handle(member.Refused{Incarnation: incarnation})
			}
		})
	})
}

// catchUp fetches the state of a peer that is ahead of this daemon while the log is unreachable.
func (d *Daemon) catchUp(h member.Heartbeat) {
	if h.Offset <= d.state.Offset() || !d.logUnreachable() || d.fetchingState {
		return
	}
	d.fetchingState = true
	after := d.state.Offset()
	d.background(func(ctx context.Context) {
		d.fetchState(ctx, h.Address, after)
		d.control.Post(func() { d.fetchingState = false })
	})
}

// logUnreachable reports whether the last read that reached the end of the log was requested longer ago than two reads take.
func (d *Daemon) logUnreachable() bool { return time.Since(d.members.logContact) >= 2*longPollTime }

// confirmCurrent records that the state includes all records that the log held at requestedAt, up to but excluding the offset end.
func (d *Daemon) confirmCurrent(requestedAt time.Time, end int64) {
	d.members.tracker.RecordRead(requestedAt, end-1)
	d.members.logContact = requestedAt
	d.members.everCurrent = true
	d.members.register()
	d.refresh()
}

func (d *Daemon) logReadFailed(err error) {
	d.log("state").Debug("reading the log failed", "err", err)
	d.refresh()
}
