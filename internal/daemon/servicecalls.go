package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/engine"
	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	maxServiceTries = 3
	// A range moves to another pair of hosts within this time when a host stops as planned; a call waits for it.
	movingLimit  = 3 * time.Second
	movingRetry  = 50 * time.Millisecond
	proposeDelay = 50 * time.Millisecond
	forwardSlack = 3 * time.Second // forwardSlack is added to a service's timeout for a call through the key's holder.
)

type (
	// bookings runs calls to plain services; those with an idempotency key go through the key's holder.
	bookings struct {
		d       *Daemon
		host    *idemp.Host
		alarm   *ctrl.Alarm
		waiting map[string]*booking
		// proposed waits for proposeDelay, so that a change of many ranges becomes one record.
		proposed []idemp.Propose
	}

	// booking is a keyed call that waits for its end.
	booking struct {
		call  front.PlainCall
		trace string // Trace is the caller's trace context, which outlives the caller's request.
		end   chan bookingEnd
	}

	// bookingEnd is either an answer, an error, or the incarnation to which the call has to be forwarded.
	bookingEnd struct {
		answer  engine.PlainAnswer
		err     error
		forward string
	}
)

func newBookings(d *Daemon, host *idemp.Host) *bookings {
	b := &bookings{d: d, host: host, waiting: make(map[string]*booking)}
	b.alarm = ctrl.NewAlarm(d.control, func() { b.handle(idemp.Tick{}) })
	return b
}

// run carries out a call to a plain service on the caller's thread.
func (b *bookings) run(ctx context.Context, call front.PlainCall) (engine.PlainAnswer, error) {
	if call.Key == "" {
		s, _ := b.d.view().Service(call.Service)
		return b.send(ctx, call, slices.Contains(s.Repeatable, call.Method))
	}
	for limit := time.Now().Add(movingLimit); ; pause(ctx, movingRetry) {
		end := b.begin(ctx, call, false)
		if end.forward != "" {
			end.answer, end.err = b.d.forward(ctx, end.forward, call)
		}
		if !codes.Is(end.err, codes.KeyRangeMoving) || time.Now().After(limit) || ctx.Err() != nil {
			return end.answer, end.err
		}
	}
}

// begin asks the key's owner state to run the call and waits for its end. It does not end when the caller leaves: the
// outcome has to be recorded under the key.
func (b *bookings) begin(ctx context.Context, call front.PlainCall, forwarded bool) bookingEnd {
	id := uuid.NewString()
	x := &booking{call: call, trace: b.d.traces.ToText(ctx), end: make(chan bookingEnd, 1)}
	digest := sha256.Sum256([]byte(call.Method + " " + call.Service + call.Path + "\n" + string(call.Body)))
	b.d.control.Post(func() {
		b.waiting[id] = x
		b.handle(idemp.Begin{ID: id, Key: ownKey(call), Digest: hex.EncodeToString(digest[:]), Forwarded: forwarded})
	})
	select {
	case end := <-x.end:
		return end
	case <-b.d.control.Stopped():
		return bookingEnd{err: codes.New(codes.Draining, "host stopped").WithOutcome(codes.Unknown)}
	}
}

func (b *bookings) handle(e idemp.Event) {
	for _, a := range b.host.Handle(time.Now(), e) {
		switch a := a.(type) {
		case idemp.Send:
			b.d.sendKeyMessage(a)
		case idemp.Run:
			b.execute(a)
		case idemp.Answer:
			b.finish(a.ID, answerEnd(a))
		case idemp.Forward:
			b.finish(a.ID, bookingEnd{forward: a.To})
		case idemp.Propose:
			b.propose(a)
		case idemp.Wake:
			b.alarm.Set(a.At)
		}
	}
}

func answerEnd(a idemp.Answer) bookingEnd {
	if a.Err != nil {
		return bookingEnd{err: a.Err}
	}
	return bookingEnd{answer: engine.PlainAnswer{Status: a.Stored.Status, ContentType: a.Stored.ContentType, Body: a.Stored.Body}}
}

// propose collects assignments; a lost host concerns many ranges at about the same time.
func (b *bookings) propose(p idemp.Propose) {
	b.proposed = append(b.proposed, p)
	if len(b.proposed) == 1 {
		time.AfterFunc(proposeDelay, func() { b.d.control.Post(b.appendProposed) })
	}
}

