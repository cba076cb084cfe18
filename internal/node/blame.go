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
	digest  uint64
	waiting bool
	at      time.Time
}

// unconfirmedAnswer is a complete answer that ended as soon as it had begun, and whose upstream may have ended just after it.
type unconfirmedAnswer struct {
	choice pick.Choice
	id     string
	parts  []uint64
	digest uint64 // zero if the answer was whole, which shows that the request did not crash the upstream
	at     time.Time
}

// guardedAttempt is an attempt that is cancelled if its parts are refused before the response begins.
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
	if p.Streaming > beginningTime {
		return true
	}
	waiting, known, suspected := false, false, false
	n.control.Ask(func() {
		waiting = !p.Head && n.earlyHeads[c.Service] > 0.5
		known = n.blame.Known(time.Now(), c.Parts)
		suspected = n.repeats.Suspected(c.Digest)
	})
	if (waiting || known) && !suspected {
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
		e := unclearEnd{c.ID, t.Choice, c.Parts, c.Digest, waiting, time.Now()}
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

// recordCrash records that the upstream of the attempt has ended, unless no part and no digest is suspected.
func (n *Node) recordCrash(e unclearEnd, reason string) {
	now := time.Now()
	isNew := n.blame.RecordCrash(now, e.choice.Upstream, e.choice.Born, e.parts, e.waiting)
	// Whether a request was probably waiting matters little for its digest, which only its repeats share.
	if e.digest != 0 && n.repeats.RecordCrash(now, e.choice.Upstream, e.choice.Born, []uint64{e.digest}, false) {
		isNew = true
	}
	if !isNew {
		return
	}
	n.suspicious.Store(true)
	n.log("blame").Warn("upstream ended as it began to answer", "event", eventCrash, "id", e.id, "upstream", e.choice.Upstream, "born", e.choice.Born,
		"parts", partNames(e.parts), "digest", digestName(e.digest), "waiting", e.waiting, "crashes", n.blame.CrashCount(), "reason", reason)
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
	brief := p.Streaming <= beginningTime
	if brief && p.CloseDelimited {
		// The end of such a response looks like that of its upstream.
		n.background(func(ctx context.Context) {
			if !sleep(ctx, endDelay) {
				return
			}
			if err := probeUpstream(ctx, t.Choice.Address); errors.Is(err, syscall.ECONNREFUSED) {
				n.control.Post(func() {
					n.recordCrash(unclearEnd{id: c.ID, choice: t.Choice, parts: c.Parts, digest: c.Digest}, err.Error())
				})
			}
		})
	}
	n.control.Post(func() {
		now, unconfirmed := time.Now(), uint64(0)
		if brief && p.CloseDelimited {
			unconfirmed = c.Digest
		} else { // A request that crashes upstreams gets no whole answer.
			n.repeats.RecordSound(now, []uint64{c.Digest})
		}
		switch {
		case brief && (len(c.Parts) > 0 || unconfirmed != 0):
			n.answers = append(n.answers, unconfirmedAnswer{t.Choice, c.ID, c.Parts, unconfirmed, now})
		case !brief:
			n.blame.RecordSound(now, c.Parts)
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
		e := unclearEnd{id: a.id, choice: a.choice, at: a.at}
		replaced := n.replaced(a.choice)
		if replaced || n.blame.Ended(a.choice.Upstream, a.choice.Born) {
			e.parts = a.parts
		} else {
			n.blame.RecordSound(a.at, a.parts)
		}
		switch {
		case a.digest == 0:
		case replaced || n.repeats.Ended(a.choice.Upstream, a.choice.Born):
			e.digest = a.digest
		default:
			n.repeats.RecordSound(a.at, []uint64{a.digest})
		}
		n.recordCrash(e, reasonAnswered)
	}
	n.answers = slices.Delete(n.answers, 0, i)
}

// guard cancels the attempt if the parts of its prompt, or repeats of its request, are refused before release is called.
func (n *Node) guard(c *relay.Call, cancel context.CancelCauseFunc) (release func()) {
	suspicious := n.suspicious.Load()
	if len(c.Parts) == 0 && !suspicious {
		return func() {}
	}
	g, repeat := &guardedAttempt{c.Parts, cancel}, &guardedAttempt{[]uint64{c.Digest}, cancel}
	n.control.Post(func() {
		if len(c.Parts) > 0 {
			n.guarded[g] = true
		}
		if suspicious {
			n.guardedRepeats[repeat] = true
		}
	})
	return func() {
		n.control.Post(func() {
			delete(n.guarded, g)
			delete(n.guardedRepeats, repeat)
		})
	}
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
	for _, v := range n.repeats.Convictions() {
		name := partNames(v.Parts)
		if convicted[name] = v.Crashes; n.convicted[name] != v.Crashes {
			n.log("blame").Warn("repeats of a request are refused", "event", eventRepeatRefused, "digest", name, "crashes", v.Crashes,
				"refusedS", v.Until.Sub(now).Seconds(), "known", n.repeats.CrashCount())
		}
	}
	n.convicted = convicted
	cancelRefused(now, n.blame, n.guarded)
	cancelRefused(now, n.repeats, n.guardedRepeats)
}

// cancelRefused cancels and removes the attempts whose parts the ledger refuses.
func cancelRefused(now time.Time, l *blame.Ledger, guarded map[*guardedAttempt]bool) {
	for g := range guarded {
		if l.Judge(now, g.parts).Refuse {
			g.cancel(relay.ErrPartsRefused)
			delete(guarded, g)
		}
	}
}

// checkParts returns an error if requests with these parts of the prompt crash upstreams.
func (n *Node) checkParts(now time.Time, parts []uint64) error {
	v := n.blame.Judge(now, parts)
	if n.permits(now, v, parts) {
		return nil
	}
	return codes.Newf(codes.CrashingPart, "%d upstreams ended as they began to answer requests with these parts: %s", v.Crashes, partNames(parts)).
		WithRetryAfter(max(v.Retry, trialInterval))
}

// checkRepeat returns an error if the request with the digest crashes upstreams.
func (n *Node) checkRepeat(now time.Time, digest uint64) error {
	v := n.repeats.Judge(now, []uint64{digest})
	if n.permits(now, v, []uint64{digest}) {
		return nil
	}
	return codes.Newf(codes.CrashingRequest, "%d upstreams ended as they began to run request %s", v.Crashes, digestName(digest)).
		WithRetryAfter(max(v.Retry, trialInterval))
}

// permits reports whether a request with the verdict may be sent. After a while the controller sends one that is refused as a trial; all other
// hosts refuse such requests until it was answered.
func (n *Node) permits(now time.Time, v blame.Verdict, parts []uint64) bool {
	if v.Trial && n.term != 0 && now.Sub(n.lastTrial) > trialInterval {
		n.lastTrial = now
		n.log("blame").Info("trial of what crashed upstreams", "event", eventTrial, "parts", partNames(parts), "crashes", v.Crashes)
		return true
	}
	return !v.Refuse && !v.Trial
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

// mergeRepeats adds the evidence of another host about requests that crash upstreams.
func (n *Node) mergeRepeats(now time.Time, from string, e blame.Evidence) {
	if n.repeats.Merge(now, e) {
		n.suspicious.Store(true)
		n.log("blame").Info("crashes learned from another host", "event", eventCrashLearned, "from", from, "crashes", n.repeats.CrashCount())
		n.applyConvictions(now)
		n.requestHeartbeat()
	}
}

// partNames returns the parts of a prompt as they appear in logs.
func partNames(parts []uint64) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = strconv.FormatUint(p, 16)
	}
	return strings.Join(names, " ")
}
