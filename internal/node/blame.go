package node

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/blame"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	// trialInterval is the time between two requests that the controller sends as trials of parts that were refused.
	trialInterval = 10 * time.Second
	// endProbeTimeout limits the connection that shows whether an upstream has ended.
	endProbeTimeout = 400 * time.Millisecond
	// unclearTime is how long the list may take to show that an upstream has ended whose test connection did not tell, and maxUnclear the
	// number of attempts that are kept for this.
	unclearTime = 10 * time.Second
	maxUnclear  = 256
	// beginningTime is how long after its first event a response still counts as beginning. It covers the time that a host needs to read
	// what an upstream sent before it ended; a response that went on for longer did not end its upstream as it began.
	beginningTime = 250 * time.Millisecond
	// minHeadLead is the time between head and first event from which the head counts as sent by itself: packets on their way together
	// arrive within a few milliseconds.
	minHeadLead = 20 * time.Millisecond
	// headLeadWeight is the weight of one response in the share of responses with an early head.
	headLeadWeight = 0.1
	// reasonReplaced is the reason of a crash that the list shows.
	reasonReplaced = "another process has its address"
	// reasonAnswered is the reason of a crash that other requests at the upstream show.
	reasonAnswered = "it ended just after the response"
	// endDelay is how long an upstream that ends may take from the close of a connection to that of its listener.
	endDelay = 50 * time.Millisecond
	// confirmTime is how long an upstream must live after an answer for the answer to show that its parts are sound. It covers a test connection
	// and the exchange of evidence between hosts, which follows a crash at once.
	confirmTime = 600 * time.Millisecond
)

// unclearEnd is a broken attempt whose upstream may have ended.
type unclearEnd struct {
	id      string
	choice  pick.Choice
	parts   []uint64
	waiting bool
	at      time.Time
}

// unconfirmedAnswer is a complete answer that ended as soon as it had begun, and whose upstream may have ended just after it.
type unconfirmedAnswer struct {
	choice pick.Choice
	id     string
	parts  []uint64
	at     time.Time
}

// guardedAttempt is an attempt that is cancelled if the parts of its prompt are refused before the response begins.
type guardedAttempt struct {
	parts  []uint64
	cancel context.CancelCauseFunc
}

// recordBroken records an attempt whose connection ended before its response did. It reports whether the request may be sent to another
// upstream: one that was beginning to be answered may have ended its upstream, unless its parts are known to be harmless. What arrived of
// the response does not tell whether it had begun, because an upstream may end before any of it gets out. Only where heads usually
// arrive before the first events, a request without a head was probably waiting.
func (n *Node) recordBroken(c *relay.Call, t relay.Ticket, p relay.Progress) bool {
	n.log("request").Info("connection ended before the response", "event", eventBroken, "id", c.ID, "upstream", t.Choice.Upstream,
		"born", t.Choice.Born, "head", p.Head, "events", p.Events, "streaming", p.Streaming, "parts", partNames(c.Parts), "digest", digestName(c.Digest))
	if p.Streaming > beginningTime || len(c.Parts) == 0 {
		return true
	}
	waiting, known := false, false
	n.control.Ask(func() {
		waiting = !p.Head && n.earlyHeads[c.Service] > 0.5
		known = n.blame.Known(time.Now(), c.Parts)
	})
	if waiting || known {
		n.background(func(ctx context.Context) { n.probeEnd(ctx, c, t, waiting) })
		return true
	}
	return !n.probeEnd(n.baseCtx, c, t, false)
}

// probeEnd records a crash if the upstream refuses connections, and reports whether it does. Otherwise the connection broke, this host is cut
// off, or the upstream is back already or does not answer any more; the list may tell later. A waiting request had probably not begun.
func (n *Node) probeEnd(ctx context.Context, c *relay.Call, t relay.Ticket, waiting bool) bool {
	err := probeUpstream(ctx, t.Choice.Address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.control.Post(func() {
		e := unclearEnd{c.ID, t.Choice, c.Parts, waiting, time.Now()}
		switch {
		case refused:
			n.recordCrash(e, err.Error())
		case n.replaced(e.choice):
			n.recordCrash(e, reasonReplaced)
		case len(n.unclear) < maxUnclear:
			n.unclear = append(n.unclear, e)
		}
	})
	return refused
}

// probeUpstream opens a connection, to see whether that is possible.
func probeUpstream(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: endProbeTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // Nothing was sent on it.
	}
	return err
}

// recordCrash records that the upstream of the attempt has ended.
func (n *Node) recordCrash(e unclearEnd, reason string) {
	now := time.Now()
	if !n.blame.RecordCrash(now, e.choice.Upstream, e.choice.Born, e.parts, e.waiting) {
		return
	}
	n.log("blame").Warn("upstream ended as it began to answer", "event", eventCrash, "id", e.id, "upstream", e.choice.Upstream,
		"born", e.choice.Born, "parts", partNames(e.parts), "waiting", e.waiting, "crashes", n.blame.CrashCount(), "reason", reason)
	n.applyConvictions(now)
	n.requestHeartbeat()
}

// replaced reports whether the list has another process at the address of the upstream.
func (n *Node) replaced(c pick.Choice) bool {
	if u, ok := n.upstreams[c.Upstream]; ok {
		return u.Born > c.Born
	}
	for _, u := range n.upstreams {
		if u.Address == c.Address && u.Born > c.Born {
			return true
		}
	}
	return false
}

