// Package link is a TCP proxy that injects network faults: connections can be
// refused, reset, delayed or stalled.
//
// # Usage
//
//	l, err := link.Start(target)
//	dial(l.Address()) // reaches target
//	l.Cut()             // connections are reset, dials are refused
//	l.Hold(true, false) // bytes to the target are held back, bytes from the target pass
//	l.SetDelay(50 * time.Millisecond)
//	l.Reset()           // connections are reset, new connections work
//	l.ClearFaults()     // all faults end
package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// dialTimeout bounds the dial to the target.
const dialTimeout = time.Second

// Link forwards TCP connections to a target. It is safe for concurrent use.
type Link struct {
	target  string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// holdToTarget and holdFromTarget indicate which bytes are held back; all other
	// bytes are delayed by delay.
	holdToTarget, holdFromTarget bool
	delay                        time.Duration
	// healed is closed by ClearFaults, and then replaced.
	healed chan struct{}
}

// holdCheckPeriod is the time between two checks whether a connection with held bytes
// was closed.
const holdCheckPeriod = 50 * time.Millisecond

// processIP is a loopback address that only the links of this process use, so that no other connection takes the
// port of a link while the link is cut.
var processIP = func() string {
	id := os.Getpid()
	return net.IPv4(127, byte(128+id>>16&0x3f), byte(id>>8), byte(id)).String()
}()

// Start opens a link to target.
func Start(target string) (*Link, error) {
	return StartAt(net.JoinHostPort(processIP, "0"), target)
}

// StartAt opens a link to target that accepts connections at address.
func StartAt(address, target string) (*Link, error) {
	l := &Link{target: target, address: address, conns: make(map[net.Conn]bool), healed: make(chan struct{})}
	return l, l.ClearFaults()
}

// Address returns the host:port at which the link accepts connections.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Hold holds back the bytes to the target, from the target, or both, on open and
// new connections, without closing the connections.
func (l *Link) Hold(toTarget, fromTarget bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdToTarget, l.holdFromTarget = toTarget, fromTarget
}

// SetDelay delays bytes in both directions.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Reset resets all connections; new connections work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

// resetAll closes all connections with a TCP reset. The caller holds l.mu. All connections are
// prepared before any is closed, since copy closes the other one of a pair at once.
func (l *Link) resetAll() {
	for c := range l.conns {
		closeByReset(c)
	}
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// closeByReset makes a reset the end of a connection that is closed.
func closeByReset(c net.Conn) {
	if t, ok := c.(*socket.Conn); ok {
		// The error can be ignored: the connection is closed already.
		_ = t.SetLinger(0)
	}
}

// ClearFaults ends all faults and accepts connections again after Cut.
func (l *Link) ClearFaults() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdToTarget, l.holdFromTarget, l.delay = false, false, 0
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

// Cut resets all connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	_ = l.listener.Close()
	l.listener = nil
	l.resetAll()
}

// accept forwards connections until the listener closes.
func (l *Link) accept(listener net.Listener) {
	for {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(listener, clientConn)
	}
}

// forward dials the target and copies bytes between client and target.
func (l *Link) forward(listener net.Listener, clientConn net.Conn) {
	targetConn, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	// A reset that a write meets is the end of both directions.
	client, clientErr := socket.Wrap(clientConn)
	target, targetErr := socket.Wrap(targetConn)
	if clientErr != nil || targetErr != nil {
		_ = clientConn.Close()
		_ = targetConn.Close()
		return
	}
	if !l.register(listener, client, target) {
		return
	}
	go l.copy(target, client, true)
	l.copy(client, target, false)
}

// register adds a pair of connections to conns. If the link was cut since the
// listener accepted the client, register closes both and returns false.
func (l *Link) register(listener net.Listener, clientConn, targetConn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != listener {
		_ = clientConn.Close()
		_ = targetConn.Close()
		return false
	}
	l.conns[clientConn] = true
	l.conns[targetConn] = true
	return true
}

// copy copies bytes in one direction. When the direction ends, copy closes both
// connections; if one of them was reset, or closed beside a write, it resets both.
func (l *Link) copy(to, from net.Conn, toTarget bool) {
	_, err := io.Copy(&faultWriter{link: l, to: to, toTarget: toTarget}, from)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		closeByReset(to)
		closeByReset(from)
	}
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, to)
	delete(l.conns, from)
}

// faultWriter writes to a connection and applies the link's faults.
type faultWriter struct {
	link *Link
	to   net.Conn
	// toTarget is whether the connection leads to the target.
	toTarget bool
}

// Write implements io.Writer. It waits while bytes in its direction are held back,
// and then for the link's delay.
func (w *faultWriter) Write(p []byte) (int, error) {
	for {
		w.link.mu.Lock()
		held := w.toTarget && w.link.holdToTarget || !w.toTarget && w.link.holdFromTarget
		delay, healed, open := w.link.delay, w.link.healed, w.link.conns[w.to]
		w.link.mu.Unlock()
		switch {
		case !open:
			return 0, net.ErrClosed
		case held:
			select {
			case <-healed:
			case <-time.After(holdCheckPeriod):
			}
			continue
		}
		time.Sleep(delay)
		return w.to.Write(p)
	}
}
