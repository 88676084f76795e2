package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// framings are the framings of the responses of servers.
var framings = []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose}

// writeStream writes the head of a stream and a part of its body, without the rest.
func writeStream(c io.Writer, framing conns.Framing, part, rest string) error {
	head := "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case conns.Length:
		head += "Content-Length: " + strconv.Itoa(len(part)+len(rest)) + "\r\n"
	case conns.Chunked:
		head += "Transfer-Encoding: chunked\r\n"
		if part != "" {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if rest == "" {
			part += "0\r\n\r\n"
		}
	}
	_, err := io.WriteString(c, head+"\r\n"+part)
	return err
}

// hijack returns a handler that passes the connection of its request to serve, and closes it.
func hijack(serve func(net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // fails if the daemon has reset it
		serve(c)
	}
}

// ownEnds are the ways in which a daemon ends a response that has begun. breakOff lets the server reset its connection.
var ownEnds = []struct {
	name    string
	timeout time.Duration
	end     func(t *testing.T, fx *fixture, breakOff func())
}{
	{"stop", 0, func(_ *testing.T, fx *fixture, _ func()) { fx.front.Stop() }},
	{"leave_stop", 0, func(_ *testing.T, fx *fixture, _ func()) {
		fx.front.Leave(time.Now())
		fx.front.Stop()
	}},
	{"close", 0, func(t *testing.T, fx *fixture, _ func()) { require.NoError(t, fx.server.Config.Close()) }},
	{"shutdown_close", 0, func(t *testing.T, fx *fixture, _ func()) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, fx.server.Config.Shutdown(ctx), context.DeadlineExceeded)
		require.NoError(t, fx.server.Config.Close())
	}},
	{"stop_close", 0, func(t *testing.T, fx *fixture, _ func()) {
		fx.front.Stop()
		require.NoError(t, fx.server.Config.Close())
	}},
	{"timeout", silentTimeout, func(*testing.T, *fixture, func()) {}},
	{"key_withdrawn", 0, func(t *testing.T, fx *fixture, breakOff func()) {
		fx.organise(t, nil, false)
		breakOff()
	}},
	{"left_while_resumed", 0, func(_ *testing.T, fx *fixture, breakOff func()) {
		fx.front.Leave(time.Now())
		fx.front.SetServers(nil)
		breakOff()
	}},
	{"servers_gone", 0, func(_ *testing.T, fx *fixture, breakOff func()) {
		fx.front.SetServers(nil)
		breakOff()
	}},
}

// TestStreamThatDaemonEndsIsNotComplete guards against a stream that looks complete because the daemon itself ended it.
func TestStreamThatDaemonEndsIsNotComplete(t *testing.T) {
	const events = 2
	for _, own := range ownEnds {
		for _, framing := range framings {
			for _, caller := range callers {
				t.Run(fmt.Sprintf("%s/%s/%s", own.name, framing, caller.name), func(t *testing.T) {
					t.Parallel()
					broken := make(chan struct{})
					breakOff := sync.OnceFunc(func() { close(broken) })
					route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second, Timeout: own.timeout}
					fx := newFixture(t, route, hijack(func(c net.Conn) {
						// An error means that the daemon has closed the connection.
						_ = writeStream(c, framing, eventText(0, events-1), eventText(events, events))
						<-broken
						_ = c.(*net.TCPConn).SetLinger(0)
					}))
					t.Cleanup(breakOff)
					if own.name == "key_withdrawn" {
						fx.organise(t, map[string]*layout.Organisation{"k": {Name: "o"}}, false)
					}
					response, err := fx.openRaw(t, caller.protocol, http.MethodGet, caller.header, "Api-Key: k\r\n")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					got := make([]byte, len(eventText(0, events-1)))
					_, err = io.ReadFull(response.Body, got)
					require.NoError(t, err)
					require.Equal(t, eventText(0, events-1), string(got))
					own.end(t, fx, breakOff)
					rest, err := io.ReadAll(response.Body)
					require.Error(t, err, "the response looks complete")
					require.Empty(t, rest)
					_ = response.Body.Close()
				})
			}
		}
	}
}

// openSlow sends a call like openRaw on a connection with small buffers, and reads nothing.
func (fx *fixture) openSlow(t *testing.T, protocol, header string) *net.TCPConn {
	t.Helper()
	fx.server = httptest.NewUnstartedServer(fx.front)
	fx.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10) // fails if the caller has gone
		return abort.ConnContext(ctx, c)
	}
	fx.server.Start()
	t.Cleanup(fx.server.Close)
	fx.url = fx.server.URL
	c, err := net.Dial("tcp4", strings.TrimPrefix(fx.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	slow := c.(*net.TCPConn)
	require.NoError(t, slow.SetReadBuffer(64<<10))
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "GET /r/1 %s\r\nHost: 127.0.0.1\r\nId: x1\r\nModel: m\r\n%s\r\n", protocol, header)
	require.NoError(t, err)
	return slow
}

// TestResponseToSlowCallerIsNotComplete guards against a response that looks complete because its caller didn't accept
// it in time, or because the daemon ended before the caller had accepted all of it.
func TestResponseToSlowCallerIsNotComplete(t *testing.T) {
	const events = 1 << 16
	stream := eventText(0, events-1)
	call := strings.Repeat("x", 7<<19)
	for _, way := range []string{"deadline", "close", "stop_close"} {
		for _, framing := range append(framings, "call") {
			for _, caller := range callers {
				t.Run(fmt.Sprintf("%s/%s/%s", way, framing, caller.name), func(t *testing.T) {
					t.Parallel()
					route, whole := streamKind, stream
					handler := hijack(func(c net.Conn) { _ = writeStream(c, framing, stream, "") })
					if framing == "call" {
						if way == "deadline" {
							t.Skip("a buffered response has 15 s")
						}
						route, whole, handler = callKind, call, respond(call)
					}
					if way == "deadline" {
						route.Timeout = silentTimeout
					}
					fx := newFixture(t, route, handler)
					c := fx.openSlow(t, caller.protocol, caller.header)
					ended := func() bool { return fx.logs.FilterMessage("request_ended").Len() == 1 }
					if way != "deadline" {
						require.Eventually(t, func() bool { return fx.front.InFlight() == 1 }, 20*time.Second, time.Millisecond)
						time.Sleep(silentTimeout / 2)
						require.False(t, ended(), "the buffers of the connection hold the response")
					}
					switch way {
					case "deadline":
						require.Eventually(t, ended, 20*time.Second, time.Millisecond)
					case "stop_close":
						fx.front.Stop()
						fallthrough
					case "close":
						require.NoError(t, fx.server.Config.Close())
					}
					response, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						return // The reset came before the head.
					}
					if response.StatusCode != http.StatusOK {
						own := map[string]int{"deadline": http.StatusGatewayTimeout, "stop_close": http.StatusBadGateway}
						require.Equal(t, own[way], response.StatusCode, "the daemon's own answer, if that of the server had not begun")
						return
					}
					got, err := io.ReadAll(response.Body)
					require.Error(t, err, "the response looks complete")
					require.Less(t, len(got), len(whole))
					require.True(t, strings.HasPrefix(whole, string(got)))
					_ = response.Body.Close()
				})
			}
		}
	}
}
