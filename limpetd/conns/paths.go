package conns

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// idleConn is a connection that can be asked for its input.
type idleConn interface {
	// NoInput reports whether neither data nor the end of the connection has arrived.
	NoInput() bool
}

// tunnelConn is a connection to a server through another daemon.
type tunnelConn interface {
	// Tunnel returns the VM of the other daemon and the id of the tunnel.
	Tunnel() (vm, id string)
}

// samePathDialer is a dialer that can open another connection on the path of an open one.
type samePathDialer interface {
	// DialPath connects to an address through the daemon of a VM, or directly if vm is empty.
	DialPath(ctx context.Context, vm, address string) (net.Conn, error)
}

// pathDialer is a dialer that can lose its direct path to a server.
type pathDialer interface {
	// Hangs reports whether open direct connections to an address get no answer.
	Hangs(address string) bool
}

// failedConn is a connection that knows the first error of its socket.
type failedConn interface {
	// FirstError returns the first error, nil for none, and the system call that met it.
	FirstError() (socket.Call, error)
}

// FirstError returns the first error of the connection's socket and the system call that met it. The error is nil if
// there was none, or if the socket is that of another daemon.
func (c *Conn) FirstError() (socket.Call, error) {
	if f, ok := c.conn.(failedConn); ok {
		return f.FirstError()
	}
	return "", nil
}

// Tunnel returns the VM of the daemon through which the connection was opened and the id of the tunnel;
// empty for a direct connection.
func (c *Conn) Tunnel() (vm, id string) {
	if t, ok := c.conn.(tunnelConn); ok {
		return t.Tunnel()
	}
	return "", ""
}

// tunnelEnds reports whether the connection is an idle tunnel of a daemon that is leaving, or has ended.
func (c *Conn) tunnelEnds() bool {
	vm, _ := c.Tunnel()
	return vm != "" && !c.noInput()
}

// Hangs reports whether the connection is a direct one to a server to which the path is lost, so that it
// gets no answer any more.
func (c *Conn) Hangs() bool {
	d, ok := c.pool.dialer.(pathDialer)
	if !ok {
		return false
	}
	vm, _ := c.Tunnel()
	return vm == "" && d.Hangs(c.target.Address)
}

// DropIdle closes the idle direct connections to an address.
func (p *Pool) DropIdle(address string) {
	var dropped []*Conn
	p.mu.Lock()
	for t, list := range p.idle {
		if t.Address != address {
			continue
		}
		var kept []*Conn
		for _, c := range list {
			if vm, _ := c.Tunnel(); vm == "" {
				dropped = append(dropped, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[t] = kept
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// Reach is what a server does with a new connection.
type Reach int

// The values of Reach.
const (
	// Accepts means that the server accepts connections.
	Accepts Reach = iota
	// Refuses means that the server refuses connections: its process has ended.
	Refuses
	// Silent means that nothing is known: the server does not answer, or can't be reached.
	Silent
	// Resets means that a connection was reset when it was opened: the listener is being closed, or the server has too
	// many connections.
	Resets
)

// String returns the name of r, for logs.
func (r Reach) String() string {
	switch r {
	case Accepts:
		return "accepts"
	case Refuses:
		return "refuses"
	case Resets:
		return "resets"
	}
	return "silent"
}

// reachOf returns what the error of a dial shows.
func reachOf(err error) Reach {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refuses
	case errors.Is(err, syscall.ECONNRESET):
		return Resets
	}
	return Silent
}

// probePath opens a connection to the server of c on the path of c, and closes it. What other daemons see of the server
// does not matter, because its end has just arrived on this path.
func (c *Conn) probePath(ctx context.Context) Reach {
	d, ok := c.pool.dialer.(samePathDialer)
	if !ok {
		return c.pool.Probe(ctx, c.target)
	}
	vm, _ := c.Tunnel()
	conn, err := d.DialPath(ctx, vm, c.target.Address)
	if err != nil {
		return reachOf(err)
	}
	// The error can be ignored because nothing was sent on the connection.
	_ = conn.Close()
	return Accepts
}

// Probe opens a connection to t and closes it.
func (p *Pool) Probe(ctx context.Context, t Target) Reach {
	return Probe(ctx, p.dialer, "tcp4", t.Address)
}

// Probe opens a connection to an address by d and closes it.
func Probe(ctx context.Context, d Dialer, network, address string) Reach {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return reachOf(err)
	}
	// The error can be ignored because nothing was sent on the connection.
	_ = conn.Close()
	return Accepts
}
