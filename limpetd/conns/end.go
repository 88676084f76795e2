package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// endCheckTimeout limits the time to find out whether a server has ended.
const endCheckTimeout = dialTimeout

// ErrServerEnded means that the server refused connections when it had closed the connection whose end ends a response.
// The kernel closes the connections of a process that is killed properly, so that the response may be incomplete.
var ErrServerEnded = errors.New("the server ended when it ended its response")

// unframedBody is the body of a response that only the end of its connection ends.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
	// idle is how long the server keeps an idle connection.
	idle time.Duration
	// end is the error at the end of the body; nil before.
	end error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.conn.checkEnd(b.idle)
		b.end = err
	}
	return n, err
}

// checkEnd returns io.EOF unless the server refuses connections, or the call ended before the server answered.
func (c *Conn) checkEnd(idle time.Duration) error {
	bound := c.bound
	if bound == nil {
		bound = context.Background()
	}
	ctx, cancel := context.WithTimeout(bound, endCheckTimeout)
	defer cancel()
	reach := c.pool.reopen(ctx, c.target, idle)
	c.afterEnd = reach.String()
	switch {
	case reach == Refuses:
		return ErrServerEnded
	case reach == Silent && bound.Err() != nil:
		return fmt.Errorf("the call ended when the server was being checked: %w", context.Cause(bound))
	}
	return io.EOF
}

// AfterEnd returns what the server did with a new connection after the end of the connection had ended a response:
// accepts, refuses or silent. It is empty if no response has ended so.
func (c *Conn) AfterEnd() string { return c.afterEnd }

// reopen opens a connection to t, which is kept for the next request if the server keeps idle ones. It replaces one that
// ends with its response.
func (p *Pool) reopen(ctx context.Context, t Target, idle time.Duration) Reach {
	conn, err := p.dial(ctx, t)
	if err != nil {
		return reachOf(err)
	}
	p.mu.Lock()
	kept := idle > 0 && (p.limit[t] <= 0 || p.open[t] < p.limit[t])
	if kept {
		p.open[t]++
	}
	p.mu.Unlock()
	if !kept {
		// Nothing was sent on the connection.
		_ = conn.Close()
		return Accepts
	}
	newConn(p, t, conn).keep(idle)
	return Accepts
}

// keep makes a connection idle that its server closes after a time.
func (c *Conn) keep(idle time.Duration) {
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(time.Duration(reusableIdleShare * float64(idle)))
	c.pool.push(c)
}
