//go:build review2

package main

import (
	"net"
	"sync"
)

// link is a TCP proxy. While it is cut, nothing passes: connections hang, and those that were open then are lost.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

func newLink(target string) *link {
	l := &link{listener: listen(), target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	l.mu.Lock()
	l.conns[conn] = true
	isCut := l.cut
	l.mu.Unlock()
	if isCut {
		return // It hangs until the link heals.
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go l.copy(target, conn)
	l.copy(conn, target)
}

func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		isCut := l.cut
		l.mu.Unlock()
		if isCut {
			return // The bytes are lost, and the connection hangs.
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			l.mu.Lock()
			delete(l.conns, to)
			delete(l.conns, from)
			l.mu.Unlock()
			return
		}
	}
}

// setCut cuts or heals the link. The connections that were cut are closed when it heals.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}
