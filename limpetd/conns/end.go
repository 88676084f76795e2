package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/life"
)

const (
	// endCheckPause is the time between two connections to a server that may have ended. The kernel closes the
	// descriptors of a process in no certain order, which takes some ten milliseconds for a thousand of them, so that a
	// listener may accept connections after the responses of its process have ended.
	endCheckPause = 100 * time.Millisecond
	// resetPause is the time after which a connection is opened again that was reset.
	resetPause = 20 * time.Millisecond
	// endCheckTimeout limits the time to find out whether a server has ended. There are endChecks of them if it does not
	// answer, because the process may have stood still until the time was over.
	endCheckTimeout = endCheckPause + dialTimeout
	endChecks       = 2
)

// ErrServerEnded means that the server refused connections after it had closed the connection whose end ends a response.
// The kernel closes the connections of a process that is killed properly, so that the response may be incomplete.
var ErrServerEnded = errors.New("the server ended when it ended its response")

// CheckEnd makes reads of the body of r return ErrServerEnded instead of io.EOF if only the end of the connection ends the
// body and the server refuses connections within endCheckPause. reach opens a connection to the server on the path of the
// response, and closes it. The check ends with ctx.
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

// checkEnd returns io.EOF unless the server refuses connections, or the call ended before that was known.
func (b *unframedBody) checkEnd() error {
	reach := Silent
	for i := 0; i < endChecks && reach == Silent; i++ {
		reach = b.checkServer()
	}
	switch {
	case reach == Refuses:
		return ErrServerEnded
	case b.ctx.Err() != nil:
		return fmt.Errorf("the call ended when the server was being checked: %w", context.Cause(b.ctx))
	}
	return io.EOF
}

// checkServer returns what the server does with connections until endCheckPause after the end.
func (b *unframedBody) checkServer() Reach {
	ctx, cancel := context.WithTimeout(b.ctx, endCheckTimeout)
	defer cancel()
	reach := b.reach(ctx)
	if reach == Accepts {
		if !life.Sleep(ctx, endCheckPause) {
			return Silent
		}
		reach = b.reach(ctx)
	}
	for reach == Resets && life.Sleep(ctx, resetPause) {
		reach = b.reach(ctx)
	}
	return reach
}

// checkEnd is CheckEnd for a response on the connection. The check ends with the context of Bind.
func (c *Conn) checkEnd(r *http.Response) {
	ctx := c.bindCtx
	if ctx == nil {
		ctx = context.Background()
	}
	CheckEnd(ctx, r, func(ctx context.Context) Reach {
		reach := c.probePath(ctx)
		c.reachAfterEnd = reach.String()
		return reach
	})
}

// AfterEnd returns what the server did with a new connection after the end of the connection had ended a response:
// accepts, refuses, resets or silent. It is empty if no response has ended so.
func (c *Conn) AfterEnd() string { return c.reachAfterEnd }

// keep makes a connection idle that its server closes after a time.
func (c *Conn) keep(idle time.Duration) {
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(time.Duration(reusableIdleShare * float64(idle)))
	c.pool.push(c)
}
