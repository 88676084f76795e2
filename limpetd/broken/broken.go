// Package broken simulates backend servers that break off responses, for tests: with each
// framing, at any point of the body, by closing or resetting the connection or by silence.
//
// # Usage
//
//	s := broken.Server{Requests: &atomic.Int64{}, Response: broken.Response{
//		Framing: conns.Chunked, Body: "data: a\n\n", Sent: 3, Ending: broken.Reset,
//	}}
//	go s.Serve(listener) // until listener is closed
package broken

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

const (
	// resetDelay is the time between the last bytes of a response and a reset, so that the
	// bytes are read before.
	resetDelay    = 20 * time.Millisecond
	silentTimeout = 30 * time.Second
)

// Response is a response with status 200 that a server breaks off.
type Response struct {
	Framing conns.Framing
	// Header holds the headers other than Content-Length and Transfer-Encoding.
	Header http.Header
	// Body is the complete body; Sent bytes of it are sent.
	Body   string
	Sent   int
	Ending Ending
}

// Responses returns a response with the given body for each framing, each of the numbers of bytes
// that are sent, and each ending.
func Responses(body string, sent ...int) []Response {
	var all []Response
	for _, framing := range []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose} {
		for _, n := range sent {
			for _, ending := range []Ending{Closed, Reset, Silent} {
				all = append(all, Response{Framing: framing, Body: body, Sent: n, Ending: ending})
			}
		}
	}
	return all
}

// String returns the framing, the number of bytes that are sent, and the ending.
func (b Response) String() string {
	return fmt.Sprintf("%s/%d/%s", b.Framing, b.Sent, b.Ending)
}

// LooksComplete reports whether a reader takes the response for complete: its whole length was
// sent, or it ends with its connection, the connection is closed and not reset, and, in a stream
// of events, the last event is complete.
func (b Response) LooksComplete(stream bool) bool {
	switch b.Framing {
	case conns.Length:
		return b.Sent == len(b.Body)
	case conns.UntilClose:
		return b.Ending == Closed && (!stream || strings.HasSuffix(b.Body[:b.Sent], "\n\n"))
	}
	return false
}

// Send writes the response to c and closes c. A silent response ends when the other side
// closes the connection, or after silentTimeout.
func (b Response) Send(c net.Conn) error {
	header := b.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	part := b.Body[:b.Sent]
	switch b.Framing {
	case conns.Length:
		header.Set("Content-Length", strconv.Itoa(len(b.Body)))
	case conns.Chunked:
		header.Set("Transfer-Encoding", "chunked")
		if part != "" {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
	}
	err := writeResponse(c, header, part)
	switch b.Ending {
	case Reset:
		time.Sleep(resetDelay)
		if t, ok := c.(*net.TCPConn); ok {
			err = errors.Join(err, t.SetLinger(0))
		}
	case Silent:
		err = errors.Join(err, c.SetReadDeadline(time.Now().Add(silentTimeout)))
		// The error is the end of the connection or the timeout.
		_, _ = c.Read(make([]byte, 1))
	}
	return errors.Join(err, c.Close())
}

// writeResponse writes a response with status 200.
func writeResponse(w io.Writer, h http.Header, body string) error {
	var message bytes.Buffer
	message.WriteString("HTTP/1.1 200 OK\r\n")
	if err := h.Write(&message); err != nil {
		return err
	}
	message.WriteString("\r\n" + body)
	_, err := w.Write(message.Bytes())
	return err
}

// Server is a backend server that breaks off the response to the first request, or all responses.
type Server struct {
	// Response is the response that is broken off.
	Response Response
	// Header returns the headers of a response other than Content-Length and
	// Transfer-Encoding. If Header is nil, there are none.
	Header func(*http.Request) http.Header
	// Rest returns the bodies of the other responses. If Rest is nil, all responses are broken
	// off, so that requests of other clients, which may still dial a port that was theirs, don't
	// change what the first client of a test receives.
	Rest func(*http.Request) string
	// Requests counts the requests. Servers that share it break off one response together.
	Requests *atomic.Int64
}

// Serve answers one request on each connection until l is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

// serveConn answers the first request on a connection. Errors mean that the daemon has closed
// the connection.
func (s *Server) serveConn(c net.Conn) {
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
	if s.Requests.Add(1) > 1 && s.Rest != nil {
		body := s.Rest(r)
		header.Set("Connection", "close")
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_ = writeResponse(c, header, body)
		return
	}
	response := s.Response
	response.Header = header
	_ = response.Send(c)
}
