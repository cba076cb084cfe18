package daemon

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/engine"
	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/member"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// snapshotPartBytes is the size of one part of a snapshot sent to a peer. It leaves room for the rest of the message below
// peers.MaxMessageBytes.
const snapshotPartBytes = 512 << 10

// peerService implements the methods that peers call.
type peerService struct{ d *Daemon }

// Heartbeat handles a peer's heartbeat and replies with this daemon's.
func (s *peerService) Heartbeat(a peers.Heartbeat, reply *peers.Heartbeat) error {
	if a.Beat.Incarnation == "" {
		return codes.New(codes.BadPeerMessage, "heartbeat without an incarnation")
	}
	s.d.control.Ask(func() {
		now := time.Now()
		s.d.members.tracker.ReceiveCall(a.Fresh)
		s.d.members.handle(member.HeartbeatCall{Heartbeat: a.Beat})
		if len(a.Speeds) > 0 {
			s.d.modelCalls.handle(entry.PeerNotices{Notices: a.Speeds})
		}
		s.d.catchUp(a.Beat)
		*reply = peers.Heartbeat{
			Header: s.d.header(s.d.ctx), Beat: s.d.members.currentHeartbeat(now), Fresh: s.d.members.tracker.Heartbeat(now, a.Beat.Incarnation),
		}
	})
	return nil
}

// CellEvent passes an event to the controller of a cell. It is ignored unless this daemon holds the cell's lease.
func (s *peerService) CellEvent(a peers.CellEvent, _ *peers.Empty) error {
	if a.Event == nil {
		return codes.New(codes.BadPeerMessage, "cell event call without an event")
	}
	s.d.control.Post(func() {
		if r, ok := s.d.cells.byName[a.Cell]; ok && r.leaseHeld {
			r.handle(a.FromWire(time.Now()).Event)
		}
	})
	return nil
}

// Forecast passes a controller's forecast to the entry state machine.
func (s *peerService) Forecast(a peers.ForecastArgs, _ *peers.Empty) error {
	s.d.control.Post(func() { s.d.cells.handleForecast(a.Cell, a.FromWire(time.Now()).Forecast) })
	return nil
}

// Directory passes the directory of a cell to the entry state machine.
func (s *peerService) Directory(a peers.Directory, _ *peers.Empty) error {
	s.d.control.Post(func() { s.d.applyDirectory(a.FromWire(time.Now())) })
	return nil
}

// Keys passes a peer's message about a key range to the key range state machine.
func (s *peerService) Keys(a peers.KeyMessage, _ *peers.Empty) error {
	if a.Message == nil {
		return codes.New(codes.BadPeerMessage, "key range call without a message")
	}
	s.d.control.Post(func() { s.d.serviceCalls.handle(a.FromWire(time.Now()).Message) })
	return nil
}

// Begin runs a keyed call whose key range this daemon holds and returns its result.
func (s *peerService) Begin(a peers.BeginArgs, reply *peers.BeginReply) error {
	ctx, span := s.d.traces.Start(s.d.traces.FromText(context.Background(), a.Trace), "peer begin")
	result := s.d.serviceCalls.runKeyed(ctx, front.PlainCall{
		Team: spec.Team{Name: a.Team}, Service: a.Service, Method: a.Method, Path: a.Path, ContentType: a.ContentType, IdempotencyKey: a.Key,
		Body: a.Body,
	}, true)
	if result.forward != "" {
		result.err = codes.New(codes.KeyRangeMoving, "the key range is held by another host").WithRetryAfter(time.Second)
	}
	telem.End(span, result.err)
	reply.Status, reply.ContentType, reply.Body = result.response.Status, result.response.ContentType, result.response.Body
	reply.Fault = peers.NewFault(result.err)
	return nil
}

// Release reports whether this incarnation has released the lease and has no order in flight.
func (s *peerService) Release(a peers.ReleaseArgs, reply *peers.ReleaseReply) error {
	s.d.control.Ask(func() {
		if r, ok := s.d.cells.byName[a.Cell]; ok {
			reply.Released = r.controller.Released(a.Fence)
		}
	})
	return nil
}

