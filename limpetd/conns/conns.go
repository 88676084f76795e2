// Package conns pools HTTP/1.1 connections to backend servers, and sends requests and reads
// responses on them.
//
// The transport of net/http may resend a request if a reused connection turns out to be
// closed. This package never does: it writes a request once, on one connection, and an
// error indicates whether any byte of the request may have reached the server. A connection
// is reused only if the last response had a known length and was read to its end, no byte
// followed the response, and the server's idle timeout is not near.
//
// # Usage
//
//	p := conns.New(ctx)
//	c, err := p.Get(ctx, conns.Target{Address: "10.0.0.1:80", Instance: "i-1"}, maxIdle)
//	stop := c.Bind(ctx) // closes the connection when ctx ends
//	err = c.Write(request)
//	response, err := c.ReadHead(request)
//	... read response.Body to its end ...
//	stop()
//	c.Release(response)
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
	"github.com/limpetlb/limpetlb/limpetd/socket"
)

const (
	// dialTimeout limits the time to open a connection. Data centres are a few
	// milliseconds apart; a lost packet is retransmitted only after a second, and by then
	// another server could have responded.
	dialTimeout = 300 * time.Millisecond
	// probeIdle is the idle time before the first TCP keep-alive probe, and probeInterval
	// the time between probes. A connection is closed after probeCount probes without a
	// response.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is how long sent data may stay unacknowledged before a connection is
	// closed.
	userTimeout = 3 * time.Second
	// defaultIdleTimeout is the idle timeout of a server that states none.
	defaultIdleTimeout = 4 * time.Second
	// reusableIdleShare is the part of a server's idle timeout during which an idle
	// connection may be reused; the rest covers network delays.
	reusableIdleShare = 0.6
	// sweepPeriod is the time between sweeps for expired idle connections.
	sweepPeriod = 2 * time.Second
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// ErrTooManyConns means that the process has as many connections to a server as it may open.
var ErrTooManyConns = errors.New("too many connections to the backend server")

// Target identifies one start of a backend server.
type Target struct {
	Address  string
	Instance string
}

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a Pool.
type Option func(*Pool)

// ServerDialer returns the default dialer of connections to servers.
func ServerDialer() Dialer {
	d := NewDialer(WithReset())
	return &d
}

// WithDialer sets the dialer of a pool. The default is ServerDialer.
func WithDialer(d Dialer) Option {
	return func(p *Pool) { p.dialer = d }
}

// Pool holds the connections of a process to backend servers. It is safe for concurrent use.
type Pool struct {
	tomb   *tomb.Tomb
	dialer Dialer

	mu sync.Mutex
	// idle are the idle connections, with the most recently used one last.
	idle map[Target][]*Conn
	// open counts the connections, idle ones included.
	open map[Target]int
	// limit is the maximum number of open connections to a target; 0 means no limit.
	limit map[Target]int
	// ended is whether the pool keeps no idle connections any more.
	ended bool
}

// New returns an empty pool. The pool closes expired idle connections until ctx ends, and keeps none from then on.
func New(ctx context.Context, opts ...Option) *Pool {
	t, ctx := life.WithContext(ctx)
	p := &Pool{
		tomb:   t,
		dialer: ServerDialer(),
		idle:   map[Target][]*Conn{},
		open:   map[Target]int{},
		limit:  map[Target]int{},
	}
	for _, o := range opts {
		o(p)
	}
	t.Go(func() error {
		for life.Sleep(ctx, sweepPeriod) {
			p.sweep(time.Now())
		}
		p.end()
		return nil
	})
	return p
}

// Wait returns when the goroutine of the pool has ended.
func (p *Pool) Wait() error { return p.tomb.Wait() }

// DialerOption configures a dialer.
type DialerOption func(*dialerOptions)

type dialerOptions struct{ resets bool }

// WithReset makes closing a connection reset it. Otherwise the kernel goes on sending what was
// written before, and an abandoned request arrives seconds later, when a partition has healed.
func WithReset() DialerOption { return func(o *dialerOptions) { o.resets = true } }

// NewDialer returns a dialer whose connections detect an unresponsive peer: they use
// keep-alive probes and TCP_USER_TIMEOUT.
func NewDialer(opts ...DialerOption) socket.Dialer {
	var o dialerOptions
	for _, opt := range opts {
		opt(&o)
	}
	return socket.NewDialer(net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			var timeoutErr, lingerErr error
			err := c.Control(func(fd uintptr) {
				timeoutErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
				if o.resets {
					lingerErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
				}
			})
			return errors.Join(err, timeoutErr, lingerErr)
		},
	})
}

// KeepAlive returns the configuration of the TCP keep-alive probes.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// SetLimit sets the maximum number of connections that this process may have to t; 0 means no
// limit.
func (p *Pool) SetLimit(t Target, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit[t] = limit
}

// Get returns a connection to t: the most recently used idle connection that can be reused
// and was idle for less than maxIdle, else a new one. It closes each idle connection that it
// rejects.
func (p *Pool) Get(ctx context.Context, t Target, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop(t)
		if c == nil {
			break
		}
		now := time.Now()
		if now.Before(c.expires) && now.Sub(c.idleSince) < maxIdle && c.noInput() {
			return c, nil
		}
		c.Close()
	}
	p.mu.Lock()
	if limit := p.limit[t]; limit > 0 && p.open[t] >= limit {
		p.mu.Unlock()
		return nil, ErrTooManyConns
	}
	p.open[t]++
	p.mu.Unlock()
	conn, err := p.dial(ctx, t)
	if err != nil {
		p.uncount(t)
		return nil, err
	}
	return newConn(p, t, conn), nil
}

func newConn(p *Pool, t Target, conn net.Conn) *Conn {
	input := &trackingReader{source: conn}
	return &Conn{pool: p, target: t, conn: conn, openedAt: time.Now(), input: input, reader: bufio.NewReaderSize(input, readBufferSize)}
}

// dial opens a connection to t.
func (p *Pool) dial(ctx context.Context, t Target) (net.Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		return nil, err
	}
	return socket.Wrap(conn)
}

// pop removes the most recently used idle connection to t and returns it; nil if there is
// none.
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

// push adds c to the idle connections, or closes it if the pool keeps none.
func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	ended := p.ended
	if !ended {
		p.idle[c.target] = append(p.idle[c.target], c)
	}
	p.mu.Unlock()
	if ended {
		c.Close()
	}
}

// end closes the idle connections. Others are closed when they would become idle.
func (p *Pool) end() {
	p.mu.Lock()
	p.ended = true
	idle := p.idle
	p.idle = map[Target][]*Conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// uncount subtracts a closed connection from the open connections to t.
func (p *Pool) uncount(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[t]--; p.open[t] <= 0 {
		delete(p.open, t)
	}
}

// sweep closes the idle connections that have expired, and the tunnels that end.
func (p *Pool) sweep(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && !c.tunnelEnds() {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
