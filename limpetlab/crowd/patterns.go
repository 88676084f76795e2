package crowd

import (
	"bytes"
	"context"
	"fmt"
	"time"
)

const (
	// BodyLimit is the size limit of bodies in the configuration, in bytes.
	BodyLimit = 1 << 20
	// pieceSize is the size of the pieces in which clients send, piecePause the time between two
	// pieces of a client that sends slowly.
	pieceSize  = 16 << 10
	piecePause = 5 * time.Millisecond
	// tricklePause is the time between two bytes of a client that trickles.
	tricklePause = 200 * time.Millisecond
	// excess is how far bodies over the limit go beyond it.
	excess = 8
)

// BodyPatterns are the patterns of clients that hold memory with bodies.
var BodyPatterns = []Pattern{
	{Name: "announced body without its last byte", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.announce(BodyLimit), bytes.Repeat([]byte("x"), BodyLimit-1))
	}},
	{Name: "announced body in pieces without its last byte", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.announce(BodyLimit))
		piece := bytes.Repeat([]byte("x"), pieceSize)
		for sent := 0; sent < BodyLimit-pieceSize && c.write(piece); sent += pieceSize {
			time.Sleep(piecePause)
		}
		c.write(piece[:pieceSize-1])
	}},
	{Name: "one chunk without an end", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.chunked(), fmt.Appendf(nil, "%x\r\n", BodyLimit-1), bytes.Repeat([]byte("x"), BodyLimit-1), []byte("\r\n"))
	}},
	{Name: "chunks of one byte without an end", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.chunked())
		piece := bytes.Repeat([]byte("1\r\nx\r\n"), pieceSize)
		for sent := 0; sent < BodyLimit-pieceSize && c.write(piece); sent += pieceSize {
			continue
		}
		c.write(piece[:len(piece)-len("1\r\nx\r\n")])
	}},
	{Name: "announced body over the limit", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.announce(excess * BodyLimit))
		piece := bytes.Repeat([]byte("x"), pieceSize)
		for sent := 0; sent < excess*BodyLimit && c.write(piece); sent += pieceSize {
			continue
		}
	}},
	{Name: "body over the limit in chunks", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write(c.chunked())
		piece := append(fmt.Appendf(nil, "%x\r\n", pieceSize), bytes.Repeat([]byte("x"), pieceSize)...)
		piece = append(piece, "\r\n"...)
		for sent := 0; sent < excess*BodyLimit && c.write(piece); sent += pieceSize {
			continue
		}
	}},
}

// ConnPatterns are the patterns of clients that hold descriptors.
var ConnPatterns = []Pattern{
	{Name: "headers that trickle", Reads: true, Send: func(ctx context.Context, c *Client) {
		c.write([]byte(c.Entry.Head + "X-Slow: "))
		go func() {
			for ctx.Err() == nil && c.write([]byte("x")) {
				time.Sleep(tricklePause)
			}
		}()
	}},
	{Name: "connections without a request", Reads: true, Send: func(context.Context, *Client) {}},
	{Name: "idle connections after a request", Reads: true, Send: func(_ context.Context, c *Client) {
		c.write([]byte(c.Entry.Head + "\r\n"))
	}},
	{Name: "bodies that trickle", Reads: true, Send: func(ctx context.Context, c *Client) {
		c.write(c.announce(BodyLimit))
		go func() {
			for ctx.Err() == nil && c.write([]byte("x")) {
				time.Sleep(tricklePause)
			}
		}()
	}},
}

// UnreadPattern is the pattern of clients that don't read the answer to their request.
var UnreadPattern = Pattern{Name: "answers that are not read", Send: func(_ context.Context, c *Client) {
	c.write([]byte(c.Entry.Head + "\r\n"))
}}
