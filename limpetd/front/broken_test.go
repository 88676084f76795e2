package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// ending is how a server stops sending a response.
type ending string

const (
	// closed ends the connection with FIN, reset with RST. silent keeps it open.
	closed ending = "fin"
	reset  ending = "rst"
	silent ending = "silence"
)

// brokenResponse is a response that a server breaks off.
type brokenResponse struct {
	framing conns.Framing
	// whole is the complete body; the server sends only the first sent bytes of it.
	whole string
	sent  int
	end   ending
}

// start starts a server that answers the first of all requests with the broken response and
// the others, from the event after the header Last on, with the rest of the body.
func (b brokenResponse) start(t *testing.T, requests *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				if requests.Add(1) == 1 {
					b.send(c.(*net.TCPConn), r.Header.Get("Id"))
					return
				}
				rest := b.whole
				if last := r.Header.Get("Last"); last != "" {
					_, rest, _ = strings.Cut(b.whole, "data: e"+last+"\n\n")
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(rest), rest)
			}()
		}
	}()
	return l.Addr().String()
}

// send writes the broken response and ends the connection.
func (b brokenResponse) send(c *net.TCPConn, id string) {
	message := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: 1\r\nContent-Type: text/event-stream\r\n"
	part := b.whole[:b.sent]
	switch b.framing {
	case conns.Length:
		message += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(b.whole), part)
	case conns.Chunked:
		message += "Transfer-Encoding: chunked\r\n\r\n"
		if part != "" {
			message += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
	default:
		message += "\r\n" + part
	}
	_, _ = io.WriteString(c, message)
	switch b.end {
	case reset:
		// A server that crashes resets its connections some time after its last bytes.
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	case silent:
		_, _ = c.Read(make([]byte, 1))
	}
}

// received is what a caller received.
type received struct {
	status int
	body   string
	// complete is whether the response is complete by its framing.
	complete bool
}

// callRaw sends a call in the given version of HTTP and reads the response.
func (fx *fixture) callRaw(t *testing.T, protocol, method string) received {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(fx.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "%s /r/1 %s\r\nHost: 127.0.0.1\r\nId: x1\r\nModel: m\r\n\r\n", method, protocol)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return received{}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.False(t, errors.Is(err, net.ErrClosed))
	return received{response.StatusCode, string(body), err == nil}
}

// streamKind and callKind are routes to one server. Their timeout ends the silent responses.
var (
	streamKind = layout.Route{Kind: layout.Stream, MaxAttempts: 1, ToEngines: true, Expectation: time.Second, Timeout: 500 * time.Millisecond}
	callKind   = layout.Route{Kind: layout.Idempotent, MaxAttempts: 1, Timeout: 500 * time.Millisecond}
)

// TestStreamWithoutEventsIsNotComplete guards against a stream that is forwarded as complete
// because its connection was closed before the first event.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	fx := newFixtureWithServers(t, nil, streamKind, brokenResponse{framing: conns.UntilClose, whole: eventText(0, 3), end: closed}.start(t, &atomic.Int64{}))
	got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
	require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
}

// TestResetStreamIsNotComplete guards against a stream that is forwarded as complete because
// the error of a reset connection was lost.
func TestResetStreamIsNotComplete(t *testing.T) {
	for _, events := range []int{0, 2} {
		b := brokenResponse{framing: conns.UntilClose, whole: eventText(0, 3), sent: len(eventText(0, events-1)), end: reset}
		got := newFixtureWithServers(t, nil, streamKind, b.start(t, &atomic.Int64{})).callRaw(t, "HTTP/1.1", http.MethodGet)
		require.False(t, got.complete && got.status == http.StatusOK, "%d events: %+v", events, got)
	}
}

// TestBrokenStreamIsNotCompleteForHTTP10 guards against a broken response whose end a caller
// that uses HTTP/1.0 takes for complete, because its connection was closed without an error.
func TestBrokenStreamIsNotCompleteForHTTP10(t *testing.T) {
	b := brokenResponse{framing: conns.Chunked, whole: eventText(0, 3), sent: len(eventText(0, 1)), end: reset}
	got := newFixtureWithServers(t, nil, streamKind, b.start(t, &atomic.Int64{})).callRaw(t, "HTTP/1.0", http.MethodGet)
	require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
}

// TestBrokenResponseLooksBroken breaks off responses of each framing at each point. A response
// that ends with its connection is complete if the server closes the connection and, in a
// stream, the last event is complete.
func TestBrokenResponseLooksBroken(t *testing.T) {
	stream := eventText(0, 3)
	call := strings.Repeat("x", 600)
	inside := strings.Index(stream, "data: e2") + 3
	for _, c := range []struct {
		name  string
		route layout.Route
		whole string
		sent  []int
	}{
		{"stream", streamKind, stream, []int{0, 5, len(eventText(0, 0)) - 1, len(eventText(0, 0)), len(eventText(0, 1)), inside, len(stream) - 1}},
		{"call", callKind, call, []int{0, 1, len(call) - 1}},
	} {
		for _, framing := range []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose} {
			for _, sent := range c.sent {
				for _, end := range []ending{closed, reset, silent} {
					for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
						name := fmt.Sprintf("%s/%s/%d/%s/%s", c.name, framing, sent, end, protocol)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							part := c.whole[:sent]
							ended := framing == conns.UntilClose && end == closed &&
								(c.name == "call" || strings.HasSuffix(part, "\n\n"))
							b := brokenResponse{framing: framing, whole: c.whole, sent: sent, end: end}
							got := newFixtureWithServers(t, nil, c.route, b.start(t, &atomic.Int64{})).callRaw(t, protocol, http.MethodGet)
							require.Equal(t, ended, got.complete && got.status == http.StatusOK, "%+v", got)
							if ended {
								require.Equal(t, part, got.body)
							}
						})
					}
				}
			}
		}
	}
}

// TestBrokenStreamIsResumed breaks off streams of each framing at each point; the caller gets
// each event once.
func TestBrokenStreamIsResumed(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second}
	stream := eventText(0, 3)
	for _, framing := range []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose} {
		for _, sent := range []int{0, 5, len(eventText(0, 1)), len(stream) - 1} {
			for _, end := range []ending{closed, reset} {
				if framing == conns.UntilClose && end == closed && sent == len(eventText(0, 1)) {
					continue // complete by the framing
				}
				t.Run(fmt.Sprintf("%s/%d/%s", framing, sent, end), func(t *testing.T) {
					t.Parallel()
					b := brokenResponse{framing: framing, whole: stream, sent: sent, end: end}
					requests := &atomic.Int64{}
					fx := newFixtureWithServers(t, nil, route, b.start(t, requests), b.start(t, requests))
					got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
					require.True(t, got.complete, "%+v", got)
					require.Equal(t, stream, got.body)
				})
			}
		}
	}
}
