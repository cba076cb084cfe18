package intake

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

const (
	// roomWait limits how long a request waits for room; an interrupted connection releases what it holds within milliseconds.
	roomWait = time.Second
	// scanInterval is the time after a search for a connection to interrupt that found none until the next one.
	scanInterval = 20 * time.Millisecond
	// retryAfter is sent to clients that are refused for lack of room.
	retryAfter = time.Second
	// headFactor and lineBytes estimate the memory of a parsed head from its bytes and lines.
	headFactor = 2
	lineBytes  = 96
	// headSlack is the number of bytes that may be read beyond a head: net/http reads a connection in pieces of that size.
	headSlack = 4 << 10
	// defaultHeadBytes limits the head of a request until SetHeadBytes is called.
	defaultHeadBytes = 64 << 10
)

// Reasons of a Refusal.
const (
	Connections = "connections" // too many connections, or no memory for one more
	Stalled     = "stalled"     // made room for others
	Slow        = "slow"        // exceeded a time-out
	Memory      = "memory"      // found no room
	HeadSize    = "headSize"    // the head of the request is too large
)

type (
	// Gate is the account of the clients of one process.
	Gate struct {
		mu        sync.Mutex
		ledger    *ledger.Ledger
		conns     map[*ledger.Account]*Conn
		freed     chan struct{} // closed when room becomes free; nil if nobody waits
		nextScan  time.Time
		leaving   int // number of connections that make room and have not yet released what they hold
		headBytes atomic.Int64
		report    func(Refusal)
		format    func(*codes.Error) Response
	}

	// Conn is the account of one client connection. A nil Conn has no limits.
	Conn struct {
		gate        *Gate
		account     *ledger.Account
		interrupt   func()
		interrupted atomic.Bool
		head        int64 // bytes read of the current head
		leaving     bool  // whether the connection makes room and has not yet released what it holds; guarded by gate.mu
	}

	// Refusal describes a client that was refused or interrupted.
	Refusal struct {
		Reason  string
		Address netip.Addr
		Held    int64 // bytes that its request held
	}
)

// New returns a gate with the limits. The function report is called for each client that is refused or interrupted, and format returns what a client
// gets whose request was refused.
func New(l ledger.Limits, report func(Refusal), format func(*codes.Error) Response) *Gate {
	g := &Gate{ledger: ledger.New(l), conns: make(map[*ledger.Account]*Conn), report: report, format: format}
	g.headBytes.Store(defaultHeadBytes)
	return g
}

// SetHeadBytes sets the limit on the bytes of a head. Zero means the default.
func (g *Gate) SetHeadBytes(n int) {
	if n <= 0 {
		n = defaultHeadBytes
	}
	g.headBytes.Store(int64(n))
}

// HeadBytes returns the limit on the bytes of a head.
func (g *Gate) HeadBytes() int64 { return g.headBytes.Load() }

// Used returns the number of bytes and connections in use.
func (g *Gate) Used() (n int64, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Used(), g.ledger.Connections()
}

// Open returns the account of a new connection, or false if there is no room for it. The function interrupt makes the connection's current read
// fail.
func (g *Gate) Open(address netip.Addr, interrupt func()) (*Conn, bool) {
	now := time.Now()
	g.mu.Lock()
	a, err := g.ledger.Open(address, now)
	var victim *Conn
	if err != nil || g.ledger.Crowded() {
		victim = g.victim(nil, netip.Addr{}, now)
	}
	var c *Conn
	if err == nil {
		c = &Conn{gate: g, account: a, interrupt: interrupt}
		g.conns[a] = c
	}
	g.mu.Unlock()
	if victim != nil {
		victim.stop(Stalled)
	}
	if c == nil {
		g.report(Refusal{Connections, address, 0})
	}
	return c, c != nil
}

// Expire interrupts the connections whose heads take longer than the first time, and those that are idle, or stand still within a body, for
// longer than the second one.
func (g *Gate) Expire(head, idle time.Duration) {
	g.mu.Lock()
	var list []*Conn
	for _, a := range g.ledger.Expired(head, idle, time.Now()) {
		list = append(list, g.conns[a])
	}
	g.mu.Unlock()
	for _, c := range list {
		c.stop(Slow)
	}
}

// victim returns the connection that has to make room for another one, or nil. The lock must be held.
func (g *Gate) victim(other *ledger.Account, address netip.Addr, now time.Time) *Conn {
	if now.Before(g.nextScan) {
		return nil
	}
	a := g.ledger.Victim(other, address, now)
	if a == nil {
		g.nextScan = now.Add(scanInterval)
		return nil
	}
	c := g.conns[a]
	c.leaving = true
	g.leaving++
	return c
}

// released wakes the requests that wait for room after the connection has released some. The lock must be held.
func (g *Gate) released(c *Conn) {
	if c.leaving {
		c.leaving = false
		g.leaving--
	}
	g.wake()
}

// wake lets the requests that wait for room try again. The lock must be held.
func (g *Gate) wake() {
	if g.freed != nil {
		close(g.freed)
		g.freed = nil
	}
}

// awaitFreed returns a channel that is closed when room becomes free. The lock must be held.
func (g *Gate) awaitFreed() <-chan struct{} {
	if g.freed == nil {
		g.freed = make(chan struct{})
	}
	return g.freed
}

// stop makes all reads fail from now on.
func (c *Conn) stop(reason string) {
	held := c.Held() // An interrupted connection may release it at once.
	c.interrupted.Store(true)
	c.interrupt()
	if reason != Slow || held > 0 { // A connection that was idle for its time is no event.
		c.gate.report(Refusal{reason, c.account.Address(), held})
	}
}

