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

// ConnContext is the ConnContext of an http.Server whose handlers use this package.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return context.WithValue(ctx, contextKey{}, c)
		}
		c = wrapper.NetConn()
	}
}

// conn returns the TCP connection of a request whose response may end with its connection;
// nil for other requests.
func conn(r *http.Request) lingerer {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	c, _ := r.Context().Value(contextKey{}).(lingerer)
	return c
}

// Begin is called before a response without a length is written. If the connection ends before
// Complete, the caller notices.
func Begin(r *http.Request) {
	if c := conn(r); c != nil {
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
	// The error can be ignored: the connection is closed already.
	_ = c.SetLinger(defaultLinger)
}

// Response aborts the response to r, a part of which may have been written. It does not return:
// it panics with http.ErrAbortHandler.
func Response(r *http.Request) {
	if c := conn(r); c != nil {
		// The errors can be ignored because the connection is not used again. The
		// connection below TLS is closed, without the alert that announces a proper end.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}
