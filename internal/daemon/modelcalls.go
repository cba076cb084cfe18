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
	progressEvery   = 8 // Tokens between two progress reports; with 32 a slowed answer was noticed after 3 s.
)

type (
	// modelCall is a call to a model in progress. The control thread owns attempts; the rest belongs to the caller's thread
	// until end is closed.
	modelCall struct {
		id       uint64
		call     front.ModelCall
		ctx      context.Context
		sink     func([]byte) error
		check    *stream.Check
		began    time.Time
		attempts map[int]*attempt
		running  sync.WaitGroup
		end      chan struct{}
		err      error
	}

	// attempt is one request at an engine. Its tokens wait until deliver is closed.
	attempt struct {
		number   int
		upstream string
		model    string
		request  engine.Request
		ctx      context.Context
		cancel   context.CancelFunc
		deliver  chan struct{}
	}

	// models runs calls to models by the decisions of the entry machine.
	models struct {
		d       *Daemon
		machine *entry.Entry
		alarm   *ctrl.Alarm
		calls   map[uint64]*modelCall
		next    uint64
		use     map[modelUse]useCount
		idle    func()
	}

	// modelUse names a model in a cell.
	modelUse struct {
		cell  string
		model string
	}

	// useCount counts attempts in progress.
	useCount struct {
		all    int
		urgent int
	}
)

func newModels(d *Daemon, machine *entry.Entry) *models {
	m := &models{d: d, machine: machine, calls: make(map[uint64]*modelCall), use: make(map[modelUse]useCount)}
	m.alarm = ctrl.NewAlarm(d.control, func() { m.handle(entry.Tick{}) })
	return m
}

// run carries out one call on the caller's thread and returns when its answer is whole or given up.
func (m *models) run(ctx context.Context, call front.ModelCall, sink func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &modelCall{
		call: call, ctx: ctx, sink: sink, check: stream.New(call.ID), began: time.Now(), attempts: make(map[int]*attempt), end: make(chan struct{}),
	}
	m.d.control.Post(func() { m.arrive(c) })
	select {
	case <-c.end:
	case <-ctx.Done():
		m.d.control.Ask(func() { m.abandon(c) })
		<-c.end
	case <-m.d.control.Stopped():
		return codes.New(codes.Draining, "host stopped")
	}
	cancel()
	c.running.Wait()
	return c.err
}

func (m *models) arrive(c *modelCall) {
	m.next++
	c.id = m.next
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
		Deadline: c.began.Add(timeout), PromptTokens: c.call.PromptTokens, MaxTokens: c.call.MaxTokens,
		Repeatable: true, Fingerprint: xxhash.Sum64(c.call.Body) ^ xxhash.Sum64String(c.call.Team.Name),
	}})
}

func (m *models) abandon(c *modelCall) {
	if _, ok := m.calls[c.id]; !ok {
		return
	}
	m.handle(entry.Abandoned{ID: c.id})
	m.finish(c.id, codes.New(codes.CallerLeft, ""))
}

// handle passes an event to the entry machine and carries out its actions, on the control thread.
func (m *models) handle(e entry.Event) {
	for _, a := range m.machine.Handle(time.Now(), e) {
		m.act(a)
	}
}

func (m *models) act(a entry.Action) {
	switch a := a.(type) {
	case entry.Send:
		m.send(a)
	case entry.Cancel:
		if c, ok := m.calls[a.ID]; ok && c.attempts[a.Attempt] != nil {
			c.attempts[a.Attempt].cancel()
		}
	case entry.Deliver:
		if c, ok := m.calls[a.ID]; ok && c.attempts[a.Attempt] != nil {
			m.d.metrics.FirstToken(c.call.Urgency.String(), time.Since(c.began))
			close(c.attempts[a.Attempt].deliver)
		}
	case entry.Complete:
		m.finish(a.ID, nil)
	case entry.Refuse:
		m.d.decisions.add(wire.Decision{Request: m.requestID(a.ID), Event: "refused", Code: int(a.Code), Reason: a.Code.Title()})
		m.finish(a.ID, codes.New(a.Code, "").WithOutcome(a.Outcome).WithRetryAfter(a.RetryAfter))
	case entry.Demand:
		m.d.cells.demand(a)
	case entry.Tell:
		m.d.members.urge() // The heartbeat carries the findings.
	case entry.Wake:
		m.alarm.Set(a.At)
	case entry.Drained:
		if m.idle != nil {
			m.idle()
		}
	}
}

