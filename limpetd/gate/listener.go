package gate

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections. Unlike those of netutil.LimitListener, its
// connections implement NetConn, by which package abort resets them, and CloseWrite.
type limitListener struct {
	net.Listener
	// slots holds one element for each open connection. Accept waits while it is full.
	slots     chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newLimitListener(l net.Listener, limit int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn is a connection that occupies a slot of a limitListener until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// NetConn returns the underlying connection.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending direction. A http.Server then reads on for a moment before it
// closes the connection; an error response could be lost to a reset otherwise.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
