// Package link is a TCP link that can be cut, reset, slowed and silenced.
//
// # Usage
//
//	l, err := link.Start(target, 500*time.Microsecond)
//	dial(l.Address()) // reaches target
//	l.Cut()           // connections break, dials are refused
//	l.Silence(true, false) // bytes to the target are held, the others pass
//	l.Slow(50 * time.Millisecond)
//	l.Reset()         // connections break, new ones work
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
	// there and back tell which bytes are held, delay how late the others pass.
	there, back bool
	delay       time.Duration
	// healed is closed when nothing is held any more.
	healed chan struct{}
}

// holdStep is the time between looks at whether a cut connection still has to be held.
const holdStep = 50 * time.Millisecond

// Start opens a link to target on a loopback address of its own.
func Start(target string) (*Link, error) {
	l := &Link{target: target, address: "127.0.0.1:0", conns: make(map[net.Conn]bool), healed: make(chan struct{})}
	return l, l.Heal()
}

// Address returns host:port of the near end.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Silence holds the bytes to the target, those back, or both, of connections that are open
// and of new ones, without breaking them.
func (l *Link) Silence(there, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there, l.back = there, back
}

// Slow makes bytes pass late, each way.
func (l *Link) Slow(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Reset breaks all connections; new ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakAll()
}

// breakAll closes the connections without a proper end. The lock is held.
func (l *Link) breakAll() {
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(l.conns)
}

// Heal opens the link again and ends its other faults.
func (l *Link) Heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there, l.back, l.delay = false, false, 0
	close(l.healed)
	l.healed = make(chan struct{})
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
	l.breakAll()
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
	go l.copy(far, near, true)
	l.copy(near, far, false)
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
func (l *Link) copy(to, from net.Conn, there bool) {
	_, _ = io.Copy(&gate{link: l, to: to, there: there}, from)
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, to)
	delete(l.conns, from)
}

// gate is one way of a connection.
type gate struct {
	link  *Link
	to    net.Conn
	there bool
}

// Write implements io.Writer: it holds or delays the bytes as the link says.
func (g *gate) Write(p []byte) (int, error) {
	for {
		g.link.mu.Lock()
		held := g.there && g.link.there || !g.there && g.link.back
		delay, healed, open := g.link.delay, g.link.healed, g.link.conns[g.to]
		g.link.mu.Unlock()
		switch {
		case !open:
			return 0, net.ErrClosed
		case held:
			select {
			case <-healed:
			case <-time.After(holdStep):
			}
			continue
		}
		time.Sleep(delay)
		return g.to.Write(p)
	}
}