// Records returns a part of the encoded state if the state is ahead of the requesting peer.
func (s *peerService) Records(a peers.RecordsArgs, reply *peers.RecordsReply) error {
	s.d.control.Ask(func() {
		if s.d.state.Offset() <= a.After {
			return
		}
		data := s.d.encodedState()
		reply.Offset = s.d.state.Offset()
		reply.Parts = (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
		if a.Part >= 0 && a.Part < reply.Parts {
			reply.Data = data[a.Part*snapshotPartBytes : min((a.Part+1)*snapshotPartBytes, len(data))]
		}
	})
	return nil
}

// encodedState returns the encoded current state. It is cached until the state changes, because peers fetch it part by part.
func (d *Daemon) encodedState() []byte {
	if d.encodedOffset != d.state.Offset() {
		d.encodedSnapshot, d.encodedOffset = d.state.Snapshot(), d.state.Offset()
	}
	return d.encodedSnapshot
}

// fetchState fetches the state of a peer that is ahead of the offset after, and adopts it.
func (d *Daemon) fetchState(ctx context.Context, address string, after int64) {
	var all []byte
	var first peers.RecordsReply
	for part := 0; part == 0 || part < first.Parts; part++ {
		var reply peers.RecordsReply
		args := peers.RecordsArgs{Header: d.header(ctx), After: after, Part: part}
		if err := d.peerClient.Call(ctx, address, "Peer.Records", args, &reply); err != nil || reply.Parts == 0 {
			return
		}
		if part == 0 {
			first = reply
		}
		if reply.Offset != first.Offset {
			return // The peer's state changed between parts; the next heartbeat retries.
		}
		all = append(all, reply.Data...)
	}
	s, err := fold.Restore(all)
	if err != nil {
		d.log("state").Warn("decoding the state of a peer failed", "peer", address, "err", err)
		return
	}
	d.control.Post(func() { d.adoptState(s) })
}

// header returns the header of a message to a peer, with the trace context of ctx.
func (d *Daemon) header(ctx context.Context) peers.Header {
	return peers.Header{From: d.incarnation, Trace: d.traces.ToText(ctx)}
}

// sendToMember sends a message to a member without waiting for the reply. It is called on the control thread. Delivery is not
// guaranteed; callers resend.
func (d *Daemon) sendToMember(incarnation, method string, args any) {
	if m, ok := d.state.Member(incarnation); ok && incarnation != d.incarnation {
		d.sendToPeer(m.Addresses.Peers, method, args)
	}
}

// sendToAllMembers sends a message to all other members without waiting for replies.
func (d *Daemon) sendToAllMembers(method string, args any) {
	for _, m := range d.state.Members() {
		d.sendToMember(m.Incarnation, method, args)
	}
}

func (d *Daemon) sendToPeer(address, method string, args any) {
	d.background(func(ctx context.Context) {
		err := d.peerClient.Call(ctx, address, "Peer."+method, args, &peers.Empty{})
		d.countPeerCall(method, err)
	})
}

func (d *Daemon) countPeerCall(method string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	d.metrics.PeerCall(method, result)
}

func (d *Daemon) sendKeyMessage(a idemp.Send) {
	d.sendToMember(a.To, "Keys", peers.KeyMessage{Header: d.header(d.ctx), Message: a.Message}.ToWire(time.Now()))
}

// forward sends a keyed call to the holder of its key range. Without a reply, the outcome of the call is unknown; the caller can
// get it by repeating the call with the same key.
func (d *Daemon) forward(ctx context.Context, holder string, call front.PlainCall) (engine.PlainResponse, error) {
	var address string
	var timeout time.Duration
	d.control.Ask(func() {
		if m, ok := d.state.Member(holder); ok {
			address = m.Addresses.Peers
		}
		s, _ := d.state.View().Service(call.Service)
		timeout = time.Duration(s.TimeoutMillis)*time.Millisecond + forwardMargin
	})
	if address == "" {
		return engine.PlainResponse{}, codes.New(codes.KeyRangeMoving, "the holder of the key range is not a member").WithRetryAfter(time.Second)
	}
	ctx, span := d.traces.Start(ctx, "peer call begin")
	var reply peers.BeginReply
	err := d.peerClient.CallWithin(ctx, timeout, address, "Peer.Begin", peers.BeginArgs{
		Header: d.header(ctx), Team: call.Team.Name, Service: call.Service, Method: call.Method, Path: call.Path,
		ContentType: call.ContentType, Key: call.IdempotencyKey, Body: call.Body,
	}, &reply)
	if err == nil {
		err = reply.Fault.Err()
	}
	telem.End(span, err)
	d.countPeerCall("Begin", err)
	if peers.Refused(err) {
		// No process listens at the holder's address, so the call was not run there. The range is about to get another holder.
		return engine.PlainResponse{}, codes.New(codes.KeyRangeMoving, err.Error()).WithRetryAfter(time.Second)
	}
	if err != nil {
		// After a timeout a late answer may still be written into reply, so it must not be read.
		return engine.PlainResponse{}, err
	}
	return engine.PlainResponse{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}, nil
}
