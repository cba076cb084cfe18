package node

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

const (
	bytesPerMB = 1 << 20
	// defaultClientMemory is the memory from which the clients' share follows on a host without memory limit.
	defaultClientMemory = 1 << 30
	// expiryTicks is the number of ticks between two searches for connections that exceeded a time-out.
	expiryTicks = 5
	// headerSlack is added to the configured time for a head: the host may read it late.
	headerSlack = time.Second
)

// GCLimit returns the soft memory limit of the Go runtime for the host, or zero if there is none.
func (h HostSettings) GCLimit() int64 { return ledger.CollectorLimit(int64(h.MemoryMB * bytesPerMB)) }

// bounds returns the memory, in bytes, and the descriptors from which the limits on clients and peers follow.
func (h HostSettings) bounds() (memory int64, files int) {
	memory, files = int64(h.MemoryMB*bytesPerMB), h.MaxFiles
	if memory <= 0 {
		memory = defaultClientMemory
	}
	if files == 0 {
		files = intake.MaxFiles()
	}
	return memory, files
}

// peerLimits returns the limits on what other hosts may occupy.
func (n *Node) peerLimits() peers.Limits {
	l := peers.LimitsFor(n.settings.Host.bounds())
	l.Report = func(reason string, address net.Addr) {
		n.reportRefusal(intake.Refusal{Reason: reason, Address: intake.AddressOf(address)})
	}
	return l
}

// reportRefusal logs and counts a client that was refused or interrupted.
func (n *Node) reportRefusal(r intake.Refusal) {
	n.metrics.ClientRefused(r.Reason)
	n.log("node").Warn("client refused", "event", eventClientRefused, "reason", r.Reason, "address", r.Address.String(), "bytes", r.Held)
}

// expireClients ends connections that exceed the time-outs of the configuration.
func (n *Node) expireClients() {
	head, idle := headerTimeout, idleTimeout
	if c := n.config.Load(); c != nil {
		if l := c.Limits(); l.HeaderTimeout > 0 {
			head = l.HeaderTimeout
		}
		if l := c.Limits(); l.IdleTimeout > 0 {
			idle = l.IdleTimeout
		}
	}
	n.gate.Expire(head+headerSlack, idle)
}

// refusalResponse returns what a client gets whose request was refused before the relay got it.
func refusalResponse(e *codes.Error) intake.Response {
	r := intake.Response{
		ContentType: "application/json",
		Body:        fmt.Sprintf("{\"code\":%d,\"title\":%q,\"outcome\":%q}\n", e.Code(), e.Code().Title(), e.Outcome()),
	}
	if e.RetryAfter() > 0 {
		r.RetryAfter = strconv.FormatFloat(e.RetryAfter().Seconds(), 'f', 2, 64)
	}
	return r
}
