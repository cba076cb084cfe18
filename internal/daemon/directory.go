package daemon

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
)

// applyStatus passes an engine's status to the controller. It passes the engine's load to this host's entry state machine, and
// through the directory to those of the peers. The time of the load is estimated from the engine's clock. The controller
// unloads replicas that are reported idle, so it gets the earliest possible time of the status.
func (r *cellRunner) applyStatus(h wire.Host, requestedAt time.Time, clock *clocks.Remote, s wire.EngineStatus) {
	var loads []peers.Load
	loadAt := clock.EstimateLocal(s.ReportedAt)
	if loadAt.IsZero() {
		loadAt = requestedAt
	}
	status := cell.Status{
		Incarnation: s.Incarnation, CapacityBytes: s.CapacityBytes, UsedBytes: s.UsedBytes, OrdersPending: s.OrdersPending,
		HighestFence: s.HighestFence, Leaving: s.Leaving, ReportedAt: clock.EarliestLocal(s.ReportedAt),
	}
	for _, p := range s.Replicas {
		status.Replicas = append(status.Replicas, cell.StatusReplica{
			Model: p.Model, Version: p.Version, Bytes: p.Bytes, Slots: p.Slots, Ready: p.Ready, Running: p.Running,
			Waiting: p.Waiting, Adapters: p.Adapters,
		})
		loads = append(loads, peers.Load{
			Upstream: h.Name, Model: p.Model, Running: p.Running, Waiting: p.Waiting, Slots: p.Slots, At: loadAt,
		})
	}
	for _, c := range s.Cached {
		status.Cached = append(status.Cached, cell.CachedCopy{Model: c.Model, Version: c.Version, Tier: tierOf(c.Tier)})
	}
	r.handle(cell.UpstreamStatus{Upstream: h.Name, AskedAt: requestedAt, Status: status})
	if r.leaseHeld {
		r.directory.SetLoads(h.Name, loads)
	}
	for _, l := range loads {
		r.d.modelCalls.handle(loadReport(l))
	}
}

func tierOf(t wire.Tier) cell.Tier {
	switch t {
	case wire.TierMemory:
		return cell.TierMemory
	case wire.TierDisk:
		return cell.TierDisk
	}
	return cell.TierRemote
}

func loadReport(l peers.Load) entry.Report {
	return entry.Report{Upstream: l.Upstream, Model: l.Model, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, At: l.At}
}

// applyDirectory passes a directory and its loads to the entry state machine.
func (d *Daemon) applyDirectory(directory peers.Directory) {
	d.directoryReceived[directory.Cell] = true
	e := entry.Directory{Cell: directory.Cell, Fence: directory.Fence, Seq: int64(directory.Seq)}
	for _, r := range directory.Replicas {
		e.Replicas = append(e.Replicas, route.Replica{
			Upstream: r.Upstream, DataCentre: directory.Cell, Model: r.Model, Version: r.Version, Adapters: r.Adapters, Slots: r.Slots,
			Ready: r.Ready, ReadyAt: r.ReadyAt,
		})
	}
	d.modelCalls.handle(e)
	for _, l := range directory.Loads {
		d.modelCalls.handle(loadReport(l))
	}
}

// pollLoading polls the engines that are loading a model, so that pending requests are sent as soon as it is ready.
func (r *cellRunner) pollLoading() {
	for _, x := range r.directory.Replicas {
		if r.leaseHeld && !x.Ready {
			r.d.upstreams.poll(x.Upstream)
		}
	}
}

// resendDirectory sends the directory again, for hosts that missed it or have just started, and queries prior holders for the
// release of the lease.
func (r *cellRunner) resendDirectory() {
	if !r.leaseHeld {
		return
	}
	r.d.directoryReceived[r.name] = true
	r.directory.Header, r.directory.Fence = r.d.header(r.d.ctx), r.fence
	r.d.sendToAllMembers("Directory", r.directory.ToWire(time.Now()))
	for holder, fence := range r.priorHolders {
		r.queryRelease(holder, fence)
	}
}

func (r *cellRunner) queryRelease(holder string, fence int64) {
	m, ok := r.d.state.Member(holder)
	if !ok {
		return
	}
	r.d.background(func(ctx context.Context) {
		var reply peers.ReleaseReply
		args := peers.ReleaseArgs{Header: r.d.header(ctx), Cell: r.name, Fence: fence}
		err := r.d.peerClient.Call(ctx, m.Addresses.Peers, "Peer.Release", args, &reply)
		r.d.countPeerCall("Release", err)
		if err == nil && reply.Released {
			r.post(cell.PriorReleased{Holder: holder, Fence: fence})
		}
	})
}
