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

// status passes an engine's status to the controller and its load to all entries. The time of the load figures is by the
// engine's clock k: the controller, which unloads what is reported empty, takes the earliest time that it can be.
func (r *cellRun) status(h wire.Host, asked time.Time, k *clocks.Remote, s wire.EngineStatus) {
	var loads []peers.Load
	loadAt := k.About(s.ReportedAt)
	if loadAt.IsZero() {
		loadAt = asked
	}
	x := cell.Status{
		Incarnation: s.Incarnation, CapacityBytes: s.CapacityBytes, UsedBytes: s.UsedBytes, OrdersPending: s.OrdersPending,
		HighestFence: s.HighestFence, Leaving: s.Leaving, ReportedAt: k.Since(s.ReportedAt),
	}
	for _, p := range s.Replicas {
		x.Replicas = append(x.Replicas, cell.StatusReplica{
			Model: p.Model, Version: p.Version, Bytes: p.Bytes, Slots: p.Slots, Ready: p.Ready, Running: p.Running,
			Waiting: p.Waiting, Adapters: p.Adapters,
		})
		loads = append(loads, peers.Load{
			Upstream: h.Name, Model: p.Model, Running: p.Running, Waiting: p.Waiting, Slots: p.Slots, At: loadAt,
		})
	}
	for _, c := range s.Cached {
		x.Cached = append(x.Cached, cell.CachedCopy{Model: c.Model, Version: c.Version, Tier: tierOf(c.Tier)})
	}
	r.handle(cell.UpstreamStatus{Upstream: h.Name, AskedAt: asked, Status: x})
	if r.held {
		r.directory.SetLoads(h.Name, loads)
	}
	for _, l := range loads {
		r.d.models.handle(reportEvent(l))
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

func reportEvent(l peers.Load) entry.Report {
	return entry.Report{Upstream: l.Upstream, Model: l.Model, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, At: l.At}
}

// applyDirectory passes a directory and its loads to the entry machine.
func (d *Daemon) applyDirectory(x peers.Directory) {
	d.directories[x.Cell] = true
	e := entry.Directory{Cell: x.Cell, Fence: x.Fence, Seq: int64(x.Seq)}
	for _, r := range x.Replicas {
		e.Replicas = append(e.Replicas, route.Replica{
			Upstream: r.Upstream, DataCentre: x.Cell, Model: r.Model, Version: r.Version, Adapters: r.Adapters, Slots: r.Slots,
			Ready: r.Ready, ReadyAt: r.ReadyAt,
		})
	}
	d.models.handle(e)
	for _, l := range x.Loads {
		d.models.handle(reportEvent(l))
	}
}

// pollLoading asks the engines that load a model for their status, so that waiting calls go on as soon as it is ready.
func (r *cellRun) pollLoading() {
	for _, x := range r.directory.Replicas {
		if r.held && !x.Ready {
			r.d.upstreams.poll(x.Upstream)
		}
	}
}

// beat repeats the directory, so that a host that missed it or has just started learns it, and asks earlier holders
// whether they have released the lease.
func (r *cellRun) beat() {
	if !r.held {
		return
	}
	r.d.directories[r.name] = true
	r.directory.Header, r.directory.Fence = r.d.header(r.d.life), r.fence
	r.d.tellAll("Directory", r.directory.Outward(time.Now()))
	for holder, fence := range r.earlier {
		r.askRelease(holder, fence)
	}
}

func (r *cellRun) askRelease(holder string, fence int64) {
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
