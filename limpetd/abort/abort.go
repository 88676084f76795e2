// Package abort ends HTTP responses that can't be completed, so that the caller sees that
// they are incomplete.
//
// A response of HTTP/1.1 has a length or ends with a last chunk, and a stream of HTTP/2 with
// a frame: closing the connection or resetting the stream before is visible. To a caller
// that uses HTTP/1.0 a response without a length is complete when its connection is
// closed, so that only a reset of the connection shows that a part is missing.
//
// # Usage
//
//	func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
//		... write a part of the response ...
//		if err != nil {
//			abort.Response(w, r)
//		}
//	}
package abort

import (
	"net"
	"net/http"
)

// Response aborts the response of a handler, a part of which may have been written. It does
// not return: it panics with http.ErrAbortHandler.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets the connection of a response. Connections that wrap another one are closed
// after it, so that TLS sends no alert that announces a proper end.
func resetConn(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// The connection has been closed or taken over before.
		return
	}
	raw := c
	for {
		wrapper, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = wrapper.NetConn()
	}
	if l, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		// The error can be ignored: the connection is closed already.
		_ = l.SetLinger(0)
	}
	// The errors can be ignored because the connection is not used again.
	_ = raw.Close()
	_ = c.Close()
}

var _ interface{ SetLinger(int) error } = (*net.TCPConn)(nil)
