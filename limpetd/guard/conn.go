package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/budget"
)

// headerSlack is the excess of a header over its limit from which the Door refuses it. The handler refuses smaller
// excesses.
const headerSlack = 4 << 10

// conn is a connection that a Door has accepted.
type conn struct {
	net.Conn
	door *Door
	// bytes counts the bytes that were read. active mirrors whether the phase is Active.
	bytes  *atomic.Int64
	active atomic.Bool

	// The fields below are guarded by the lock of the Guard. header is the id of the header that is arriving, 0 if
	// there is none, and headerBytes its size, which stays charged until the response has ended.
	state       budget.Connection
	header      budget.ID
	headerBytes int64
	closed      bool
	// charged is the charge for the connection itself. pendingFree is the memory of the call that is released when the
	// call ends, after its body was dropped.
	charged, pendingFree int64

	// The fields below have no lock: the server reads a connection and changes its state from one goroutine at a time.
	// scan follows the header that is being received. remaining is the number of bytes of an announced body that were
	// not received; a read ends there, so that the next header begins with a new read. ahead is an upper bound of the
	// memory for the part of the next header that the server has buffered.
	scan      budget.HeaderScan
	remaining int64
	ahead     int64
}

// bufferSize is the size of the buffer into which the server reads ahead.
const bufferSize = 4 << 10

// maxUncharged is the maximum memory for a buffered header that is parsed before it is charged.
const maxUncharged = 8 << 10

// Read implements net.Conn. The lines of a header are charged before the server parses them.
func (c *conn) Read(p []byte) (int, error) {
	if c.remaining > 0 {
		p = p[:min(int64(len(p)), c.remaining)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.bytes.Add(int64(n))
	if c.active.Load() {
		c.readAhead(p, n)
		return n, err
	}
	c.ahead = 0
	cost := int64(n)
	if c.door.config.MaxUnadmitted > 0 {
		c.scan.Bytes += cost
	} else {
		cost = c.scan.Add(p[:n])
	}
	if f := c.door.config.HeaderLimit; f != nil {
		if limit := f(); limit > 0 && c.scan.Bytes > limit+headerSlack {
			c.door.guard.metrics.headersRefused.Inc(1)
			if f := c.door.config.TooLarge; f != nil {
				c.refuse(f(limit), p)
			}
			return 0, io.EOF
		}
	}
	if !c.chargeHeader(cost) {
		if f := c.door.config.NoMemory; f != nil && !c.isClosed() {
			c.refuse(f(c.door.guard.memoryShort()), p)
		}
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// isClosed reports whether the connection was closed, for example because its header was dropped for others.
func (c *conn) isClosed() bool {
	c.door.guard.mu.Lock()
	defer c.door.guard.mu.Unlock()
	return c.closed
}

// readAhead records that n bytes were read into p while a request is active.
func (c *conn) readAhead(p []byte, n int) {
	if c.scan.Encrypted() || len(p) == 1 {
		// The server reads one byte while it runs a request, to learn that the client has gone.
		return
	}
	if c.remaining > 0 {
		c.remaining -= int64(n)
		return
	}
	c.ahead = 0
	if len(p) <= bufferSize {
		c.ahead = budget.LinesBytes(p[:n])
	}
}

// beginBody records the size of the body that is read next; negative if it is unknown.
func (c *conn) beginBody(size int64) {
	if c.scan.Encrypted() || c.scan.Bytes == 0 {
		return
	}
	c.ahead = c.scan.ReadAhead(size)
	c.remaining = max(size-c.scan.Rest, 0)
}

// refuse answers a request whose header is not parsed, and reads on for a moment: the response could be lost to a reset
// otherwise. What it reads is discarded in buffer.
func (c *conn) refuse(r Refusal, buffer []byte) {
	// An error of the connection ends the loop below.
	_ = c.SetDeadline(time.Now().Add(endDelay))
	response := &http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Header: r.Header, Close: true,
		ContentLength: int64(len(r.Body)), Body: io.NopCloser(bytes.NewReader(r.Body)),
	}
	_ = response.Write(c.Conn)
	_ = c.CloseWrite()
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// chargeHeader charges n bytes for a header, and reports whether it may hold them.
func (c *conn) chargeHeader(n int64) bool {
	g := c.door.guard
	g.mu.Lock()
	if c.closed {
		g.mu.Unlock()
		return false
	}
	if c.state.Phase == budget.Idle {
		now := time.Now()
		c.state = budget.Connection{Phase: budget.Header, Since: now}
		c.header = g.begin(c, budget.Headers, false, now)
	}
	c.headerBytes += n
	id := c.header
	g.mu.Unlock()
	return g.ask(id, n)
}

// end closes the connection for others.
func (c *conn) end(reason) { _ = c.Close() }

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.door.guard
	g.mu.Lock()
	c.confirmFreed()
	if !c.closed {
		c.closed = true
		c.endHeader()
		delete(c.door.conns, c)
		g.account.Charge(budget.Connections, -c.charged)
		g.metrics.connections.Update(float64(len(c.door.conns)))
		c.door.notifyFreed()
	}
	g.mu.Unlock()
	return c.Conn.Close()
}

// endHeader ends the charge of the header. The lock must be held.
func (c *conn) endHeader() {
	g := c.door.guard
	if c.header != 0 {
		g.finish(c.header)
		c.header = 0
	} else {
		g.account.Charge(budget.Headers, -c.headerBytes)
	}
	c.headerBytes = 0
}

// setState records what the server does with the connection.
func (c *conn) setState(s http.ConnState, now time.Time) {
	switch {
	case s == http.StateIdle:
		defer c.chargeReadAhead()
	case c.scan.Bytes > 0:
		// A body whose size is not known yet may be a part of it.
		c.ahead = c.scan.ReadAhead(-1)
	}
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return
	}
	switch s {
	case http.StateActive:
		c.active.Store(true)
		c.state = budget.Connection{Phase: budget.Active, Since: now}
		if c.header != 0 {
			g.finish(c.header)
			c.header = 0
			g.account.Charge(budget.Headers, c.headerBytes)
		}
	case http.StateIdle:
		c.endHeader()
		c.scan.Next()
		c.state = budget.Connection{Phase: budget.Idle, Since: now}
		c.active.Store(false)
	}
}

// chargeReadAhead charges the buffered part of the next header before it is parsed, or closes the connection.
func (c *conn) chargeReadAhead() {
	c.remaining = 0
	if c.ahead > maxUncharged && !c.chargeHeader(c.ahead) {
		_ = c.Close()
	}
}

// NetConn returns the underlying connection, by which package abort resets it.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending direction. A http.Server then reads on for a moment before it
// closes the connection; an error response could be lost to a reset otherwise.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// find returns the connection of a Door below c; nil if there is none.
func find(c net.Conn) *conn {
	for c != nil {
		if found, ok := c.(*conn); ok {
			return found
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// ConnState is the ConnState of an http.Server that serves on a Door.
func ConnState(c net.Conn, s http.ConnState) {
	if found := find(c); found != nil && (s == http.StateActive || s == http.StateIdle) {
		found.setState(s, time.Now())
	}
}

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// ConnContext is a ConnContext of an http.Server that serves on a Door.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if found := find(c); found != nil {
		return context.WithValue(ctx, contextKey{}, found)
	}
	return ctx
}
