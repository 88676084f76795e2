package guard

import (
	"bytes"
	"context"
	"io"
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
	// HeaderLimit returns the size limit of request headers in bytes; 0 means none. It is nil if only the limit of
	// the server applies.
	HeaderLimit func() int64
	// TooLarge returns the response to a header over a limit. It is nil if the connection is closed without one.
	TooLarge func(limit int64) Refusal
	// Short returns the response to a request for whose header there is no memory, with the error. It is nil if the
	// connection is closed without one.
	Short func(err error) Refusal
	// MaxUnadmitted is the maximum number of connections that were not admitted by Admit yet; 0 if connections need no
	// admission. A connection without admission is in the phase Header, all that it sends counts as header, and it is
	// charged with UnadmittedBytes. An admitted one is not charged.
	MaxUnadmitted   int
	UnadmittedBytes int64
}

// connBytes returns what a connection is charged with when it is accepted.
func (c *DoorConfig) connBytes() int64 {
	if c.MaxUnadmitted > 0 {
		return c.UnadmittedBytes
	}
	return budget.ConnectionBytes
}

// Refusal is a response that a Door writes itself.
type Refusal struct {
	Status int
	Header http.Header
	Body   []byte
}

// headerSlack is how far a header may exceed its limit until the Door refuses it. The handler refuses headers between
// the two limits.
const headerSlack = 4 << 10

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
	if d.config.Max > 0 && len(d.conns) >= d.config.Max || d.config.MaxUnadmitted > 0 && d.unadmitted() >= d.config.MaxUnadmitted {
		return d.victim(now), false
	}
	d.conns[c] = struct{}{}
	g.metrics.connections.Update(float64(len(d.conns)))
	c.charged = d.config.connBytes()
	g.account.Charge(budget.Connections, c.charged)
	c.state = budget.Connection{Phase: budget.Header, Since: now}
	c.header = g.begin(c, budget.Headers, false, now)
	return nil, true
}

// unadmitted returns the number of connections that were not admitted. The lock must be held.
func (d *Door) unadmitted() int {
	n := 0
	for c := range d.conns {
		if c.state.Phase == budget.Header {
			n++
		}
	}
	return n
}

// Admit admits a connection of a Door whose connections need it.
func Admit(c net.Conn) {
	found := find(c)
	if found == nil || found.door.config.MaxUnadmitted == 0 {
		return
	}
	g := found.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if found.closed || found.state.Phase == budget.Active {
		return
	}
	found.active.Store(true)
	found.endHeader()
	found.state = budget.Connection{Phase: budget.Active, Since: time.Now()}
	g.account.Charge(budget.Connections, -found.charged)
	found.charged = 0
	found.door.notifyFreed()
}

// notifyFreed wakes Accept after there is room for a connection.
func (d *Door) notifyFreed() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
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
	// charged is what the connection itself is charged with, leaving what becomes free when its call ends because the
	// body was dropped.
	charged, leaving int64
	// The fields below belong to the goroutine that reads, which is that of the server between two requests. scan follows
	// the header that is arriving. remaining is the part of an announced body that has not arrived: no read goes beyond
	// it, so that the next header is read by itself. behind is what the next header takes at most as far as the
	// server has read it ahead.
	scan      budget.HeaderScan
	remaining int64
	behind    int64
}

// bufferSize is the size of the buffer into which the server reads ahead.
const bufferSize = 4 << 10

// smallBehind is what a header that was read ahead may take without being charged before it is parsed.
const smallBehind = 8 << 10

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
	c.behind = 0
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
		if f := c.door.config.Short; f != nil && !c.isClosed() {
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
	if c.scan.Opaque() || len(p) == 1 {
		// The server reads one byte while it runs a request, to learn that the client has gone.
		return
	}
	if c.remaining > 0 {
		c.remaining -= int64(n)
		return
	}
	c.behind = 0
	if len(p) <= bufferSize {
		c.behind = budget.LinesBytes(p[:n])
	}
}

// beginBody records the size of the body that is read next; negative if it is unknown.
func (c *conn) beginBody(size int64) {
	if c.scan.Opaque() || c.scan.Bytes == 0 {
		return
	}
	c.behind = c.scan.Behind(size)
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
	c.left()
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
		defer c.chargeBehind()
	case c.scan.Bytes > 0:
		// A body whose size is not known yet may be a part of it.
		c.behind = c.scan.Behind(-1)
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

// chargeBehind charges the header that was read ahead before it is parsed, or closes the connection.
func (c *conn) chargeBehind() {
	c.remaining = 0
	if c.behind > smallBehind && !c.chargeHeader(c.behind) {
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
