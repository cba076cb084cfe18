package scene

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// initialDataRetransmit and initialConnectRetransmit are Linux's initial timeouts before it retransmits data or a connection
	// request; each further timeout is twice as long.
	initialDataRetransmit    = 200 * time.Millisecond
	initialConnectRetransmit = time.Second
	// listenTimeout limits how long the start of a daemon waits for the listener of its earlier process to be closed.
	listenTimeout = 2 * time.Second
)

type (
	// links simulates the network between the daemons of one scenario. A cut link loses all packets: no connection is reset or
	// refused, and after the link is healed, data arrives when the sender's TCP would retransmit it.
	links struct {
		mu       sync.Mutex
		blocked  map[[2]string]bool // cut directions, from one daemon to another
		nameByIP map[string]string  // names of the daemons by IP address
		closed   chan struct{}
	}

	// relay forwards the connections to the advertised address of one daemon.
	relay struct {
		links    *links
		name     string
		address  string
		target   string
		listener net.Listener
	}
)

func newLinks() *links {
	return &links{blocked: make(map[[2]string]bool), nameByIP: make(map[string]string), closed: make(chan struct{})}
}

// listen starts the relay. Its listener is closed when the daemon exits, since peers take a refused connection as proof of that.
func (r *relay) listen() error {
	var l net.Listener
	// A process that another scenario is just starting has a copy of the listener of before until its exec has closed it.
	if err := await(listenTimeout, func() (err error) {
		l, err = net.Listen("tcp", r.address)
		return err
	}); err != nil {
		return err
	}
	ip, _, err := net.SplitHostPort(r.target)
	if err != nil {
		return err
	}
	r.links.mu.Lock()
	r.links.nameByIP[ip] = r.name
	r.links.mu.Unlock()
	r.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

// serve forwards one connection. Each daemon of a scenario has an IP address of its own, which identifies the sender.
func (r *relay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	r.links.mu.Lock()
	from := r.links.nameByIP[ip]
	r.links.mu.Unlock()
	if from == "" {
		return
	}
	// Opening a connection takes packets in both directions.
	if !r.links.waitOpen(initialConnectRetransmit, [2]string{from, r.name}, [2]string{r.name, from}) {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	var copies sync.WaitGroup
	copies.Go(func() { r.links.copy(server, client, [2]string{from, r.name}) })
	copies.Go(func() { r.links.copy(client, server, [2]string{r.name, from}) })
	copies.Wait()
}

// copy forwards the data of one direction. The end of the connection is forwarded like data, only while the link is open.
func (l *links) copy(to, from net.Conn, direction [2]string) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.waitOpen(initialDataRetransmit, direction) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// waitOpen waits until all directions are open at a time at which TCP would retransmit. It returns false when the scenario ends.
func (l *links) waitOpen(wait time.Duration, directions ...[2]string) bool {
	for ; l.anyBlocked(directions); wait *= 2 {
		select {
		case <-time.After(wait):
		case <-l.closed:
			return false
		}
	}
	return true
}

func (l *links) anyBlocked(directions [][2]string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		if l.blocked[d] {
			return true
		}
	}
	return false
}

// cut A B cuts the links between two daemons, or between all daemons of two data centres; with way=one only in the direction from
// A to B. "others" stands for all daemons.
func (sc *scenario) cut(a args) error {
	from, to := sc.daemonsIn(a.positional[0]), sc.daemonsIn(a.positional[1])
	if sc.links == nil || len(from) == 0 || len(to) == 0 {
		return fmt.Errorf("no relayed links between %s and %s", a.positional[0], a.positional[1])
	}
	sc.links.mu.Lock()
	defer sc.links.mu.Unlock()
	for _, x := range from {
		for _, y := range to {
			sc.links.blocked[[2]string{x, y}] = true
			sc.links.blocked[[2]string{y, x}] = sc.links.blocked[[2]string{y, x}] || a.named["way"] != "one"
		}
	}
	return nil
}

// heal restores all links.
func (sc *scenario) heal(args) error {
	sc.links.mu.Lock()
	defer sc.links.mu.Unlock()
	clear(sc.links.blocked)
	return nil
}

// daemonsIn returns the daemon or the daemons of the data centre with the name, or all daemons for "others".
func (sc *scenario) daemonsIn(name string) []string {
	var found []string
	for i, h := range sc.processNames("host") {
		if h == name || name == "others" || sc.dataCentres[i%len(sc.dataCentres)] == name {
			found = append(found, h)
		}
	}
	return found
}
