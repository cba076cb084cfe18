package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

const (
	// eventClientRefused is the event of a client or a peer that was refused or interrupted because of a limit.
	eventClientRefused = 207
	// expiryInterval is the time between two searches for connections that exceeded a time-out.
	expiryInterval = 500 * time.Millisecond
)

// newGate returns the account of what callers and operators occupy.
func (d *Daemon) newGate() *intake.Gate {
	refusals := d.logger.Limited().For("daemon")
	return intake.New(ledger.LimitsFor(d.settings.Limits.MemoryBytes(), intake.MaxFiles()), func(r intake.Refusal) {
		d.metrics.ClientRefused(r.Reason)
		refusals.Warn("client refused", "event", eventClientRefused, "reason", r.Reason, "address", r.Address.String(), "bytes", r.Held)
	}, front.RefusalResponse)
}

// peerLimits returns the limits on what other daemons occupy.
func (d *Daemon) peerLimits() peers.Limits {
	l := peers.LimitsFor(d.settings.Limits.MemoryBytes(), intake.MaxFiles())
	refusals := d.logger.Limited().For("daemon")
	l.Report = func(reason string, address net.Addr) {
		d.metrics.ClientRefused(reason)
		refusals.Warn("peer refused", "event", eventClientRefused, "reason", reason, "address", address.String())
	}
	return l
}

// SetCollectorLimit sets the soft memory limit of the Go runtime, if the settings state the memory of the process.
func (d *Daemon) SetCollectorLimit() {
	if d.settings.Limits.Memory.IsSet() {
		debug.SetMemoryLimit(ledger.CollectorLimit(d.settings.Limits.MemoryBytes()))
	}
}

// listenHTTP listens for callers or operators.
func (d *Daemon) listenHTTP(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return conns.Buffers(c, ledger.SocketBytes, ledger.ResponseBytes)
	}}
	l, err := lc.Listen(d.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return intake.Listener{Listener: l, Gate: d.gate}, nil
}

// expireClients ends connections of callers and operators that exceed a time-out.
func (d *Daemon) expireClients(ctx context.Context) error {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.gate.Expire(d.settings.Limits.HeaderTimeout.Value()+expiryInterval, front.IdleTimeout)
			bytes, clients := d.gate.Used()
			d.metrics.SetHostView("clientBytes", float64(bytes))
			d.metrics.SetHostView("clientConnections", float64(clients))
		case <-ctx.Done():
			return nil
		}
	}
}
