package guard

import (
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
	// NoMemory returns the response to a request for whose header there is no memory, with the error. It is nil if the
	// connection is closed without one.
	NoMemory func(err error) Refusal
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

// CloseActive closes the connections with a running request, without the proper end of TLS.
func (d *Door) CloseActive() {
	var active []*conn
	d.guard.mu.Lock()
	for c := range d.conns {
		if c.state.Phase == budget.Active {
			active = append(active, c)
		}
	}
	d.guard.mu.Unlock()
	for _, c := range active {
		// The error can be ignored: the connection is closed already.
		_ = c.Close()
	}
}

// Close implements net.Listener.
func (d *Door) Close() error {
	d.closeOnce.Do(func() { close(d.done) })
	return d.Listener.Close()
}
