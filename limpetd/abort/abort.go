// Package abort makes responses that can't be completed look incomplete to their callers.
//
// A response of HTTP/1.1 has a length or ends with a last chunk, and a stream of HTTP/2 ends
// with a frame: if the connection is closed before, the caller notices. To a caller that uses
// HTTP/1.0 a response without a length is complete when its connection is closed. Only a reset
// of the connection shows that a part is missing. Begin therefore makes a reset the end of the
// connection until Complete, so that also a process that is killed ends with a reset.
//
// # Usage
//
//	server := &http.Server{Handler: h, ConnContext: abort.ConnContext}
//
//	func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
//		defer abort.End(r)
//		abort.Begin(r)
//		... write a response without a length ...
//		if err != nil {
//			abort.Response(r)
//		}
//		abort.Complete(w, r)
//	}
package abort

import (
	"context"
	"net"
	"net/http"
)

// defaultLinger is the argument of SetLinger for a connection that ends properly when it is
// closed.
const defaultLinger = -1

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// lingerer is a connection that can be reset.
type lingerer interface {
	net.Conn
	SetLinger(seconds int) error
}

var _ lingerer = (*net.TCPConn)(nil)

// connection is the TCP connection of requests. Its requests run one after the other.
type connection struct {
	lingerer
	// begun is whether a response without a length has begun that is not complete.
	begun bool
}

// reset closes the connection. The connection below TLS is closed, without the alert that announces
// a proper end.
func (c *connection) reset() {
	c.begun = false
	// The errors can be ignored because the connection is not used again.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// ConnContext is the ConnContext of an http.Server whose handlers use this package.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			if l, ok := c.(lingerer); ok {
				return context.WithValue(ctx, contextKey{}, &connection{lingerer: l})
			}
			return ctx
		}
		c = wrapper.NetConn()
	}
}

// conn returns the TCP connection of a request whose response may end with its connection;
// nil for other requests.
func conn(r *http.Request) *connection {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	c, _ := r.Context().Value(contextKey{}).(*connection)
	return c
}

// Begin is called before a response without a length is written. If the connection ends before
// Complete, the caller notices.
func Begin(r *http.Request) {
	if c := conn(r); c != nil {
		c.begun = true
		// The error can be ignored: the connection is closed already.
		_ = c.SetLinger(0)
	}
}

// Complete is called when all of a response has been written.
func Complete(w http.ResponseWriter, r *http.Request) {
	c := conn(r)
	if c == nil {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return // The caller did not get all of the response.
	}
	c.begun = false
	// The error can be ignored: the connection is closed already.
	_ = c.SetLinger(defaultLinger)
}

// End is deferred by handlers. It resets the connection of a response that has begun and is not
// complete, also in a panic, after which the server would close a connection of TLS properly.
func End(r *http.Request) {
	if c := conn(r); c != nil && c.begun {
		c.reset()
	}
}

// Response aborts the response to r, a part of which may have been written. It does not return:
// it panics with http.ErrAbortHandler.
func Response(r *http.Request) {
	if c := conn(r); c != nil {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}
