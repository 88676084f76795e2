package guard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/budget"
)

// acceptPollPeriod is the time between checks for a connection that can be closed for a new one.
const acceptPollPeriod = 100 * time.Millisecond

// DoorConfig configures a Door.
type DoorConfig struct {
	// Max is the maximum number of open connections; 0 means no limit. Others wait to be accepted.
	Max int
	// Timeouts returns the timeouts in force. It is nil if only the timeouts of the server apply.
	Timeouts func() budget.Timeouts
}

// Door is a listener whose connections a Guard bounds.
type Door struct {
	net.Listener
	guard  *Guard
	config DoorConfig
	// conns are the open connections, guarded by the lock of the Guard.
	conns map[*conn]struct{}
	// freed holds a value after a connection was closed.
	freed     chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// Door returns a listener for an http.Server whose ConnState is the function ConnState.
func (g *Guard) Door(l net.Listener, c DoorConfig) *Door {
	d := &Door{Listener: l, guard: g, config: c, conns: map[*conn]struct{}{}, freed: make(chan struct{}, 1), done: make(chan struct{})}
	g.mu.Lock()
	g.doors = append(g.doors, d)
	g.mu.Unlock()
	return d
}

// Accept implements net.Listener. If there are too many connections, it closes one whose header is slow, or waits.
func (d *Door) Accept() (net.Conn, error) {
	raw, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, door: d, bytes: &atomic.Int64{}}
	for {
		victim, ok := d.add(c, time.Now())
		if victim != nil {
			_ = victim.Close()
			d.guard.metrics.replaced.Inc(1)
			continue
		}
		if ok {
			return c, nil
		}
		select {
		case <-d.freed:
		case <-time.After(acceptPollPeriod):
		case <-d.done:
			_ = raw.Close()
			return nil, net.ErrClosed
		}
	}
}

// add adds a connection if there is room. Otherwise it returns one that is to be closed; nil if there is none.
func (d *Door) add(c *conn, now time.Time) (victim *conn, ok bool) {
	g := d.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.config.Max > 0 && len(d.conns) >= d.config.Max {
		return d.victim(now), false
	}
	d.conns[c] = struct{}{}
	g.metrics.connections.Update(float64(len(d.conns)))
	g.account.Charge(budget.Connections, budget.ConnectionBytes)
	c.state = budget.Connection{Phase: budget.Header, Since: now}
	c.header = g.begin(c, budget.Headers, false, now)
	return nil, true
}

// victim returns the connection that is to be closed for a new one. The lock must be held.
func (d *Door) victim(now time.Time) *conn {
	list := make([]budget.Connection, 0, len(d.conns))
	conns := make([]*conn, 0, len(d.conns))
	for c := range d.conns {
		list, conns = append(list, c.state), append(conns, c)
	}
	var closeIdle time.Duration
	if d.config.Timeouts != nil {
		closeIdle = d.config.Timeouts().CloseIdle
	}
	if i := budget.Victim(list, closeIdle, now); i >= 0 {
		return conns[i]
	}
	return nil
}

// sweep appends the connections whose phase has lasted too long. gap is the time since the sweep before. The lock
// must be held.
func (d *Door) sweep(expired []*conn, gap time.Duration, now time.Time) []*conn {
	if d.config.Timeouts == nil {
		return expired
	}
	timeouts := d.config.Timeouts()
	for c := range d.conns {
		if gap > maxSweepGap {
			c.state.Since = c.state.Since.Add(gap)
		}
		if timeouts.Expired(c.state, now) {
			expired = append(expired, c)
		}
	}
	return expired
}

// Close implements net.Listener.
func (d *Door) Close() error {
	d.closeOnce.Do(func() { close(d.done) })
	return d.Listener.Close()
}

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
}

// Read implements net.Conn. The bytes of a header are charged.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.bytes.Add(int64(n))
	if !c.active.Load() && !c.chargeHeader(int64(n)) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// chargeHeader charges n bytes of a header, and reports whether it may hold them.
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
	if !c.closed {
		c.closed = true
		c.endHeader()
		delete(c.door.conns, c)
		g.account.Charge(budget.Connections, -budget.ConnectionBytes)
		g.metrics.connections.Update(float64(len(c.door.conns)))
		select {
		case c.door.freed <- struct{}{}:
		default:
		}
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
		c.state = budget.Connection{Phase: budget.Idle, Since: now}
		c.active.Store(false)
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