// Held returns the number of bytes that the current request and its response hold.
func (c *Conn) Held() int64 {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.account.Held()
}

// Interrupted reports whether nothing more may be read from the connection.
func (c *Conn) Interrupted() bool { return c != nil && c.interrupted.Load() }

// Receive records bytes that were read. It fails if they make the head of a request too large, or there is no room for the head.
func (c *Conn) Receive(b []byte) error {
	if c == nil {
		return nil
	}
	now := time.Now()
	c.gate.mu.Lock()
	c.gate.ledger.Receive(c.account, len(b), now)
	phase := c.account.Phase()
	if phase == ledger.Idle {
		c.gate.ledger.SetPhase(c.account, ledger.Head, now)
		phase = ledger.Head
	}
	c.gate.mu.Unlock()
	if phase != ledger.Head {
		return nil
	}
	if c.head += int64(len(b)); c.head > c.gate.HeadBytes()+headSlack {
		return c.headError()
	}
	return c.Reserve(context.Background(), int64(headFactor*len(b)+lineBytes*bytes.Count(b, []byte("\n"))))
}

func (c *Conn) headError() error {
	c.gate.report(Refusal{HeadSize, c.account.Address(), c.Held()})
	return codes.Newf(codes.HeadTooLarge, "more than %d bytes", c.gate.HeadBytes())
}

// BeginRequest records that the head of a request, of the given size, is complete, and whether a body follows. A body that its handler does not
// read is discarded by net/http, which waits for the client too.
func (c *Conn) BeginRequest(head int64, body bool) error {
	if c == nil {
		return nil
	}
	c.head = 0
	phase := ledger.Serving
	if body {
		phase = ledger.Body
	}
	c.setPhase(phase)
	switch {
	case c.Interrupted():
		return codes.New(codes.TooSlow, "connection made room for others")
	case head > c.gate.HeadBytes():
		return c.headError()
	}
	return nil
}

// EndBody records that the body of a request is complete. It reports false if the connection was interrupted before.
func (c *Conn) EndBody() bool {
	c.setPhase(ledger.Serving)
	return !c.Interrupted()
}

// EndRequest releases what the request and its response hold.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.EndRequest(c.account)
	c.gate.released(c)
}

// SetIdle records that the connection waits for the next request.
func (c *Conn) SetIdle() { c.setPhase(ledger.Idle) }

// Close releases the account.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Close(c.account)
	delete(c.gate.conns, c.account)
	c.gate.released(c)
}

// Refuse makes all reads fail: what remains of a refused request is not read.
func (c *Conn) Refuse() {
	if c != nil {
		c.interrupted.Store(true)
		c.interrupt()
	}
}

func (c *Conn) setPhase(p ledger.Phase) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.SetPhase(c.account, p, time.Now())
}

// Reserve charges bytes of a request before they are held. If there is no room it waits for some, unless a new body would begin and no connection
// makes room, and then fails with an OverMemory error.
func (c *Conn) Reserve(ctx context.Context, n int64) error {
	if c == nil {
		return nil
	}
	freed, err := c.tryReserve(n)
	if err == nil {
		return nil
	}
	c.gate.mu.Lock()
	phase := c.account.Phase()
	c.gate.ledger.SetPhase(c.account, ledger.Serving, time.Now()) // It waits for the gate and not for its client.
	c.gate.mu.Unlock()
	defer c.setPhase(phase)
	ctx, cancel := context.WithTimeout(ctx, roomWait)
	defer cancel()
	for freed != nil {
		select {
		case <-freed:
		case <-time.After(scanInterval):
		case <-ctx.Done():
			return c.refused(err)
		}
		if freed, err = c.tryReserve(n); err == nil {
			return nil
		}
	}
	return c.refused(err)
}

func (c *Conn) refused(err error) error {
	c.gate.report(Refusal{Memory, c.account.Address(), c.Held()})
	return codes.New(codes.OverMemory, err.Error()).WithRetryAfter(retryAfter)
}

// tryReserve charges bytes of a request, or interrupts another connection if there is no room. It returns a channel that is closed when room
// becomes free, or nil if the request should not wait.
func (c *Conn) tryReserve(n int64) (<-chan struct{}, error) {
	g := c.gate
	g.mu.Lock()
	held := c.account.Held()
	err := g.ledger.Reserve(c.account, n)
	if err == nil {
		g.mu.Unlock()
		return nil, nil //nolint:nilnil // no error means that there is nothing to wait for
	}
	address := netip.Addr{}
	if errors.Is(err, ledger.ErrAddress) {
		address = c.account.Address()
	}
	victim := g.victim(c.account, address, time.Now())
	var freed <-chan struct{}
	if begins := !g.ledger.IsSmall(held+n) && g.ledger.IsSmall(held); !begins || g.leaving > 0 {
		freed = g.awaitFreed()
	}
	g.mu.Unlock()
	if victim != nil {
		victim.stop(Stalled)
	}
	return freed, err
}

// ReserveResponse charges bytes of a response before they are held for the client. It reports false if there is no room.
func (c *Conn) ReserveResponse(n int64) bool {
	if c == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.ledger.ReserveResponse(c.account, n) == nil
}

// AwaitResponse charges bytes of a response before they are held for the client, as soon as there is room. It fails if the context ends before.
func (c *Conn) AwaitResponse(ctx context.Context, n int64) error {
	for !c.ReserveResponse(n) {
		c.gate.mu.Lock()
		freed := c.gate.awaitFreed()
		c.gate.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(scanInterval): // Room may have become free before the wait.
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ReleaseResponse releases bytes of a response that are no longer held.
func (c *Conn) ReleaseResponse(n int64) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.ReleaseResponse(c.account, n)
	c.gate.wake()
}