func (m *models) requestID(id uint64) string {
	if c, ok := m.calls[id]; ok {
		return c.call.ID
	}
	return ""
}

func (m *models) finish(id uint64, err error) {
	c, ok := m.calls[id]
	if !ok {
		return
	}
	delete(m.calls, id)
	c.err = err
	close(c.end)
}

// send starts an attempt. A call that has ended meanwhile is reported as cancelled, since the machine counts on an end.
func (m *models) send(s entry.Send) {
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
	m.count(a, 1)
	m.d.decisions.add(wire.Decision{Request: c.call.ID, Event: "sent", Upstream: s.Upstream, Reason: "attempt " + strconv.Itoa(s.Attempt)})
	c.running.Add(1)
	go m.attempt(c, a)
}

func (m *models) count(a *attempt, n int) {
	key := modelUse{m.d.upstreams.cell(a.upstream), a.model}
	x := m.use[key]
	x.all += n
	if spec.Urgency(a.request.Priority) == spec.Urgent {
		x.urgent += n
	}
	m.use[key] = x
	if x.all == 0 {
		// The controller may need the memory of an idle replica at once.
		m.d.cells.use(map[modelUse]useCount{key: {}})
		delete(m.use, key)
	}
}

// attempt runs one request at an engine and reports how it ended.
func (m *models) attempt(c *modelCall, a *attempt) {
	defer c.running.Done()
	defer a.cancel()
	ctx, span := m.d.traces.Start(a.ctx, "engine attempt",
		attribute.String("upstream", a.upstream), attribute.Int("attempt", a.number))
	next, err := m.transfer(ctx, c, a)
	telem.End(span, err)
	result := resultOf(a.ctx, err)
	m.d.metrics.Attempt(result.String())
	m.d.control.Post(func() {
		m.count(a, -1)
		if codes.Is(err, codes.UpstreamRefused) {
			m.d.upstreams.refused(a.upstream)
		}
		m.handle(entry.AttemptEnded{ID: c.id, Attempt: a.number, Result: result, Tokens: next})
	})
}

// transfer passes the tokens of one attempt on and returns the index of the next token that the caller needs.
func (m *models) transfer(ctx context.Context, c *modelCall, a *attempt) (int, error) {
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
		if err := m.pass(c, a, chunk); err != nil || c.check.Ended() {
			return int(c.check.Next()), err
		}
		if chunk, err = s.Next(); err != nil {
			return int(c.check.Next()), err
		}
	}
}

// pass checks a chunk and gives the tokens that the caller does not have yet to it.
func (m *models) pass(c *modelCall, a *attempt, chunk engine.Chunk) error {
	k := stream.Chunk{RequestID: chunk.RequestID, Seq: chunk.Index, Tokens: []string{chunk.Data}}
	if chunk.Done {
		k = stream.Chunk{RequestID: a.request.ID, Seq: c.check.Next(), End: true}
	}
	tokens, err := c.check.Accept(a.number, k)
	if err != nil {
		return err
	}
	for _, data := range tokens {
		if err := c.sink([]byte(strings.Replace(data, a.request.ID, c.call.ID, 1))); err != nil {
			return err
		}
	}
	if next := int(c.check.Next()); len(tokens) > 0 && next%progressEvery == 0 {
		m.d.control.Post(func() { m.handle(entry.Progress{ID: c.id, Attempt: a.number, Tokens: next}) })
	}
	return nil
}

// resultOf classifies the end of an attempt. A cancelled attempt may have run.
func resultOf(ctx context.Context, err error) retry.Result {
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
