package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http2"
)

const (
	// pipelined is the number of requests that a client sends without reading the responses.
	pipelined = 200
	// waves is the number of connections that a client opens one after the other, wavePause the time that each is open.
	waves     = 5
	wavePause = 100 * time.Millisecond
	// pings is the number of HTTP/2 frames that a client sends.
	pings = 10_000
)

// ProtocolPatterns are the patterns of clients that hold memory or descriptors with the rest of the protocol.
var ProtocolPatterns = []Pattern{
	{Name: "trailers without an end", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.chunked(), []byte("4\r\nbody\r\n0\r\n"+shortNames(pipelinedHeader)))
	}},
	{Name: "many trailers", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.chunked(), []byte("4\r\nbody\r\n0\r\n"+shortNames(pipelinedHeader)+"\r\n"))
	}},
	{Name: "chunk extensions without an end", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.chunked(), []byte("4;"+strings.Repeat("x", openHeader)))
	}},
	{Name: "pipelined requests whose responses are not read", Send: func(_ context.Context, c *Client) {
		for range pipelined {
			if !c.write(append(c.announce(4), "body"...)) {
				return
			}
		}
	}},
	{Name: "HTTP/2 preface", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write([]byte(http2.ClientPreface))
		f := http2.NewFramer(c.Conn, nil)
		err := f.WriteSettings()
		for i := 0; i < pings && err == nil; i++ {
			err = f.WritePing(false, [8]byte{})
		}
	}},
	{Name: "headers cut by the end of the sending direction", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write([]byte(c.Entry.Head))
		_ = c.Conn.(*net.TCPConn).CloseWrite()
	}},
	{Name: "bodies cut by a reset", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.announce(BodyLimit), []byte(strings.Repeat("x", BodyLimit/2)))
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Conn.Close()
	}},
	{Name: "waves of connections", Reads: true, Send: func(ctx context.Context, c *Client) {
		for range waves {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", c.Entry.Address)
			if err != nil {
				return
			}
			wave := &Client{Entry: c.Entry, Conn: conn}
			wave.write(wave.announce(BodyLimit), []byte(strings.Repeat("x", BodyLimit/waves)))
			time.Sleep(wavePause)
			_ = conn.Close()
		}
	}},
	{Name: "expected continue", Reads: true, Send: func(_ context.Context, c *Client) {
		head := strings.TrimSuffix(string(c.announce(BodyLimit)), "\r\n")
		c.write([]byte(head + "Expect: 100-continue\r\n\r\n"))
	}},
}

// Patterns returns all patterns for entries that speak HTTP/1.1.
func Patterns() []Pattern {
	var all []Pattern
	for _, list := range [][]Pattern{HeaderPatterns, BodyPatterns, ConnPatterns, {UnreadPattern}, ProtocolPatterns} {
		all = append(all, list...)
	}
	return all
}

// IncompletePatterns returns the patterns whose clients send no request that may run.
func IncompletePatterns() []Pattern {
	complete := map[string]bool{
		"many header names behind a request": true, "idle connections after a request": true, UnreadPattern.Name: true,
		"many trailers": true, "pipelined requests whose responses are not read": true,
	}
	return slices.DeleteFunc(Patterns(), func(p Pattern) bool { return complete[p.Name] })
}

// AskLargest sends one request with a header of nearly headerBytes in the shortest lines and a body of bodyBytes. It returns
// an error unless the response has status 200.
func AskLargest(ctx context.Context, e Entry, headerBytes, bodyBytes int) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", e.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c := &Client{Entry: e, Conn: conn}
	c.Entry.Head = strings.ReplaceAll(e.Head, "{id}", "largest")
	head := strings.TrimSuffix(string(c.announce(bodyBytes)), "\r\n")
	// A failure to write leaves a response that tells the reason, or none.
	c.write([]byte(head+shortNames(headerBytes-headerRest)+"\r\n"), bytes.Repeat([]byte("x"), bodyBytes))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s: %s", response.Status, text)
	}
	return err
}
