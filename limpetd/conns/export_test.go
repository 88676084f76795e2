package conns

import "context"

// AwaitWritten waits until the request has been written or its write has failed, and reports whether that is so.
func (c *Conn) AwaitWritten(ctx context.Context) bool {
	select {
	case <-c.written:
		return true
	case <-ctx.Done():
		return false
	}
}
