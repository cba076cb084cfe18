package daemon

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/engine"
	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
	"github.com/fireflycleat/fireflycleat/pkg/stream"
)

const (
	defaultDeadline = 30 * time.Second
	progressTokens  = 8 // tokens between progress events; with 32, a slowed stream was detected only after 3 s
)

type (
	// modelCall is a call to a model in progress. The map of attempts is used only on the control thread. The caller's goroutine
	// owns the other fields until done is closed; err is set just before that.
	modelCall struct {
		id        uint64
		call      front.ModelCall
		ctx       context.Context
		sink      func([]byte) error
		check     *stream.Check
		startedAt time.Time
		attempts  map[int]*attempt
		running   sync.WaitGroup
		done      chan struct{}
		err       error
	}

	// attempt is one request to an engine. Its tokens are held back until deliver is closed.
	attempt struct {
		number   int
		upstream string
		model    string
		request  engine.Request
		ctx      context.Context
		cancel   context.CancelFunc
		deliver  chan struct{}
	}

	// modelCalls runs calls to models as decided by the entry state machine.
	modelCalls struct {
		d         *Daemon
		entry     *entry.Entry
		alarm     *ctrl.Alarm
		calls     map[uint64]*modelCall
		lastID    uint64
		inFlight  map[cellModel]inFlightCount
		onDrained func()
	}

	cellModel struct {
		cell  string
		model string
	}

	// inFlightCount counts attempts in progress.
	inFlightCount struct {
		total  int
		urgent int
	}
)

func newModelCalls(d *Daemon, e *entry.Entry) *modelCalls {
	m := &modelCalls{d: d, entry: e, calls: make(map[uint64]*modelCall), inFlight: make(map[cellModel]inFlightCount)}
	m.alarm = ctrl.NewAlarm(d.control, func() { m.handle(entry.Tick{}) })
	return m
}

// run carries out one call in the caller's goroutine. It returns when the response is complete, or the call was refused or
// abandoned.
func (m *modelCalls) run(ctx context.Context, call front.ModelCall, sink func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &modelCall{
		call: call, ctx: ctx, sink: sink, check: stream.New(call.ID), startedAt: time.Now(),
		attempts: make(map[int]*attempt), done: make(chan struct{}),
	}
	m.d.control.Post(func() { m.start(c) })
	select {
	case <-c.done:
	case <-ctx.Done():
		m.d.control.Ask(func() { m.abandon(c) })
		<-c.done
	case <-m.d.control.Stopped():
		return codes.New(codes.Draining, "host stopped")
	}
	cancel()
	c.running.Wait()
	return c.err
}

func (m *modelCalls) start(c *modelCall) {
	m.lastID++
	c.id = m.lastID
	m.calls[c.id] = c
	timeout := c.call.Timeout
	if timeout == 0 {
		timeout = time.Duration(c.call.Team.DeadlineMillis) * time.Millisecond
	}
	if timeout == 0 {
		timeout = defaultDeadline
	}
	m.handle(entry.Arrive{ID: c.id, Request: entry.Request{
		Team: c.call.Team.Name, Model: c.call.Model, Adapter: c.call.Adapter, Urgency: c.call.Urgency,
		Deadline: c.startedAt.Add(timeout), PromptTokens: c.call.PromptTokens, MaxTokens: c.call.MaxTokens,
		Repeatable: true, Fingerprint: xxhash.Sum64(c.call.Body) ^ xxhash.Sum64String(c.call.Team.Name),
	}})
}

func (m *modelCalls) abandon(c *modelCall) {
	if _, ok := m.calls[c.id]; !ok {
		return
	}
	m.handle(entry.Abandoned{ID: c.id})
	m.finish(c.id, codes.New(codes.CallerLeft, ""))
}

// handle passes an event to the entry state machine and carries out its actions. It is called on the control thread.
func (m *modelCalls) handle(e entry.Event) {
	for _, a := range m.entry.Handle(time.Now(), e) {
		m.perform(a)
	}
}

func (m *modelCalls) perform(a entry.Action) {
	switch a := a.(type) {
	case entry.Send:
		m.startAttempt(a)
	case entry.Cancel:
		if c, ok := m.calls[a.ID]; ok && c.attempts[a.Attempt] != nil {
			c.attempts[a.Attempt].cancel()
		}
	case entry.Deliver:
		if c, ok := m.calls[a.ID]; ok && c.attempts[a.Attempt] != nil {
			m.d.metrics.FirstToken(c.call.Urgency.String(), time.Since(c.startedAt))
			close(c.attempts[a.Attempt].deliver)
		}
	case entry.Complete:
		m.finish(a.ID, nil)
	case entry.Refuse:
		m.d.decisionHistory.add(wire.Decision{Request: m.requestID(a.ID), Event: "refused", Code: int(a.Code), Reason: a.Code.Title()})
		m.finish(a.ID, codes.New(a.Code, "").WithOutcome(a.Outcome).WithRetryAfter(a.RetryAfter))
	case entry.Demand:
		m.d.cells.sendDemand(a)
	case entry.SendNotices:
		m.d.members.sendHeartbeatsNow() // Heartbeats carry the notices about the speed of upstreams.
	case entry.Wake:
		m.alarm.Set(a.At)
	case entry.Drained:
		if m.onDrained != nil {
			m.onDrained()
		}
	}
}

func (m *modelCalls) requestID(id uint64) string {
	if c, ok := m.calls[id]; ok {
		return c.call.ID
	}
	return ""
}

