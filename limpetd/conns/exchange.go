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
	"syscall"
	"time"
)

const (
	// inlineBytes is the largest request that is written before the answer is
	// read. A larger one is written beside, as a server may answer before it has
	// read the request and the windows of connections are small.
	inlineBytes = 8 << 10
	// maxSkipped bounds the answers to earlier calls that are passed over.
	maxSkipped = 3
	// maxSkippedBytes bounds the body of an answer that is passed over.
	maxSkippedBytes = 1 << 20
)

// Request is a call as it is written to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs tells whether an answer with this header is that to the call.
	Belongs func(http.Header) bool
}

// Sent tells how much of a call may have reached the server.
type Sent int

// The outcomes of sending.
const (
	// Nothing of the call was handed to the network.
	Nothing Sent = iota
	// Maybe means that the server may have read the call.
	Maybe
)

// Error is a failed exchange.
type Error struct {
	Sent Sent
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is a connection with at most one call on it. It is not safe for concurrent
// use, but for Close.
type Conn struct {
	pool    *Pool
	target  Target
	conn    net.Conn
	reader  *bufio.Reader
	since   time.Time
	expires time.Time
	once    sync.Once
	// written is closed when the request was written; nil if it was at once.
	written chan struct{}
}

// Close closes the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		// The connection is given up; an error of its close changes nothing.
		_ = c.conn.Close()
		c.pool.closed(c.target)
	})
}

// Bind closes the connection when ctx ends, until the returned function is called.
// That function returns false if the connection was closed.
func (c *Conn) Bind(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, c.Close)
}

// patience sets until when reads wait; zero means for ever.
func (c *Conn) patience(until time.Time) {
	// The error is that of a closed connection, which the next read returns too.
	_ = c.conn.SetReadDeadline(until)
}

// quiet tells whether nothing has arrived on an idle connection, also not its end.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Write writes the call. An error is an *Error. After a part was written no error is
// returned, as the server may have answered before it closed the connection.
func (c *Conn) Write(r Request) error {
	message := encode(r)
	if len(message) <= inlineBytes {
		n, err := c.conn.Write(message)
		if err != nil && n == 0 {
			return &Error{Sent: Nothing, Err: err}
		}
		return nil
	}
	c.written = make(chan struct{})
	go func() {
		defer close(c.written)
		// The reader of the answer notices a broken connection; an early answer
		// that has arrived can still be read.
		_, _ = c.conn.Write(message)
	}()
	return nil
}

// Await waits for bytes of an answer; false if none came until a time. The end of the
// connection counts as bytes: the next read returns it.
func (c *Conn) Await(until time.Time) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	c.patience(until)
	defer c.patience(time.Time{})
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Head reads the head of the answer to a call that was written. Answers that belong
// to earlier calls are passed over. An error is an *Error.
func (c *Conn) Head(r Request) (*http.Response, error) {
	answer, err := c.head(r)
	if err != nil {
		return nil, &Error{Sent: Maybe, Err: err}
	}
	return answer, nil
}

func (c *Conn) head(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for skipped := 0; ; {
		answer, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Belongs == nil || r.Belongs(answer.Header) {
			return answer, nil
		}
		skipped++
		if skipped > maxSkipped || !framed(answer) || answer.Close {
			return nil, fmt.Errorf("an answer with status %d belongs to another call", answer.StatusCode)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes {
			return nil, fmt.Errorf("an answer to another call was not read to its end: %w", err)
		}
	}
}

// framed tells whether the end of the answer is known without the connection's end.
func framed(a *http.Response) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// Release keeps the connection for another call if the answer, read to its end,
// allows that; else it closes it.
func (c *Conn) Release(a *http.Response) {
	if c.written != nil {
		select {
		case <-c.written:
		default:
			c.Close()
			return
		}
		c.written = nil
	}
	idle := idleTime(a.Header.Get("Keep-Alive"))
	if a.Close || !framed(a) || idle <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.since = time.Now()
	c.expires = c.since.Add(time.Duration(idleMargin * float64(idle)))
	c.pool.push(c)
}

// idleTime returns how long the server keeps an idle connection.
func idleTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return defaultIdle
}

// encode returns the call as it goes over the wire.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A buffer takes every write, so there is no error.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
