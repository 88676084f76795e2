// Package link is a TCP link between data centres that can be cut.
//
// # Usage
//
//	l, err := link.Start(target, 500*time.Microsecond)
//	dial(l.Address()) // reaches target
//	l.Cut()           // connections break, dials are refused
//	l.Heal()
package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the making of a connection to the target.
const dialTimeout = time.Second

// Link forwards connections to a target.
type Link struct {
	target  string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// Start opens a link to target on a loopback address of its own.
func Start(target string) (*Link, error) {
	l := &Link{target: target, address: "127.0.0.1:0", conns: make(map[net.Conn]bool)}
	return l, l.Heal()
}

// Address returns host:port of the near end.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Heal opens the link again. It does nothing while the link is open.
func (l *Link) Heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	l.address = listener.Addr().String()
	go l.accept(listener)
	return nil
}

// Cut breaks all connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	_ = l.listener.Close()
	l.listener = nil
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// accept forwards connections until the listener closes.
func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(listener, near)
	}
}

// forward joins a connection with the target.
func (l *Link) forward(listener net.Listener, near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	if !l.keep(listener, near, far) {
		return
	}
	go l.copy(far, near)
	l.copy(near, far)
}

// keep notes a pair of connections, unless the link was cut meanwhile.
func (l *Link) keep(listener net.Listener, near, far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != listener {
		_ = near.Close()
		_ = far.Close()
		return false
	}
	l.conns[near] = true
	l.conns[far] = true
	return true
}

// copy carries bytes one way and closes both ends after the last.
func (l *Link) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, to)
	delete(l.conns, from)
}
