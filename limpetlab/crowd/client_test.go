package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// bodyLimit is the size limit of bodies in the configuration.
	bodyLimit = 1 << 20
	// pieceSize is the size of the pieces in which clients send, piecePause the time between two
	// pieces of a client that sends slowly.
	pieceSize  = 16 << 10
	piecePause = 5 * time.Millisecond
	// tricklePause is the time between two bytes of a client that trickles.
	tricklePause = 200 * time.Millisecond
	// excess is how far bodies over the limit go beyond it.
	excess = 8
	// sendTime limits the time in which a crowd sends, crowdTime how long it stays.
	sendTime  = 20 * time.Second
	crowdTime = 2 * time.Minute
)

// entry is the entry of a process under test.
type entry struct {
	address string
	// head is the request line and the headers of a valid request, without those of its body.
	head string
}

// client is one client of a crowd. send returns when the client has sent what it wants to, or when
// its connection is closed.
type client struct {
	entry entry
	conn  net.Conn
}

// pattern is what the clients of a crowd do.
type pattern struct {
	name string
	send func(ctx context.Context, c *client)
	// reads is whether the clients read what the process answers.
	reads bool
}

// bodyPatterns are the patterns of clients that hold memory with bodies.
var bodyPatterns = []pattern{
	{name: "announced body without its last byte", reads: true, send: func(_ context.Context, c *client) {
		c.write(c.announce(bodyLimit), bytes.Repeat([]byte("x"), bodyLimit-1))
	}},
	{name: "announced body in pieces without its last byte", reads: true, send: func(_ context.Context, c *client) {
		c.write(c.announce(bodyLimit))
		piece := bytes.Repeat([]byte("x"), pieceSize)
		for sent := 0; sent < bodyLimit-pieceSize && c.write(piece); sent += pieceSize {
			time.Sleep(piecePause)
		}
		c.write(piece[:pieceSize-1])
	}},
	{name: "one chunk without an end", reads: true, send: func(_ context.Context, c *client) {
		c.write(c.chunked(), fmt.Appendf(nil, "%x\r\n", bodyLimit-1), bytes.Repeat([]byte("x"), bodyLimit-1), []byte("\r\n"))
	}},
	{name: "chunks of one byte without an end", reads: true, send: func(_ context.Context, c *client) {
		c.write(c.chunked())
		piece := bytes.Repeat([]byte("1\r\nx\r\n"), pieceSize)
		for sent := 0; sent < bodyLimit-pieceSize && c.write(piece); sent += pieceSize {
			continue
		}
		c.write(piece[:len(piece)-len("1\r\nx\r\n")])
	}},
	{name: "announced body over the limit", reads: true, send: func(_ context.Context, c *client) {
		c.write(c.announce(excess * bodyLimit))
		piece := bytes.Repeat([]byte("x"), pieceSize)
		for sent := 0; sent < excess*bodyLimit && c.write(piece); sent += pieceSize {
			continue
		}
	}},
	{name: "body over the limit in chunks", reads: true, send: func(_ context.Context, c *client) {
		c.write(c.chunked())
		piece := append(fmt.Appendf(nil, "%x\r\n", pieceSize), bytes.Repeat([]byte("x"), pieceSize)...)
		piece = append(piece, "\r\n"...)
		for sent := 0; sent < excess*bodyLimit && c.write(piece); sent += pieceSize {
			continue
		}
	}},
}

// connPatterns are the patterns of clients that hold descriptors.
var connPatterns = []pattern{
	{name: "headers that trickle", reads: true, send: func(ctx context.Context, c *client) {
		c.write([]byte(c.entry.head + "X-Slow: "))
		go func() {
			for ctx.Err() == nil && c.write([]byte("x")) {
				time.Sleep(tricklePause)
			}
		}()
	}},
	{name: "connections without a request", reads: true, send: func(context.Context, *client) {}},
	{name: "idle connections after a request", reads: true, send: func(_ context.Context, c *client) {
		c.write([]byte(c.entry.head + "\r\n"))
	}},
	{name: "bodies that trickle", reads: true, send: func(ctx context.Context, c *client) {
		c.write(c.announce(bodyLimit))
		go func() {
			for ctx.Err() == nil && c.write([]byte("x")) {
				time.Sleep(tricklePause)
			}
		}()
	}},
}

// unreadPattern is the pattern of clients that don't read the answer to their request.
var unreadPattern = pattern{name: "answers that are not read", send: func(_ context.Context, c *client) {
	c.write([]byte(c.entry.head + "\r\n"))
}}

// announce returns the headers of a request whose body has n bytes.
func (c *client) announce(n int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", c.entry.head, n)
}

// chunked returns the headers of a request whose body is sent in chunks.
func (c *client) chunked() []byte {
	return []byte(c.entry.head + "Transfer-Encoding: chunked\r\n\r\n")
}

// write writes parts, and reports whether all were written.
func (c *client) write(parts ...[]byte) bool {
	for _, p := range parts {
		if _, err := c.conn.Write(p); err != nil {
			return false
		}
	}
	return true
}

// startCrowd starts n clients of a pattern, and returns when they have sent what they want to. They
// stay connected until stop is called, for at most crowdTime.
func startCrowd(t *testing.T, e entry, p pattern, n int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	var senders, clients sync.WaitGroup
	senders.Add(n)
	var closed atomic.Int64
	for i := range n {
		own := e
		own.head = strings.ReplaceAll(e.head, "{id}", fmt.Sprint("crowd-", i))
		clients.Go(func() {
			sent := sync.OnceFunc(senders.Done)
			defer sent()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", own.address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			c := &client{entry: own, conn: conn}
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			p.send(ctx, c)
			sent()
			_ = conn.SetWriteDeadline(time.Time{})
			buffer := make([]byte, 4<<10)
			for p.reads {
				if _, err := conn.Read(buffer); err != nil {
					break
				}
			}
			if ctx.Err() == nil && p.reads {
				closed.Add(1)
				return
			}
			<-ctx.Done()
		})
	}
	senders.Wait()
	return func() {
		cancel()
		clients.Wait()
		t.Logf("%d of %d connections were closed by the process", closed.Load(), n)
	}
}
