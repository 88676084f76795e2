package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sendTime limits the time in which a crowd sends, crowdTime how long it stays.
	sendTime  = 20 * time.Second
	crowdTime = 2 * time.Minute
)

// Entry is the entry of a process.
type Entry struct {
	Address string
	// Head is the request line and the headers of a valid request, without the headers of its body, such as
	// Content-Length. "{id}" is replaced by an ID of the client.
	Head string
}

// Client is one client of a crowd.
type Client struct {
	Entry Entry
	Conn  net.Conn
}

// Pattern is what the clients of a crowd do.
type Pattern struct {
	Name string
	// Send returns when the client has sent what it wants to, or when its connection is closed.
	Send func(ctx context.Context, c *Client)
	// Reads is whether the clients read what the process answers.
	Reads bool
}

// announce returns the headers of a request whose body has n bytes.
func (c *Client) announce(n int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", c.Entry.Head, n)
}

// chunked returns the headers of a request whose body is sent in chunks.
func (c *Client) chunked() []byte {
	return []byte(c.Entry.Head + "Transfer-Encoding: chunked\r\n\r\n")
}

// write writes parts, and reports whether all were written.
func (c *Client) write(parts ...[]byte) bool {
	for _, p := range parts {
		if _, err := c.Conn.Write(p); err != nil {
			return false
		}
	}
	return true
}

// Start starts n clients of a pattern, and returns when they have sent what they want to. They stay connected until stop is
// called, for at most crowdTime. stop returns the number of connections that the process has closed.
func Start(ctx context.Context, e Entry, p Pattern, n int) (stop func() int) {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	var senders, clients sync.WaitGroup
	senders.Add(n)
	var closed atomic.Int64
	for i := range n {
		own := e
		own.Head = strings.ReplaceAll(e.Head, "{id}", fmt.Sprint("crowd-", i))
		clients.Go(func() {
			sent := sync.OnceFunc(senders.Done)
			defer sent()
			if run(ctx, own, p, sent) {
				closed.Add(1)
			}
		})
	}
	senders.Wait()
	return func() int {
		cancel()
		clients.Wait()
		return int(closed.Load())
	}
}

// run runs one client until ctx ends or its connection is closed, and reports whether the process has closed it. It calls
// sent when the client has sent what it wants to.
func run(ctx context.Context, e Entry, p Pattern, sent func()) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", e.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c := &Client{Entry: e, Conn: conn}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
	p.Send(ctx, c)
	sent()
	_ = conn.SetWriteDeadline(time.Time{})
	buffer := make([]byte, 4<<10)
	for p.Reads {
		if _, err := conn.Read(buffer); err != nil {
			return ctx.Err() == nil
		}
	}
	<-ctx.Done()
	return false
}
