package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxSyncWrite is the size in bytes of the largest request that is written in full before
	// the response is read. A larger request is written while the response is read, because a
	// server may respond before it has read the request, and TCP windows are small.
	maxSyncWrite = 8 << 10
	// maxSkipped limits the number of responses to earlier requests that are skipped.
	maxSkipped = 3
	// maxHeadBytes limits the size in bytes of the head of a response, together with the interim
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes limits the size in bytes of the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Request is a request as it is written to a backend server.
type Request struct {
	Method string
	// Target is the request target: the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response with the given header answers the request. reused is whether
	// the connection carried requests before, whose responses may arrive again. If Matches is nil, each
	// response does.
	Matches func(h http.Header, reused bool) bool
}

// SendState is whether any part of a request may have reached the server.
type SendState int

// The values of SendState.
const (
	// NotSent means that no byte of the request was passed to the network.
	NotSent SendState = iota
	// MaybeSent means that the server may have read the request.
	MaybeSent
)

// Framing is what determines the end of a response's body.
type Framing string

// The values of Framing.
const (
	// Length means a Content-Length, or that there is no body.
	Length Framing = "length"
	// Chunked means the chunked transfer encoding.
	Chunked Framing = "chunked"
	// UntilClose means that the body ends with its connection.
	UntilClose Framing = "close"
)

// Error is the failure to write a request or to read its response.
type Error struct {
	Sent SendState
	Err  error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is a connection with at most one request in flight. Only Close is safe for concurrent
// use.
type Conn struct {
	pool   *Pool
	target Target
	conn   net.Conn
	// openedAt is when the connection was established.
	openedAt time.Time
	// reused is whether the connection has carried a request before the current one.
	reused bool
	input  *trackingReader
	reader *bufio.Reader
	// idleSince is when the connection was last released, expires when it may no longer be
	// reused.
	idleSince time.Time
	expires   time.Time
	closeOnce sync.Once
	// written is closed when the request has been written; nil if the request was written
	// before Write returned.
	written chan struct{}
	// bound ends the check of the response's end; nil if Bind was not called.
	bound context.Context
	// afterEnd is what the server did with a new connection after the end of the connection had ended a response.
	afterEnd string
}

// OpenedAt returns when the connection was established.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Close closes the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		// The error can be ignored because the connection is not used again.
		_ = c.conn.Close()
		c.pool.uncount(c.target)
	})
}

// Bind closes the connection when ctx ends, unless the returned function is called before.
// The function returns false if Bind has closed the connection.
func (c *Conn) Bind(ctx context.Context) func() bool {
	c.bound = ctx
	return context.AfterFunc(ctx, c.Close)
}

// BytesRead returns how many bytes have been read from the connection.
func (c *Conn) BytesRead() int64 { return c.input.total }

// ReadError returns the first error of the reads from the connection, except timeouts: io.EOF
// if the server closed the connection, nil if the connection has not ended.
func (c *Conn) ReadError() error { return c.input.err }

// setReadDeadline sets the deadline for reads; the zero time means no deadline.
func (c *Conn) setReadDeadline(until time.Time) {
	// The error can be ignored: a closed connection also fails the next read.
	_ = c.conn.SetReadDeadline(until)
}

// noInput reports whether neither data nor the end of the connection has arrived on an idle
// connection.
func (c *Conn) noInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	idle, ok := c.conn.(idleConn)
	return !ok || idle.NoInput()
}

// Write writes the request. Its error is an *Error and means that nothing was written. If
// the write fails after a part of the request was written, Write returns nil, because the
// server may have responded before it closed the connection.
func (c *Conn) Write(r Request) error {
	message := encode(r)
	if len(message) <= maxSyncWrite {
		n, err := c.conn.Write(message)
		if err != nil && n == 0 {
			return &Error{Sent: NotSent, Err: err}
		}
		return nil
	}
	c.written = make(chan struct{})
	go func() {
		defer close(c.written)
		// The error can be ignored: reading the response fails on a broken connection,
		// but still returns a response that arrived before the connection broke.
		_, _ = c.conn.Write(message)
	}()
	return nil
}

// WaitReadable waits for the first byte of a response until the given time, and reports whether
// the next read returns without waiting. It also returns true if the connection has ended
// or failed; the next read then returns the error.
func (c *Conn) WaitReadable(until time.Time) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	c.setReadDeadline(until)
	_, err := c.reader.Peek(1)
	c.setReadDeadline(time.Time{})
	// If the process stood still until after the deadline, what has arrived meanwhile was not read.
	return !errors.Is(err, os.ErrDeadlineExceeded) || !c.noInput()
}

// ReadHead reads the status line and header of the response to a request that was written. It
// skips responses that belong to earlier requests. Its error is an *Error. Reads of the body return io.EOF only if the
// response is complete.
func (c *Conn) ReadHead(r Request) (*http.Response, error) {
	response, err := c.readHead(r)
	if err != nil {
		return nil, &Error{Sent: MaybeSent, Err: err}
	}
	if FramingOf(response) == UntilClose {
		response.Body = &unframedBody{ReadCloser: response.Body, conn: c, idle: idleTimeout(response.Header.Get("Keep-Alive"))}
	}
	return response, nil
}

// readHead is ReadHead without wrapping the error in an *Error.
func (c *Conn) readHead(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	c.input.bound(c.reader.Buffered())
	defer c.input.unbound()
	for skipped := 0; ; {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if isInterim(response) {
			continue
		}
		if err := CheckStatus(response); err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(response.Header, c.reused) {
			return response, nil
		}
		skipped++
		if skipped > maxSkipped || FramingOf(response) == UntilClose || response.Close {
			return nil, fmt.Errorf("a response with status %d belongs to another request", response.StatusCode)
		}
		c.input.unbound()
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes {
			return nil, fmt.Errorf("a response to another request was not read to its end: %w", err)
		}
		c.input.bound(c.reader.Buffered())
	}
}

// FramingOf returns what determines the end of a response's body.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.Body == http.NoBody:
		return Length
	case len(r.TransferEncoding) > 0:
		return Chunked
	case r.ContentLength >= 0:
		return Length
	}
	return UntilClose
}

// Release returns the connection to the pool if the connection can be reused after response
// r, whose body must have been read to its end. Otherwise, also if the request is still being
// written, Release closes the connection.
func (c *Conn) Release(r *http.Response) {
	if c.written != nil {
		select {
		case <-c.written:
		default:
			c.Close()
			return
		}
		c.written = nil
	}
	idle := idleTimeout(r.Header.Get("Keep-Alive"))
	if r.Close || FramingOf(r) == UntilClose || idle <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.reused = true
	c.keep(idle)
}

// idleTimeout returns how long a server that sends the given Keep-Alive header keeps an idle
// connection: the header's timeout parameter in seconds, or else defaultIdleTimeout.
func idleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return defaultIdleTimeout
}

// encode returns the request in its wire format.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer return no error.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
