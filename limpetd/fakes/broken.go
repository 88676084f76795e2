package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// Ending is how a server stops sending a response.
type Ending string

// The values of Ending. Closed ends the connection with FIN, Reset with RST. Silent keeps it
// open.
const (
	Closed Ending = "fin"
	Reset  Ending = "rst"
	Silent Ending = "silence"
)

// resetDelay is the time between the last bytes of a response and a reset, so that the bytes
// are read before.
const resetDelay = 20 * time.Millisecond

// BrokenServer is a backend server that breaks off the response to the first request.
type BrokenServer struct {
	Framing conns.Framing
	// Header returns the headers of a response besides those of its framing.
	Header func(*http.Request) http.Header
	// Body is the complete body of the first response; the server sends Sent bytes of it.
	Body   string
	Sent   int
	Ending Ending
	// Rest returns the bodies of the other responses.
	Rest func(*http.Request) string
	// Requests counts the requests. Servers that share it break off one response together.
	Requests *atomic.Int64
}

// Serve answers requests, one on each connection, until l is closed.
func (s *BrokenServer) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

// serveConn answers the first request on a connection.
func (s *BrokenServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	header := http.Header{}
	if s.Header != nil {
		header = s.Header(r)
	}
	if s.Requests.Add(1) > 1 {
		body := s.Rest(r)
		header.Set("Connection", "close")
		header.Set("Content-Length", fmt.Sprint(len(body)))
		_ = writeHead(c, header)
		_, _ = io.WriteString(c, body)
		return
	}
	part := s.Body[:s.Sent]
	switch s.Framing {
	case conns.Length:
		header.Set("Content-Length", fmt.Sprint(len(s.Body)))
	case conns.Chunked:
		header.Set("Transfer-Encoding", "chunked")
		if part != "" {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
	}
	_ = writeHead(c, header)
	_, _ = io.WriteString(c, part)
	switch s.Ending {
	case Reset:
		time.Sleep(resetDelay)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	case Silent:
		_, _ = c.Read(make([]byte, 1))
	}
}

// writeHead writes the head of a response with status 200.
func writeHead(w io.Writer, h http.Header) error {
	if _, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n"); err != nil {
		return err
	}
	if err := h.Write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}
