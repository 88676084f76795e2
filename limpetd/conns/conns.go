// Package conns keeps HTTP/1.1 connections to backend servers and exchanges calls
// on them.
//
// The transport of net/http may send a call again when a reused connection turns
// out to be dead. This package never does: a call is written once, on one
// connection, and its outcome says whether a byte of it may have reached the
// server. A connection is used again only after an answer with known framing was
// read to its end, nothing followed it, and well before the server closes it.
//
// # Usage
//
//	p := conns.New(ctx)
//	c, err := p.Take(ctx, conns.Target{Address: "10.0.0.1:80", Instance: "i-1"}, maxIdle)
//	stop := c.Bind(ctx) // closes the connection when ctx ends
//	err = c.Write(request)
//	answer, err := c.Head(request)
//	... read answer.Body to its end ...
//	stop()
//	c.Release(answer)
package conns

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/life"
)

const (
	// dialTimeout bounds the set-up of a connection. Data centres are a few
	// milliseconds apart; a lost packet is sent again only after a second, later
	// than another server could have answered.
	dialTimeout = 300 * time.Millisecond
	// probeIdle and probeInterval are the pauses before and between keep-alive
	// probes; a silent connection is noticed after probeCount of them.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout ends a connection on which sent data stays unacknowledged.
	userTimeout = 3 * time.Second
	// defaultIdle is how long a connection is kept if the server states nothing.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of the stated idle time in which a connection is
	// used again; the rest covers delays on the way.
	idleMargin = 0.6
	// sweepPeriod is the time between sweeps of idle connections.
	sweepPeriod = 2 * time.Second
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
)

// ErrTooMany means that a server has as many connections as this process may open.
var ErrTooMany = errors.New("too many connections to the backend server")

// Target is one start of a backend server.
type Target struct {
	Address  string
	Instance string
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	tomb   *tomb.Tomb
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Target][]*Conn
	open map[Target]int
	// most bounds the connections to a server; 0 means no bound.
	most map[Target]int
}

// New returns an empty pool; it closes idle connections until ctx ends.
func New(ctx context.Context) *Pool {
	t, ctx := life.WithContext(ctx)
	p := &Pool{
		tomb:   t,
		dialer: NewDialer(),
		idle:   map[Target][]*Conn{},
		open:   map[Target]int{},
		most:   map[Target]int{},
	}
	t.Go(func() error {
		for life.Sleep(ctx, sweepPeriod) {
			p.sweep(time.Now())
		}
		return nil
	})
	return p
}

// Wait returns when the pool has ended.
func (p *Pool) Wait() error { return p.tomb.Wait() }

// NewDialer returns a dialer whose connections notice a silent peer by themselves.
func NewDialer() net.Dialer {
	return net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
			})
			return errors.Join(err, failed)
		},
	}
}

// KeepAlive returns the probes that find silent connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Bound sets the number of connections that this process may have to t.
func (p *Pool) Bound(t Target, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most[t] = most
}

// Take returns a connection to t: the one used last if it was idle for less than
// maxIdle, else a new one.
func (p *Pool) Take(ctx context.Context, t Target, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop(t)
		if c == nil {
			break
		}
		now := time.Now()
		if now.Before(c.expires) && now.Sub(c.since) < maxIdle && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	p.mu.Lock()
	if most := p.most[t]; most > 0 && p.open[t] >= most {
		p.mu.Unlock()
		return nil, ErrTooMany
	}
	p.open[t]++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.closed(t)
		return nil, err
	}
	return &Conn{pool: p, target: t, conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes)}, nil
}

// Reachable tells whether t accepts a connection, which it closes again.
func (p *Pool) Reachable(ctx context.Context, t Target) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		return false
	}
	// Nothing was sent on it, so nothing is lost by an error.
	_ = conn.Close()
	return true
}

func (p *Pool) pop(t Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

func (p *Pool) closed(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[t]--; p.open[t] <= 0 {
		delete(p.open, t)
	}
}

// sweep closes the connections that are idle for too long.
func (p *Pool) sweep(now time.Time) {
	var old []*Conn
	p.mu.Lock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