func (b *bookings) appendProposed() {
	latest := make(map[int]fold.RangeChange, len(b.proposed))
	for _, p := range b.proposed {
		latest[p.Range] = fold.RangeChange{Range: p.Range, Base: p.Base, Holder: p.Holder, Backup: p.Backup, Blind: p.Blind}
	}
	b.proposed = nil
	changes := make([]fold.RangeChange, 0, len(latest))
	for _, i := range slices.Sorted(maps.Keys(latest)) {
		changes = append(changes, latest[i])
	}
	b.d.appends.add(fold.Record{Kind: fold.KeyRangeKind, KeyRange: changes}, nil)
}

func (b *bookings) finish(id string, end bookingEnd) {
	if x, ok := b.waiting[id]; ok {
		delete(b.waiting, id)
		x.end <- end
	}
}

// execute sends the call once; the service timeout bounds it even after the caller has left.
func (b *bookings) execute(r idemp.Run) {
	x, ok := b.waiting[r.ID]
	if !ok {
		b.d.control.Post(func() {
			b.handle(idemp.Outcome{Attempt: r.Attempt, Result: codes.NotRun, Proof: idemp.NoByteSent})
		})
		return
	}
	b.d.background(func(ctx context.Context) {
		ctx, span := b.d.traces.Start(b.d.traces.FromText(ctx, x.trace), "service call")
		answer, err := b.send(ctx, x.call, false)
		telem.End(span, err)
		b.d.control.Post(func() { b.handle(outcomeOf(r.Attempt, answer, err)) })
	})
}

func outcomeOf(attempt idemp.Attempt, answer engine.PlainAnswer, err error) idemp.Outcome {
	o := idemp.Outcome{Attempt: attempt, Result: codes.Ran}
	if err == nil {
		o.Stored = idemp.Stored{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
		return o
	}
	e := codes.From(err)
	o.Result = e.Outcome()
	if codes.Is(err, codes.UpstreamRefused) {
		o.Result, o.Proof = codes.NotRun, idemp.ServiceSaid
	}
	if codes.Is(err, codes.NoUpstream) {
		o.Result, o.Proof = codes.NotRun, idemp.NoByteSent
	}
	if o.Result == codes.Ran {
		o.Result = codes.Unknown // Without an answer to store, all that is known is that the service may have run it.
	}
	return o
}

// send tries the service's hosts in random order while each says that it did not run the call. A repeatable call is also
// tried again after a missing answer.
func (b *bookings) send(ctx context.Context, call front.PlainCall, repeatable bool) (engine.PlainAnswer, error) {
	var addresses []string
	var service spec.Service
	b.d.control.Ask(func() {
		service, _ = b.d.state.View().Service(call.Service)
		for _, n := range b.d.upstreams.service(call.Service) {
			addresses = append(addresses, b.d.upstreams.address(n))
		}
	})
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var last error = codes.New(codes.NoUpstream, "service "+call.Service).WithRetryAfter(time.Second)
	for i, address := range addresses {
		if i == maxServiceTries {
			break
		}
		answer, err := b.d.engines.Plain(ctx, engine.PlainRequest{
			Address: address, Method: call.Method, Path: call.Path, ContentType: call.ContentType, Key: call.Key, Body: call.Body,
			Timeout: time.Duration(service.TimeoutMillis) * time.Millisecond, MaxReply: b.d.settings.Limits.ReplyBytes.Bytes(),
		})
		if err == nil {
			return answer, nil
		}
		last = err
		if codes.From(err).Outcome() != codes.NotRun && !repeatable {
			return answer, err
		}
	}
	return engine.PlainAnswer{}, last
}

// mint returns an idempotency key that no caller has used before.
func (b *bookings) mint(context.Context) (string, error) {
	key := ""
	var err error = codes.New(codes.Draining, "host stopped")
	b.d.control.Ask(func() { key, err = b.host.Mint(rand.IntN(fold.KeyRanges)) })
	return key, err
}

// ownKey keeps the keys of teams apart. A minted key is unique as it is and carries its range.
func ownKey(call front.PlainCall) string {
	if _, ok := idemp.Minted(call.Key, fold.KeyRanges); ok {
		return call.Key
	}
	return call.Team.Name + "/" + call.Key
}

// assign tells the key range machine about an accepted assignment; base is the epoch that it replaced.
func (d *Daemon) assign(k fold.KeyRange, base int64) {
	if k.Epoch == 0 {
		return
	}
	d.bookings.handle(idemp.Assignment{
		Range: k.Range, Epoch: k.Epoch, Base: base, Holder: k.Holder, Backup: k.Backup, BlindEpoch: k.BlindEpoch, BlindSince: k.BlindAt,
	})
}
