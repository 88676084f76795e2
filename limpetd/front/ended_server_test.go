package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// startEnding starts a server that reads the first request, answers it without a length by a part of the body, and then
// ends as a process that is killed: its listener is closed, and then its connections.
func startEnding(t *testing.T, contentType, part string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: 1\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("Id"), contentType, part)
		time.Sleep(20 * time.Millisecond)
		_ = l.Close()
		_ = c.Close()
	}()
	return l.Addr().String()
}

// TestStreamOfEndedServerIsNotComplete guards against a stream without length and chunks that is forwarded as complete
// because its server has ended.
func TestStreamOfEndedServerIsNotComplete(t *testing.T) {
	fx := newFixtureWithServers(t, nil, streamKind, startEnding(t, "text/event-stream", eventText(0, 1)))
	got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
	require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
}

// TestCallOfEndedServerIsNotComplete guards against a part of a response that is forwarded as complete because its server
// has ended.
func TestCallOfEndedServerIsNotComplete(t *testing.T) {
	fx := newFixtureWithServers(t, nil, callKind, startEnding(t, "text/plain", "part"))
	got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
	require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
}

// TestStreamWithoutContinuationIsNotComplete guards against a stream that is forwarded as complete after it broke off,
// because the server that was to continue it sent no events and ended its response properly.
func TestStreamWithoutContinuationIsNotComplete(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second}
	stream := eventText(0, 3)
	for _, framing := range []conns.Framing{conns.Chunked, conns.Length, conns.UntilClose} {
		t.Run(string(framing), func(t *testing.T) {
			requests := &atomic.Int64{}
			start := func() string {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { require.NoError(t, l.Close()) })
				go serveWithoutContinuation(l, requests, framing, stream[:len(eventText(0, 0))])
				return l.Addr().String()
			}
			got := newFixtureWithServers(t, nil, route, start(), start()).callRaw(t, "HTTP/1.1", http.MethodGet)
			require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
		})
	}
}

// serveWithoutContinuation breaks off the first response after a part, and answers the others properly without events.
func serveWithoutContinuation(l net.Listener, requests *atomic.Int64, framing conns.Framing, part string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			_ = c.Close()
			continue
		}
		header := http.Header{"Id": {r.Header.Get("Id")}, "Stamp": {"1"}, "Content-Type": {"text/event-stream"}}
		if requests.Add(1) == 1 {
			_ = broken.Response{Framing: conns.Chunked, Header: header, Body: part + "more", Sent: len(part), Ending: broken.Reset}.Send(c)
			continue
		}
		var head strings.Builder
		_ = header.Write(&head)
		end := map[conns.Framing]string{conns.Chunked: "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", conns.Length: "Content-Length: 0\r\n\r\n", conns.UntilClose: "\r\n"}[framing]
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head.String()+end)
		_ = c.Close()
	}
}
