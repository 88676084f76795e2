package socket

import (
	"errors"
	"io"
	"net"
)

// ErrNoCloseNotify means that a connection ended before its TLS session did.
var ErrNoCloseNotify = errors.New("the connection ended without close_notify")

// UnderTLS returns c as the connection below a TLS session, whose reads return ErrNoCloseNotify instead of io.EOF.
// Package crypto/tls takes the end of a connection between two records for the end of the session.
func UnderTLS(c net.Conn) net.Conn { return underTLS{c} }

type underTLS struct{ net.Conn }

// Read implements net.Conn.
func (c underTLS) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = ErrNoCloseNotify
	}
	return n, err
}
