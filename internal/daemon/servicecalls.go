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
	maxServiceAttempts = 3
	// rangeMoveTimeout limits how long a call waits while its key range moves. In a planned stop of a host, its key ranges move
	// to other pairs of hosts within this time.
	rangeMoveTimeout    = 3 * time.Second
	rangeMoveRetryDelay = 50 * time.Millisecond
	batchDelay          = 50 * time.Millisecond
	forwardMargin       = 3 * time.Second // added to the service's timeout for a call through the key range's holder
)

type (
	// serviceCalls runs calls to plain services. Calls with an idempotency key run on the holder of the key's range.
	serviceCalls struct {
		d         *Daemon
		keyRanges *idemp.Host
		alarm     *ctrl.Alarm
		pending   map[string]*keyedCall
		// proposals are collected for batchDelay, so that changes of many ranges are appended as one record.
		proposals []idemp.Propose
	}

	// keyedCall is a call with an idempotency key whose result is pending.
	keyedCall struct {
		call   front.PlainCall
		trace  string // caller's trace context; the call may outlive the caller's request
		result chan callResult
	}

	// callResult is a response, an error, or the incarnation to which the call must be forwarded.
	callResult struct {
		response engine.PlainResponse
		err      error
		forward  string
	}
)

func newServiceCalls(d *Daemon, keyRanges *idemp.Host) *serviceCalls {
	c := &serviceCalls{d: d, keyRanges: keyRanges, pending: make(map[string]*keyedCall)}
	c.alarm = ctrl.NewAlarm(d.control, func() { c.handle(idemp.Tick{}) })
	return c
}

// run carries out a call to a plain service in the caller's goroutine.
func (c *serviceCalls) run(ctx context.Context, call front.PlainCall) (engine.PlainResponse, error) {
	if call.IdempotencyKey == "" {
		s, _ := c.d.view().Service(call.Service)
		return c.send(ctx, call, slices.Contains(s.Repeatable, call.Method))
	}
	for deadline := time.Now().Add(rangeMoveTimeout); ; pause(ctx, rangeMoveRetryDelay) {
		result := c.runKeyed(ctx, call, false)
		if result.forward != "" {
			result.response, result.err = c.d.forward(ctx, result.forward, call)
		}
		if !codes.Is(result.err, codes.KeyRangeMoving) || time.Now().After(deadline) || ctx.Err() != nil {
			return result.response, result.err
		}
	}
}

// runKeyed submits the call to the key range state machine and waits for the result. It does not return early when the caller
// disconnects, because the outcome must be recorded under the key.
func (c *serviceCalls) runKeyed(ctx context.Context, call front.PlainCall, forwarded bool) callResult {
	id := uuid.NewString()
	pending := &keyedCall{call: call, trace: c.d.traces.ToText(ctx), result: make(chan callResult, 1)}
	digest := sha256.Sum256([]byte(call.Method + " " + call.Service + call.Path + "\n" + string(call.Body)))
	c.d.control.Post(func() {
		c.pending[id] = pending
		c.handle(idemp.Begin{ID: id, Key: scopedKey(call), Digest: hex.EncodeToString(digest[:]), Forwarded: forwarded})
	})
	select {
	case result := <-pending.result:
		return result
	case <-c.d.control.Stopped():
		return callResult{err: codes.New(codes.Draining, "host stopped").WithOutcome(codes.Unknown)}
	}
}

func (c *serviceCalls) handle(e idemp.Event) {
	for _, a := range c.keyRanges.Handle(time.Now(), e) {
		switch a := a.(type) {
		case idemp.Send:
			c.d.sendKeyMessage(a)
		case idemp.Run:
			c.execute(a)
		case idemp.Answer:
			c.finish(a.ID, answerResult(a))
		case idemp.Forward:
			c.finish(a.ID, callResult{forward: a.To})
		case idemp.Propose:
			c.propose(a)
		case idemp.Wake:
			c.alarm.Set(a.At)
		}
	}
}

func answerResult(a idemp.Answer) callResult {
	if a.Err != nil {
		return callResult{err: a.Err}
	}
	return callResult{response: engine.PlainResponse{Status: a.Stored.Status, ContentType: a.Stored.ContentType, Body: a.Stored.Body}}
}

// propose collects assignments for one record, because the loss of a host affects many ranges at about the same time.
func (c *serviceCalls) propose(p idemp.Propose) {
	c.proposals = append(c.proposals, p)
	if len(c.proposals) == 1 {
		time.AfterFunc(batchDelay, func() { c.d.control.Post(c.appendProposals) })
	}
}

func (c *serviceCalls) appendProposals() {
	latest := make(map[int]fold.RangeChange, len(c.proposals))
	for _, p := range c.proposals {
		latest[p.Range] = fold.RangeChange{Range: p.Range, Base: p.Base, Holder: p.Holder, Backup: p.Backup, StateLost: p.StateLost}
	}
	c.proposals = nil
	changes := make([]fold.RangeChange, 0, len(latest))
	for _, i := range slices.Sorted(maps.Keys(latest)) {
		changes = append(changes, latest[i])
	}
	c.d.appender.add(fold.Record{Kind: fold.KeyRangeKind, KeyRange: changes}, nil)
}

func (c *serviceCalls) finish(id string, result callResult) {
	if pending, ok := c.pending[id]; ok {
		delete(c.pending, id)
		pending.result <- result
	}
}

// execute sends the call once. The call runs until the service timeout even after the caller has disconnected.
func (c *serviceCalls) execute(r idemp.Run) {
	pending, ok := c.pending[r.ID]
	if !ok {
		c.d.control.Post(func() {
			c.handle(idemp.Outcome{Attempt: r.Attempt, Result: codes.NotRun, Proof: idemp.NoByteSent})
		})
		return
	}
	c.d.background(func(ctx context.Context) {
		ctx, span := c.d.traces.Start(c.d.traces.FromText(ctx, pending.trace), "service call")
		response, err := c.send(ctx, pending.call, false)
		telem.End(span, err)
		c.d.control.Post(func() { c.handle(outcomeOf(r.Attempt, response, err)) })
	})
}

func outcomeOf(attempt idemp.Attempt, response engine.PlainResponse, err error) idemp.Outcome {
	o := idemp.Outcome{Attempt: attempt, Result: codes.Ran}
	if err == nil {
		o.Stored = idemp.StoredAnswer{Status: response.Status, ContentType: response.ContentType, Body: response.Body}
		return o
	}
	e := codes.From(err)
	o.Result = e.Outcome()
	if codes.Is(err, codes.UpstreamRefused) {
		o.Result, o.Proof = codes.NotRun, idemp.ServiceConfirmed
	}
	if codes.Is(err, codes.NoUpstream) {
		o.Result, o.Proof = codes.NotRun, idemp.NoByteSent
	}
	if o.Result == codes.Ran {
		o.Result = codes.Unknown // no answer to store: the service may or may not have run the call
	}
	return o
}

// send tries up to maxServiceAttempts hosts of the service in random order, until one of them may have run the call. A
// repeatable call is also retried when an answer is missing.
func (c *serviceCalls) send(ctx context.Context, call front.PlainCall, repeatable bool) (engine.PlainResponse, error) {
	var addresses []string
	var service spec.Service
	c.d.control.Ask(func() {
		service, _ = c.d.state.View().Service(call.Service)
		for _, n := range c.d.upstreams.serviceHosts(call.Service) {
			addresses = append(addresses, c.d.upstreams.address(n))
		}
	})
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var lastErr error = codes.New(codes.NoUpstream, "service "+call.Service).WithRetryAfter(time.Second)
	for i, address := range addresses {
		if i == maxServiceAttempts {
			break
		}
		response, err := c.d.engines.CallPlain(ctx, engine.PlainRequest{
			Address: address, Method: call.Method, Path: call.Path, ContentType: call.ContentType, IdempotencyKey: call.IdempotencyKey, Body: call.Body,
			Timeout: time.Duration(service.TimeoutMillis) * time.Millisecond, MaxReplyBytes: c.d.settings.Limits.ReplyBytes.Bytes(),
		})
		if err == nil {
			return response, nil
		}
		lastErr = err
		if codes.From(err).Outcome() != codes.NotRun && !repeatable {
			return response, err
		}
	}
	return engine.PlainResponse{}, lastErr
}

// mintKey returns an idempotency key that no caller has used before.
func (c *serviceCalls) mintKey(context.Context) (string, error) {
	key := ""
	var err error = codes.New(codes.Draining, "host stopped")
	c.d.control.Ask(func() { key, err = c.keyRanges.Mint(rand.IntN(fold.KeyRanges)) })
	return key, err
}

// scopedKey prefixes the key with the team, so that keys of different teams do not collide. A minted key is already unique and
// encodes its range, so it stays unchanged.
func scopedKey(call front.PlainCall) string {
	if _, ok := idemp.MintedEpoch(call.IdempotencyKey, fold.KeyRanges); ok {
		return call.IdempotencyKey
	}
	return call.Team.Name + "/" + call.IdempotencyKey
}

// applyAssignment passes an accepted assignment to the key range state machine. The assignment replaced the epoch base.
func (d *Daemon) applyAssignment(k fold.KeyRange, base int64) {
	if k.Epoch == 0 {
		return
	}
	d.serviceCalls.handle(idemp.Assignment{
		Range: k.Range, Epoch: k.Epoch, Base: base, Holder: k.Holder, Backup: k.Backup, StateLostEpoch: k.StateLostEpoch, StateLostSince: k.StateLostAt,
	})
}
