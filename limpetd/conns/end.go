package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// endCheckTimeout limits the time to find out whether a server has ended.
const endCheckTimeout = dialTimeout

// ErrServerEnded means that the server refused connections when it had closed the connection whose end ends a response.
// The kernel closes the connections of a process that is killed properly, so that the response may be incomplete.
var ErrServerEnded = errors.New("the server ended when it ended its response")

// CheckEnd makes reads of the body of r return ErrServerEnded instead of io.EOF if only the end of the connection ends the
// body and the server refuses connections then. reach opens a connection to the server. The check ends with ctx.
func CheckEnd(ctx context.Context, r *http.Response, reach func(ctx context.Context) Reach) {
	if FramingOf(r) == UntilClose {
		r.Body = &unframedBody{ReadCloser: r.Body, ctx: ctx, reach: reach}
	}
}

// unframedBody is the body of a response that only the end of its connection ends.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	reach func(ctx context.Context) Reach
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
		err = b.checkEnd()
		b.end = err
	}
	return n, err
}

// checkEnd returns io.EOF unless the server refuses connections, or the call ended before the server answered.
func (b *unframedBody) checkEnd() error {
	ctx, cancel := context.WithTimeout(b.ctx, endCheckTimeout)
	defer cancel()
	switch reach := b.reach(ctx); {
	case reach == Refuses:
		return ErrServerEnded
	case reach == Silent && b.ctx.Err() != nil:
		return fmt.Errorf("the call ended when the server was being checked: %w", context.Cause(b.ctx))
	}
	return io.EOF
}

// checkEnd is CheckEnd for a response on the connection. The check ends with the context of Bind.
func (c *Conn) checkEnd(r *http.Response) {
	ctx := c.bound
	if ctx == nil {
		ctx = context.Background()
	}
	CheckEnd(ctx, r, func(ctx context.Context) Reach {
		reach := c.pool.reopen(ctx, c.target)
		c.afterEnd = reach.String()
		return reach
	})
}

// AfterEnd returns what the server did with a new connection after the end of the connection had ended a response:
// accepts, refuses or silent. It is empty if no response has ended so.
func (c *Conn) AfterEnd() string { return c.afterEnd }

// reopen opens a connection to t, which is kept for the next request. It replaces one that ends with its response.
func (p *Pool) reopen(ctx context.Context, t Target) Reach {
	conn, err := p.dial(ctx, t)
	if err != nil {
		return reachOf(err)
	}
	p.mu.Lock()
	full := p.limit[t] > 0 && p.open[t] >= p.limit[t]
	if !full {
		p.open[t]++
	}
	p.mu.Unlock()
	if full {
		// Nothing was sent on the connection.
		_ = conn.Close()
		return Accepts
	}
	newConn(p, t, conn).keep(defaultIdleTimeout)
	return Accepts
}

// keep makes a connection idle that its server closes after a time.
func (c *Conn) keep(idle time.Duration) {
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(time.Duration(reusableIdleShare * float64(idle)))
	c.pool.push(c)
}