// resolveUnclear records the crashes that the list shows, and drops what it has not shown in time.
func (n *Node) resolveUnclear(now time.Time) {
	n.unclear = slices.DeleteFunc(n.unclear, func(e unclearEnd) bool {
		if now.Sub(e.at) <= unclearTime && n.replaced(e.choice) {
			n.recordCrash(e, reasonReplaced)
			return true
		}
		return now.Sub(e.at) > unclearTime
	})
}

// recordSound records a complete response. A brief one shows that the parts are sound only if the upstream has not ended just after it.
func (n *Node) recordSound(c *relay.Call, t relay.Ticket, p relay.Completion) {
	if len(c.Parts) == 0 {
		return
	}
	brief := p.Streaming <= beginningTime
	if brief && p.CloseDelimited {
		// The end of such a response looks like that of its upstream.
		n.background(func(ctx context.Context) {
			if !sleep(ctx, endDelay) {
				return
			}
			if err := probeUpstream(ctx, t.Choice.Address); errors.Is(err, syscall.ECONNREFUSED) {
				n.control.Post(func() { n.recordCrash(unclearEnd{id: c.ID, choice: t.Choice, parts: c.Parts}, err.Error()) })
			}
		})
	}
	n.control.Post(func() {
		if brief {
			n.answers = append(n.answers, unconfirmedAnswer{t.Choice, c.ID, c.Parts, time.Now()})
		} else {
			n.blame.RecordSound(time.Now(), c.Parts)
		}
		early := 0.0
		if p.HeadLead >= minHeadLead {
			early = 1
		}
		n.earlyHeads[c.Service] += headLeadWeight * (early - n.earlyHeads[c.Service])
	})
}

// confirmAnswers records the brief answers whose upstreams have not ended within confirmTime. An upstream that ended just after one may have
// ended because of it.
func (n *Node) confirmAnswers(now time.Time) {
	i := 0
	for ; i < len(n.answers) && now.Sub(n.answers[i].at) >= confirmTime; i++ {
		a := n.answers[i]
		if n.blame.Ended(a.choice.Upstream, a.choice.Born) || n.replaced(a.choice) {
			n.recordCrash(unclearEnd{id: a.id, choice: a.choice, parts: a.parts, at: a.at}, reasonAnswered)
		} else {
			n.blame.RecordSound(a.at, a.parts)
		}
	}
	n.answers = slices.Delete(n.answers, 0, i)
}

// guard cancels the attempt if the parts of its prompt are refused before release is called.
func (n *Node) guard(c *relay.Call, cancel context.CancelCauseFunc) (release func()) {
	if len(c.Parts) == 0 {
		return func() {}
	}
	g := &guardedAttempt{c.Parts, cancel}
	n.control.Post(func() { n.guarded[g] = true })
	return func() { n.control.Post(func() { delete(n.guarded, g) }) }
}

// applyConvictions logs new convictions and cancels the attempts whose parts are refused now: upstreams that drop them are not ended by them.
func (n *Node) applyConvictions(now time.Time) {
	convicted := make(map[string]int)
	for _, v := range n.blame.Convictions() {
		name := partNames(v.Parts)
		if convicted[name] = v.Crashes; n.convicted[name] != v.Crashes {
			n.log("blame").Warn("requests with all of these parts are refused", "event", eventConvicted, "parts", name, "crashes", v.Crashes,
				"toldApart", v.ToldApart, "refusedS", v.Until.Sub(now).Seconds(), "known", n.blame.CrashCount())
		}
	}
	n.convicted = convicted
	for g := range n.guarded {
		if n.blame.Judge(now, g.parts).Refuse {
			g.cancel(relay.ErrPartsRefused)
			delete(n.guarded, g)
		}
	}
}

// checkParts returns an error if requests with these parts of the prompt crash upstreams. After a while the controller sends one as a
// trial; all other hosts refuse them until it was answered.
func (n *Node) checkParts(now time.Time, parts []uint64) error {
	v := n.blame.Judge(now, parts)
	if v.Trial && n.term != 0 && now.Sub(n.lastTrial) > trialInterval {
		n.lastTrial = now
		n.log("blame").Info("trial of parts that crashed upstreams", "event", eventTrial, "parts", partNames(parts), "crashes", v.Crashes)
		return nil
	}
	if !v.Refuse && !v.Trial {
		return nil
	}
	return codes.Newf(codes.CrashingPart, "%d upstreams ended as they began to answer requests with these parts: %s", v.Crashes, partNames(parts)).
		WithRetryAfter(max(v.Retry, trialInterval))
}

// mergeEvidence adds the evidence of another host.
func (n *Node) mergeEvidence(now time.Time, from string, e blame.Evidence) {
	if n.blame.Merge(now, e) {
		n.log("blame").Info("crashes learned from another host", "event", eventCrashLearned, "from", from, "crashes", n.blame.CrashCount())
		n.applyConvictions(now)
		n.requestHeartbeat()
	}
}

// digestName returns the digest of a request as it appears in logs.
func digestName(digest uint64) string { return strconv.FormatUint(digest, 16) }

// partNames returns the parts of a prompt as they appear in logs.
func partNames(parts []uint64) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = strconv.FormatUint(p, 16)
	}
	return strings.Join(names, " ")
}
