package scene

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// The first waits of Linux before it sends lost data or a lost connection request again; each further one is twice as long.
	firstResend  = 200 * time.Millisecond
	firstConnect = time.Second
)

type (
	// links is the network between the daemons of one scenario. A cut link loses everything: nothing is reset or refused, and
	// after it is healed, lost data arrives when the sender's TCP would send it again.
	links struct {
		mu    sync.Mutex
		lost  map[[2]string]bool // The directions, from one daemon to another, that are cut.
		names map[string]string  // The daemons by IP number.
		ended chan struct{}
	}

	// relay accepts the connections to one daemon at its advertised address.
	relay struct {
		links    *links
		name     string
		address  string
		target   string
		listener net.Listener
	}
)

func newLinks() *links {
	return &links{lost: make(map[[2]string]bool), names: make(map[string]string), ended: make(chan struct{})}
}

// listen starts the relay; it is stopped when the daemon ends, since others take a refused connection for a proof of that.
func (r *relay) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	ip, _, err := net.SplitHostPort(r.target)
	if err != nil {
		return err
	}
	r.links.mu.Lock()
	r.links.names[ip] = r.name
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

// serve passes one connection on. The sender is known by its IP number, as each daemon of a scenario has its own.
func (r *relay) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	ip, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	r.links.mu.Lock()
	from := r.links.names[ip]
	r.links.mu.Unlock()
	if from == "" {
		return
	}
	// Opening a connection takes packets in both directions.
	if !r.links.pass(firstConnect, [2]string{from, r.name}, [2]string{r.name, from}) {
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	var both sync.WaitGroup
	both.Go(func() { r.links.copy(far, near, [2]string{from, r.name}) })
	both.Go(func() { r.links.copy(near, far, [2]string{r.name, from}) })
	both.Wait()
}

// copy passes the bytes of one direction on, and the end of the connection like a byte.
func (l *links) copy(to, from net.Conn, way [2]string) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.pass(firstResend, way) {
			return
		}
		if _, bad := to.Write(buffer[:n]); bad != nil || err != nil {
			return
		}
	}
}

// pass waits until the ways are open at a moment at which TCP sends again; it returns false when the scenario has ended.
func (l *links) pass(wait time.Duration, ways ...[2]string) bool {
	for ; l.cutAny(ways); wait *= 2 {
		select {
		case <-time.After(wait):
		case <-l.ended:
			return false
		}
	}
	return true
}

func (l *links) cutAny(ways [][2]string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range ways {
		if l.lost[w] {
			return true
		}
	}
	return false
}

// cut A B cuts the links between two daemons, or all daemons of two data centres; with way=one only those from A to B. "others"
// are all daemons.
func (w *world) cut(a args) error {
	from, to := w.members(a.words[0]), w.members(a.words[1])
	if w.links == nil || len(from) == 0 || len(to) == 0 {
		return fmt.Errorf("no links between %s and %s", a.words[0], a.words[1])
	}
	w.links.mu.Lock()
	defer w.links.mu.Unlock()
	for _, x := range from {
		for _, y := range to {
			w.links.lost[[2]string{x, y}] = true
			w.links.lost[[2]string{y, x}] = w.links.lost[[2]string{y, x}] || a.named["way"] != "one"
		}
	}
	return nil
}

// heal ends all cuts.
func (w *world) heal(args) error {
	w.links.mu.Lock()
	defer w.links.mu.Unlock()
	clear(w.links.lost)
	return nil
}

// members returns the daemon with the name, or those of the data centre with the name.
func (w *world) members(name string) []string {
	var found []string
	for i, h := range w.names("host") {
		if h == name || name == "others" || w.centres[i%len(w.centres)] == name {
			found = append(found, h)
		}
	}
	return found
}
