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

// partBytes is the size of one part of a snapshot sent to a peer; it leaves room below peers.MaxMessageBytes.
const partBytes = 512 << 10

// service holds the methods that peers call.
type service struct{ d *Daemon }

// Heartbeat takes a heartbeat in and answers with this daemon's own.
func (s *service) Heartbeat(a peers.Heartbeat, reply *peers.Heartbeat) error {
	if a.Beat.Incarnation == "" {
		return codes.New(codes.BadPeerMessage, "incarnation is missing")
	}
	s.d.control.Ask(func() {
		now := time.Now()
		s.d.members.fresh.Note(a.Fresh)
		s.d.members.handle(member.Called{Heartbeat: a.Beat})
		if len(a.Speeds) > 0 {
			s.d.models.handle(entry.Findings{Notices: a.Speeds})
		}
		s.d.catchUp(a.Beat)
		*reply = peers.Heartbeat{
			Header: s.d.header(s.d.life), Beat: s.d.members.heartbeat(now), Fresh: s.d.members.fresh.Beat(now, a.Beat.Incarnation),
		}
	})
	return nil
}

// CellEvent passes an event to the controller of a cell, if this daemon is it.
func (s *service) CellEvent(a peers.CellEvent, _ *peers.Nothing) error {
	if a.Event == nil {
		return codes.New(codes.BadPeerMessage, "event is missing")
	}
	s.d.control.Post(func() {
		if r, ok := s.d.cells.byName[a.Cell]; ok && r.held {
			r.handle(a.Inward(time.Now()).Event)
		}
	})
	return nil
}

// Forecast passes a forecast to the entry machine.
func (s *service) Forecast(a peers.ForecastArgs, _ *peers.Nothing) error {
	s.d.control.Post(func() { s.d.cells.forecast(a.Cell, a.Inward(time.Now()).Forecast) })
	return nil
}

// Directory passes the directory of a cell to the entry machine.
func (s *service) Directory(a peers.Directory, _ *peers.Nothing) error {
	s.d.control.Post(func() { s.d.applyDirectory(a.Inward(time.Now())) })
	return nil
}

// Keys passes a message between the hosts of a key range on.
func (s *service) Keys(a peers.KeyMessage, _ *peers.Nothing) error {
	if a.Message == nil {
		return codes.New(codes.BadPeerMessage, "message is missing")
	}
	s.d.control.Post(func() { s.d.bookings.handle(a.Inward(time.Now()).Message) })
	return nil
}

// Begin runs a keyed call whose key range this daemon holds, and returns its end.
func (s *service) Begin(a peers.BeginArgs, reply *peers.BeginReply) error {
	ctx, span := s.d.traces.Start(s.d.traces.FromText(context.Background(), a.Trace), "peer begin")
	end := s.d.bookings.begin(ctx, front.PlainCall{
		Team: spec.Team{Name: a.Team}, Service: a.Service, Method: a.Method, Path: a.Path, ContentType: a.ContentType, Key: a.Key,
		Body: a.Body,
	}, true)
	if end.forward != "" {
		end.err = codes.New(codes.KeyRangeMoving, "the key range has another holder").WithRetryAfter(time.Second)
	}
	telem.End(span, end.err)
	reply.Status, reply.ContentType, reply.Body = end.answer.Status, end.answer.ContentType, end.answer.Body
	reply.Fault = peers.NewFault(end.err)
	return nil
}

// Release tells whether this incarnation has released the lease with no order in flight.
func (s *service) Release(a peers.ReleaseArgs, reply *peers.ReleaseReply) error {
	s.d.control.Ask(func() {
		if r, ok := s.d.cells.byName[a.Cell]; ok {
			reply.Released = r.control.Released(a.Fence)
		}
	})
	return nil
}

