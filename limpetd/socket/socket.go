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
	return newConn(t, raw), nil
}

// Conn is a TCP connection. It is safe for concurrent use.
type Conn struct {
	tcp *net.TCPConn
	raw syscall.RawConn

	reads, writes transfer

	// mu is held during each system call that can meet the error of the socket.
	mu    sync.Mutex
	first error
	call  Call
}

// transfer is the state of the calls of Read, or of Write, of which one runs at a time.
type transfer struct {
	mu     sync.Mutex
	buffer []byte
	n      int
	err    error
	// run makes system calls, and returns false if it has to wait for the socket. It is made once, because a closure
	// for each call would be allocated.
	run func(fd uintptr) bool
}

var _ net.Conn = (*Conn)(nil)

func newConn(t *net.TCPConn, raw syscall.RawConn) *Conn {
	c := &Conn{tcp: t, raw: raw}
	c.reads.run, c.writes.run = c.read, c.write
	return c
}

// FirstError returns the first error of the socket and the call that met it. The error is nil if there was none; the
// end of the data is no error.
func (c *Conn) FirstError() (Call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call, c.first
}

// record records the error of a system call. c.mu is held since before the call.
func (c *Conn) record(call Call, err error) error {
	if err == nil {
		return nil
	}
	err = os.NewSyscallError(string(call), err)
	// A write to a connection that its peer has closed returns EPIPE. It is no sign that bytes from the peer were lost.
	if c.first == nil && !errors.Is(err, syscall.EPIPE) {
		c.first, c.call = err, call
	}
	return err
}

// read reads once. The end of the data and the first error are told apart under one lock, because a write can meet an
// error right after a proper end.
func (c *Conn) read(fd uintptr) bool {
	r := &c.reads
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Read(int(fd), r.buffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), r.buffer)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case n > 0:
		r.n = n
		return true
	}
	r.err = c.record(Read, err)
	switch {
	case c.first != nil:
		r.err = c.first
	case r.err == nil:
		r.err = io.EOF
	}
	return true
}

// Read implements net.Conn. After all data that arrived before the first error of the socket, each Read returns that
// error.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	r := &c.reads
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffer, r.n, r.err = b, 0, nil
	waitErr := c.raw.Read(r.run)
	r.buffer = nil
	switch {
	case waitErr != nil:
		return 0, waitErr
	case r.err == nil || errors.Is(r.err, io.EOF):
		return r.n, r.err
	}
	return 0, c.wrap(Read, r.err)
}

// write writes parts of at most maxWrite bytes.
func (c *Conn) write(fd uintptr) bool {
	w := &c.writes
	for w.n < len(w.buffer) {
		if done := c.writePart(int(fd), w); !done || w.err != nil {
			return done
		}
	}
	return true
}

// writePart writes once.
func (c *Conn) writePart(fd int, w *transfer) bool {
	part := w.buffer[w.n:min(len(w.buffer), w.n+maxWrite)]
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Write(fd, part)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Write(fd, part)
	}
	if errors.Is(err, syscall.EAGAIN) {
		return false
	}
	w.n += max(n, 0)
	w.err = c.record(Write, err)
	return true
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	w := &c.writes
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer, w.n, w.err = b, 0, nil
	waitErr := c.raw.Write(w.run)
	w.buffer = nil
	switch {
	case waitErr != nil:
		return w.n, waitErr
	case w.err != nil:
		return w.n, c.wrap(Write, w.err)
	}
	return w.n, nil
}

// NoInput reports whether neither data nor the end of the connection has arrived that was not read.
func (c *Conn) NoInput() bool {
	noInput := false
	err := c.raw.Control(func(fd uintptr) {
		c.mu.Lock()
		defer c.mu.Unlock()
		var b [1]byte
		err := error(syscall.EINTR)
		for errors.Is(err, syscall.EINTR) {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		if noInput = errors.Is(err, syscall.EAGAIN); !noInput {
			// The error is kept for the next Read.
			_ = c.record(Peek, err)
		}
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