func (m *modelCalls) finish(id uint64, err error) {
	c, ok := m.calls[id]
	if !ok {
		return
	}
	delete(m.calls, id)
	c.err = err
	close(c.done)
}

// startAttempt starts an attempt. If the call has finished or the upstream has no address, the attempt is reported as not run,
// because the state machine expects an end for every attempt.
func (m *modelCalls) startAttempt(s entry.Send) {
	c, ok := m.calls[s.ID]
	address := m.d.upstreams.address(s.Upstream)
	if !ok || address == "" {
		m.d.control.Post(func() {
			m.handle(entry.AttemptEnded{ID: s.ID, Attempt: s.Attempt, Result: retry.NotRun, Tokens: s.ResumeFrom})
		})
		return
	}
	id := c.call.ID
	if s.Attempt > 1 {
		id += "-" + strconv.Itoa(s.Attempt)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	a := &attempt{
		number: s.Attempt, upstream: s.Upstream, model: c.call.Model, ctx: ctx, cancel: cancel, deliver: make(chan struct{}),
		request: engine.Request{
			ID: id, Address: address, Path: c.call.Path, Body: c.call.Body, Priority: int(s.Priority), ResumeFrom: s.ResumeFrom,
		},
	}
	c.attempts[s.Attempt] = a
	m.countAttempt(a, 1)
	m.d.decisionHistory.add(wire.Decision{Request: c.call.ID, Event: "sent", Upstream: s.Upstream, Reason: "attempt " + strconv.Itoa(s.Attempt)})
	c.running.Add(1)
	go m.runAttempt(c, a)
}

func (m *modelCalls) countAttempt(a *attempt, delta int) {
	key := cellModel{m.d.upstreams.cell(a.upstream), a.model}
	count := m.inFlight[key]
	count.total += delta
	if spec.Urgency(a.request.Priority) == spec.Urgent {
		count.urgent += delta
	}
	m.inFlight[key] = count
	if count.total == 0 {
		// Report idle replicas at once: the controller may need their memory.
		m.d.cells.reportInFlight(map[cellModel]inFlightCount{key: {}})
		delete(m.inFlight, key)
	}
}

// runAttempt sends one request to an engine and reports its result.
func (m *modelCalls) runAttempt(c *modelCall, a *attempt) {
	defer c.running.Done()
	defer a.cancel()
	ctx, span := m.d.traces.Start(a.ctx, "engine attempt",
		attribute.String("upstream", a.upstream), attribute.Int("attempt", a.number))
	next, err := m.streamTokens(ctx, c, a)
	telem.End(span, err)
	result := attemptResult(a.ctx, err)
	m.d.metrics.Attempt(result.String())
	m.d.control.Post(func() {
		m.countAttempt(a, -1)
		if codes.Is(err, codes.UpstreamRefused) {
			m.d.upstreams.pollRefusing(a.upstream)
		}
		m.handle(entry.AttemptEnded{ID: c.id, Attempt: a.number, Result: result, Tokens: next})
	})
}

// streamTokens forwards the tokens of one attempt and returns the index of the next token that the caller needs.
func (m *modelCalls) streamTokens(ctx context.Context, c *modelCall, a *attempt) (int, error) {
	s, err := m.d.engines.Open(ctx, a.request)
	if err != nil {
		return a.request.ResumeFrom, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	chunk, err := s.Next()
	if err != nil {
		return a.request.ResumeFrom, err
	}
	m.d.control.Post(func() { m.handle(entry.FirstToken{ID: c.id, Attempt: a.number}) })
	select {
	case <-a.deliver:
	case <-ctx.Done():
		return a.request.ResumeFrom, ctx.Err()
	}
	c.check.Resume(a.number, a.request.ID)
	for {
		if err := m.forwardChunk(c, a, chunk); err != nil || c.check.Finished() {
			return int(c.check.Next()), err
		}
		if chunk, err = s.Next(); err != nil {
			return int(c.check.Next()), err
		}
	}
}

// forwardChunk checks a chunk and sends the caller the tokens that it does not have yet.
func (m *modelCalls) forwardChunk(c *modelCall, a *attempt, chunk engine.Chunk) error {
	streamChunk := stream.Chunk{RequestID: chunk.RequestID, Seq: chunk.Index, Tokens: []string{chunk.Data}}
	if chunk.Done {
		streamChunk = stream.Chunk{RequestID: a.request.ID, Seq: c.check.Next(), End: true}
	}
	tokens, err := c.check.Accept(a.number, streamChunk)
	if err != nil {
		return err
	}
	for _, data := range tokens {
		if err := c.sink([]byte(strings.Replace(data, a.request.ID, c.call.ID, 1))); err != nil {
			return err
		}
	}
	if next := int(c.check.Next()); len(tokens) > 0 && next%progressTokens == 0 {
		m.d.control.Post(func() { m.handle(entry.Progress{ID: c.id, Attempt: a.number, Tokens: next}) })
	}
	return nil
}

// attemptResult classifies the end of an attempt. A cancelled attempt may have run.
func attemptResult(ctx context.Context, err error) retry.Result {
	switch e := codes.From(err); {
	case err == nil:
		return retry.Done
	case e.Code() == codes.UpstreamRefused:
		return retry.NotRun
	case ctx.Err() != nil:
		return retry.Cancelled
	case e.Outcome() == codes.Unknown:
		return retry.Unknown
	}
	return retry.Failed
}