// Records returns a part of the state if it is ahead of the asking peer.
func (s *service) Records(a peers.RecordsArgs, reply *peers.RecordsReply) error {
	s.d.control.Ask(func() {
		if s.d.state.Offset() <= a.After {
			return
		}
		data := s.d.encodedState()
		reply.Offset = s.d.state.Offset()
		reply.Parts = (len(data) + partBytes - 1) / partBytes
		if a.Part >= 0 && a.Part < reply.Parts {
			reply.Data = data[a.Part*partBytes : min((a.Part+1)*partBytes, len(data))]
		}
	})
	return nil
}

// encodedState returns the snapshot of the present state; it is kept until the state changes, as peers ask part by part.
func (d *Daemon) encodedState() []byte {
	if d.encodedAt != d.state.Offset() {
		d.encoded, d.encodedAt = d.state.Snapshot(), d.state.Offset()
	}
	return d.encoded
}

// fetchState gets the state of a peer that is ahead.
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
			return // The peer's state moved on meanwhile; the next heartbeat tries again.
		}
		all = append(all, reply.Data...)
	}
	s, err := fold.Restore(all)
	if err != nil {
		d.log("state").Warn("state of a peer cannot be read", "peer", address, "err", err)
		return
	}
	d.control.Post(func() { d.adopt(s) })
}

// header returns the header of a message to a peer.
func (d *Daemon) header(ctx context.Context) peers.Header {
	return peers.Header{From: d.incarnation, Trace: d.traces.ToText(ctx)}
}

// tellMember sends a message to a member without waiting. It is called on the control thread; what is lost is repeated by
// the part that sent it.
func (d *Daemon) tellMember(incarnation, method string, args any) {
	if m, ok := d.state.Member(incarnation); ok && incarnation != d.incarnation {
		d.tell(m.Addresses.Peers, method, args)
	}
}

// tellAll sends a message to all other members without waiting.
func (d *Daemon) tellAll(method string, args any) {
	for _, m := range d.state.Members() {
		d.tellMember(m.Incarnation, method, args)
	}
}

func (d *Daemon) tell(address, method string, args any) {
	d.background(func(ctx context.Context) {
		err := d.peerClient.Call(ctx, address, "Peer."+method, args, &peers.Nothing{})
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
	d.tellMember(a.To, "Keys", peers.KeyMessage{Header: d.header(d.life), Message: a.Message}.Outward(time.Now()))
}

// forward sends a keyed call to the holder of its range. Without an answer its outcome is unknown; the same key may be
// used again to learn it.
func (d *Daemon) forward(ctx context.Context, to string, call front.PlainCall) (engine.PlainAnswer, error) {
	var address string
	var timeout time.Duration
	d.control.Ask(func() {
		if m, ok := d.state.Member(to); ok {
			address = m.Addresses.Peers
		}
		s, _ := d.state.View().Service(call.Service)
		timeout = time.Duration(s.TimeoutMillis)*time.Millisecond + forwardSlack
	})
	if address == "" {
		return engine.PlainAnswer{}, codes.New(codes.KeyRangeMoving, "the holder of the key range is gone").WithRetryAfter(time.Second)
	}
	ctx, span := d.traces.Start(ctx, "peer call begin")
	var reply peers.BeginReply
	err := d.peerClient.CallWithin(ctx, timeout, address, "Peer.Begin", peers.BeginArgs{
		Header: d.header(ctx), Team: call.Team.Name, Service: call.Service, Method: call.Method, Path: call.Path,
		ContentType: call.ContentType, Key: call.Key, Body: call.Body,
	}, &reply)
	if err == nil {
		err = reply.Fault.Err()
	}
	telem.End(span, err)
	d.countPeerCall("Begin", err)
	if peers.Refused(err) {
		// The holder has ended, so the call was not run there; its range is about to get another holder.
		return engine.PlainAnswer{}, codes.New(codes.KeyRangeMoving, err.Error()).WithRetryAfter(time.Second)
	}
	if err != nil {
		// After a time-out the answer may still be written into reply, so it must not be read.
		return engine.PlainAnswer{}, err
	}
	return engine.PlainAnswer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}, nil
}
