package node

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// pauseStep is the unit to which a retry time is rounded up, so that no caller returns before the pause has ended.
const pauseStep = 10 * time.Millisecond

// recordSigns records what the upstream of an attempt says about itself.
func (n *Node) recordSigns(t relay.Ticket, s relay.Signs) {
	if s.Pause == 0 && s.Limit == 0 && !(s.Leaving && !t.Attempt.SaidLeaving()) && !(s.Unlimited && t.Attempt.Limited()) {
		return
	}
	now := time.Now()
	n.control.Post(func() {
		p := pick.Process{Upstream: t.Choice.Upstream, Born: t.Choice.Born}
		n.applySigns(now, p, s)
		if s.Unlimited && n.table.RecordUnlimited(now, p, t.Attempt.StartedAt()) {
			n.log("signs").Info("upstream names no limit any more", "event", eventLimitEnded, "upstream", p.Upstream, "born", p.Born)
		}
	})
}

// applySigns applies what an upstream said about itself at the given time.
func (n *Node) applySigns(at time.Time, p pick.Process, s relay.Signs) {
	if s.Pause > 0 {
		n.table.RecordPause(at, p, s.Pause)
		n.placing.Pause(p.Upstream, p.Born, at.Add(s.Pause))
		n.log("signs").Info("upstream wants no requests for a while", "event", eventPause, "upstream", p.Upstream, "born", p.Born,
			"pauseMS", s.Pause.Milliseconds())
	}
	if s.Limit > 0 && n.table.RecordLimit(at, p, s.Limit) {
		n.log("signs").Info("upstream names a limit", "event", eventLimit, "upstream", p.Upstream, "born", p.Born, "perSecond", s.Limit)
	}
	if !s.Leaving || !n.table.RecordLeaving(at, p) {
		return
	}
	n.log("signs").Info("upstream said in an answer that it leaves", "event", eventSaidLeaving, "upstream", p.Upstream, "born", p.Born)
	if u, ok := n.upstreams[p.Upstream]; ok && u.Born == p.Born {
		n.pool.CloseIdle(u.Address)
	}
	n.applyLeaving()
}

// mergeLeaving adds what upstreams said to another host.
func (n *Node) mergeLeaving(now time.Time, from string, list []pick.LeavingSign) {
	if added := n.table.MergeLeaving(now, list); added > 0 {
		n.log("signs").Info("another host reported upstreams that leave", "event", eventLeavingLearned, "from", from, "upstreams", added)
		n.applyLeaving()
	}
}

// applyLeaving applies the list again if it shows an upstream as usable that said that it leaves.
func (n *Node) applyLeaving() {
	if list := maps.Clone(n.upstreams); n.table.MarkLeaving(list) {
		n.applyList(time.Now(), list)
	}
}

// paused returns an error if all upstreams that could serve the request want none for now. Requests for a model of which the pause outlasts
// the caller's patience get no error: the controller may find or load the model elsewhere.
func (n *Node) paused(c *relay.Call) error {
	var err error
	n.control.Ask(func() { _, err = n.checkPause(time.Now(), c) })
	return err
}

// checkPause is paused on the control thread. It also returns the upstream that accepts requests first.
func (n *Node) checkPause(now time.Time, c *relay.Call) (string, error) {
	pause, first, limited := n.table.Pause(now, pick.Query{Service: c.Service, Key: c.Key})
	patience := c.AbandonAt
	if now.After(patience) {
		patience = c.Deadline // The caller has got events and waits for more.
	}
	// A limit may last, so that the model has to be loaded elsewhere.
	if pause == 0 || c.Key.Model != "" && (limited || now.Add(pause).After(patience)) {
		return "", nil
	}
	return first, codes.Newf(codes.UpstreamsPaused, "%s is the first that accepts requests again", first).
		WithRetryAfter(pause.Truncate(pauseStep) + pauseStep)
}

// closedUpstreams returns the IDs of the upstreams of a service that must get no requests of this host because of what they said.
func (n *Node) closedUpstreams(service string) []string {
	var list []string
	n.control.Ask(func() { list = n.table.Closed(time.Now(), service) })
	return list
}

// isClosed reports whether the upstream of the service must get no requests of this host because of what it said.
func (n *Node) isClosed(service, upstream string) bool {
	return slices.Contains(n.closedUpstreams(service), upstream)
}
