// Package socket opens TCP connections that don't lose errors.
//
// The kernel reports the error of a socket once, to whichever system call asks first: a read, a write or a peek. The
// next read returns the end of the data, as if the peer had closed the connection properly, and a response that only
// the end of its connection ends looks complete.
//
// A Conn makes one system call at a time and records the first error, so that no call can meet an error that a read
// after it doesn't return. What arrived before the error can still be read. A Conn offers no way to its socket past
// these calls.
//
// # Usage
//
//	d := socket.NewDialer(net.Dialer{Timeout: time.Second})
//	c, err := d.DialContext(ctx, "tcp4", "10.0.0.1:80")
//	n, err := c.Read(buffer) // io.EOF only if the peer closed the connection before any error
//	call, err := c.(*socket.Conn).FirstError()
package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxWrite is the size in bytes of the largest single write, during which a read has to wait.
const maxWrite = 128 << 10

// Call is a kind of system call that can meet the error of a socket.
type Call string

// The values of Call.
const (
	Read  Call = "read"
	Write Call = "write"
	Peek  Call = "peek"
)

// Dialer opens connections. Its zero value is a dialer without a timeout.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a Dialer with the settings of d.
func NewDialer(d net.Dialer) Dialer { return Dialer{dialer: d} }

// Timeout returns the time that opening a connection may take; 0 means no limit.
func (d *Dialer) Timeout() time.Duration { return d.dialer.Timeout }

// DialContext opens a connection. A TCP connection is a *Conn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Wrap(c)
}

// Wrap returns a Conn for a TCP connection, which may not be used otherwise from then on. It returns any other
// connection as it is. If it returns an error, the connection is closed.
func Wrap(c net.Conn) (net.Conn, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return &Conn{tcp: t, raw: raw}, nil
}

// Conn is a TCP connection. It is safe for concurrent use.
type Conn struct {
	tcp *net.TCPConn
	raw syscall.RawConn

	// mu is held during each system call that can meet the error of the socket.
	mu    sync.Mutex
	first error
	call  Call
}

var _ net.Conn = (*Conn)(nil)

// FirstError returns the first error of the socket and the call that met it. The error is nil if there was none; the
// end of the data is no error.
func (c *Conn) FirstError() (Call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call, c.first
}

// try makes a system call until it isn't interrupted. done is false if the call would wait.
func (c *Conn) try(call Call, system func() (int, error)) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		n, err = system()
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, false, nil
	case err != nil:
		n, err = max(n, 0), os.NewSyscallError(string(call), err)
		// A write to a connection that its peer has closed returns EPIPE. It is no sign that bytes from the peer were lost.
		if c.first == nil && !errors.Is(err, syscall.EPIPE) {
			c.first, c.call = err, call
		}
	}
	return n, true, err
}

// Read implements net.Conn. After all data that arrived before the first error of the socket, each Read returns that
// error.
func (c *Conn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		var done bool
		n, done, err = c.try(Read, func() (int, error) { return syscall.Read(int(fd), b) })
		return done
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case n > 0:
		return n, nil
	}
	if _, first := c.FirstError(); first != nil {
		return 0, c.wrap(Read, first)
	}
	if err != nil {
		return 0, c.wrap(Read, err)
	}
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	waitErr := c.raw.Write(func(fd uintptr) bool {
		for written < len(b) {
			part := b[written:min(len(b), written+maxWrite)]
			n, done, callErr := c.try(Write, func() (int, error) { return syscall.Write(int(fd), part) })
			written += n
			if callErr != nil || !done {
				err = callErr
				return done
			}
		}
		return true
	})
	switch {
	case waitErr != nil:
		return written, waitErr
	case err != nil:
		return written, c.wrap(Write, err)
	}
	return written, nil
}

// NoInput reports whether neither data nor the end of the connection has arrived that was not read.
func (c *Conn) NoInput() bool {
	noInput := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, done, _ := c.try(Peek, func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
		noInput = !done
	})
	return err == nil && noInput
}

// wrap adds the addresses of the connection to an error.
func (c *Conn) wrap(call Call, err error) error {
	return &net.OpError{Op: string(call), Net: "tcp", Source: c.tcp.LocalAddr(), Addr: c.tcp.RemoteAddr(), Err: err}
}

// Close implements net.Conn.
func (c *Conn) Close() error { return c.tcp.Close() }

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what closing the connection does with bytes that were not sent, as that of net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.tcp.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.tcp.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }
