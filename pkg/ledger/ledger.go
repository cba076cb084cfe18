package ledger

import (
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Phases of a connection.
const (
	Idle    Phase = iota // no request has begun
	Head                 // the head of a request is being read
	Body                 // the body of a request is being read
	Serving              // the request is complete and being served
)

const (
	// progressTime is the time after which received bytes count for 1/e of their number as progress.
	progressTime = time.Second
	// minScore is the least score of an account that has to make room: that of one which received nothing for progressTime.
	minScore = math.E
	// SocketBytes is the size of the kernel's buffers of a connection in the direction of requests. At a round trip of 6 ms it lets at least 2.7 MB pass
	// in a second, so that a body of 4 MB takes 1.5 s.
	SocketBytes = 16 << 10
	// ResponseBytes is the same in the direction of responses, of which a caller that does not read leaves one buffer full on each side.
	ResponseBytes = 8 << 10
	// processBytes is what a connection costs in the process: buffers, goroutines and a connection to an upstream.
	processBytes = 16 << 10

	// clientShare is the share of a process's memory for what clients send and what is held for them. gcShare is the soft limit of the Go
	// runtime, close to which the garbage collector works harder; it leaves room for garbage beside the clients' share, and at least
	// programBytes for the pages of the program and socketShare for what the kernel holds of connections, which are not the runtime's.
	clientShare  = 0.25
	gcShare      = 0.7
	socketShare  = clientShare / 2
	programBytes = 26 << 20
	// connectionShare is the share of the descriptors for clients' connections; each request needs one to an upstream too. reservedFiles are
	// left out, or a quarter of the descriptors if there are few.
	connectionShare = 0.6
	reservedFiles   = 200
)

// Errors of Open and Reserve.
var (
	ErrConnections = errors.New("too many connections")
	ErrShort       = errors.New("too little memory is free")
	ErrAddress     = errors.New("client address holds too much memory")
)

type (
	// Phase is what a connection is doing.
	Phase int

	// Limits bound what clients may occupy.
	Limits struct {
		Total       int64 // bytes of all accounts
		Reserved    int64 // part of Total that only small requests may use
		Small       int64 // size up to which a request is small
		Begin       int64 // bytes in use above which no request may grow beyond Small
		Address     int64 // bytes of one client address, small requests excepted
		Connections int   // number of accounts
		Connection  int64 // bytes that each connection costs
	}

	// Ledger holds the accounts of all connections.
	Ledger struct {
		limits    Limits
		used      int64
		accounts  map[*Account]bool
		addresses map[netip.Addr]int64
	}

	// Account is the account of one connection.
	Account struct {
		address  netip.Addr
		phase    Phase
		since    time.Time // start of the phase
		last     time.Time // when bytes were last received
		request  int64     // bytes held for the current request
		response int64     // bytes held for the current response
		progress float64   // decayed number of received bytes, as of measured
		measured time.Time
		evicted  bool
	}
)

// NewLimits returns limits that follow from a budget of bytes and a number of connections, which is lowered if they would take more than three
// quarters of the budget.
func NewLimits(budget int64, connections int) Limits {
	bodies := budget - budget/8
	l := Limits{
		Total: budget, Reserved: budget / 8, Small: 16 << 10, Begin: bodies - bodies/4, Address: bodies - bodies/4,
		Connection: processBytes + SocketBytes,
	}
	l.Connections = max(1, min(connections, int((budget-budget/4)/l.Connection)))
	return l
}

// LimitsFor returns limits that follow from the memory, in bytes, and the descriptors of a process.
func LimitsFor(memory int64, files int) Limits {
	connections := connectionShare * float64(files-min(reservedFiles, files/4))
	return NewLimits(int64(clientShare*float64(memory)), max(1, int(connections)))
}

// CollectorLimit returns the soft memory limit of the Go runtime for a process with the given memory, in bytes. It is zero if that is.
func CollectorLimit(memory int64) int64 {
	m := float64(memory)
	return int64(max(min(m*gcShare, m*(1-socketShare)-programBytes), m/2))
}

// New returns an empty ledger.
func New(l Limits) *Ledger {
	return &Ledger{limits: l, accounts: make(map[*Account]bool), addresses: make(map[netip.Addr]int64)}
}

// Used returns the number of bytes in use.
func (l *Ledger) Used() int64 { return l.used }

// Connections returns the number of open accounts.
func (l *Ledger) Connections() int { return len(l.accounts) }

// Crowded reports whether so many connections are open that one has to make room for the next.
func (l *Ledger) Crowded() bool {
	return len(l.accounts) >= l.limits.Connections-l.limits.Connections/8
}

// IsSmall reports whether a request that holds n bytes may use the reserve.
func (l *Ledger) IsSmall(n int64) bool { return n <= l.limits.Small }

// Open returns the account of a new connection.
func (l *Ledger) Open(address netip.Addr, now time.Time) (*Account, error) {
	if len(l.accounts) >= l.limits.Connections {
		return nil, ErrConnections
	}
	if l.used+l.limits.Connection > l.limits.Total {
		return nil, ErrShort
	}
	a := &Account{address: address, phase: Head, since: now, last: now, progress: float64(l.limits.Connection), measured: now}
	l.accounts[a] = true
	l.add(a, l.limits.Connection)
	return a, nil
}

// Close releases everything that the account holds.
func (l *Ledger) Close(a *Account) {
	if !l.accounts[a] {
		return
	}
	l.EndRequest(a)
	l.add(a, -l.limits.Connection)
	delete(l.accounts, a)
}

// Reserve charges bytes of a request before they are read. The first bytes of a request may use the reserve.
func (l *Ledger) Reserve(a *Account, n int64) error {
	limit := l.limits.Total
	switch {
	case a.request+n <= l.limits.Small:
	case l.addresses[a.address]+n > l.limits.Address:
		return ErrAddress
	case a.request <= l.limits.Small:
		limit = l.limits.Begin
	default:
		limit -= l.limits.Reserved
	}
	if l.used+n > limit {
		return ErrShort
	}
	a.request += n
	l.add(a, n)
	return nil
}

// ReserveResponse charges bytes of a response that is held for a client.
func (l *Ledger) ReserveResponse(a *Account, n int64) error {
	if l.used+n > l.limits.Total-l.limits.Reserved {
		return ErrShort
	}
	a.response += n
	l.add(a, n)
	return nil
}

// ReleaseResponse releases bytes of the current response.
func (l *Ledger) ReleaseResponse(a *Account, n int64) {
	n = min(n, a.response)
	a.response -= n
	l.add(a, -n)
}

// EndRequest releases what the current request and its response hold.
func (l *Ledger) EndRequest(a *Account) {
	l.add(a, -a.request-a.response)
	a.request, a.response = 0, 0
}

// Receive records received bytes.
func (l *Ledger) Receive(a *Account, n int, now time.Time) {
	a.progress = a.progressAt(now) + float64(n)
	a.measured, a.last = now, now
}

// SetPhase records what the connection does from now on.
func (l *Ledger) SetPhase(a *Account, p Phase, now time.Time) { a.phase, a.since = p, now }

// Victim returns the account that has to make room for another one, which may be nil: the account that holds most in proportion to its recent
// progress, if it waits for its client and has stalled. If the address is valid, only accounts of that address have to. It marks the account as
// evicted, and returns nil if there is none.
func (l *Ledger) Victim(other *Account, address netip.Addr, now time.Time) *Account {
	var victim *Account
	best := minScore
	for a := range l.accounts {
		if a == other || a.evicted || a.phase == Serving || address.IsValid() && a.address != address {
			continue
		}
		if score := float64(l.limits.Connection+a.request) / (1 + a.progressAt(now)); score > best {
			victim, best = a, score
		}
	}
	if victim != nil {
		victim.evicted = true
	}
	return victim
}

// Expired marks as evicted and returns the accounts whose heads have taken longer than the first time, and those that have been idle, or
// have received nothing of a body, for longer than the second one.
func (l *Ledger) Expired(head, idle time.Duration, now time.Time) []*Account {
	var list []*Account
	for a := range l.accounts {
		late := false
		switch a.phase {
		case Head:
			late = now.Sub(a.since) > head
		case Idle, Body:
			late = now.Sub(a.last) > idle && now.Sub(a.since) > idle
		}
		if late && !a.evicted {
			a.evicted = true
			list = append(list, a)
		}
	}
	return list
}

// Phase returns what the connection is doing.
func (a *Account) Phase() Phase { return a.phase }

// Address returns the address of the client.
func (a *Account) Address() netip.Addr { return a.address }

// Held returns the number of bytes held for the current request and its response.
func (a *Account) Held() int64 { return a.request + a.response }

func (a *Account) progressAt(now time.Time) float64 {
	return a.progress * math.Exp(-now.Sub(a.measured).Seconds()/progressTime.Seconds())
}

// add changes the bytes in use of the account's address and of all.
func (l *Ledger) add(a *Account, n int64) {
	l.used += n
	if l.addresses[a.address] += n; l.addresses[a.address] == 0 {
		delete(l.addresses, a.address)
	}
}
