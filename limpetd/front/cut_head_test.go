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

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// cutHeads are heads of responses to the call x1, with what servers may send before them.
var cutHeads = []struct{ name, method, head string }{
	{"length", http.MethodGet, "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Length: 0\r\n\r\n"},
	{"stream", http.MethodGet, "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"no_length", http.MethodGet, "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nConnection: close\r\n\r\n"},
	{"http_1.0", http.MethodGet, "HTTP/1.0 200 OK\r\nId: x1\r\nStamp: 1\r\n\r\n"},
	{"line_feeds", http.MethodGet, "HTTP/1.1 200 OK\nId: x1\nStamp: 1\nContent-Length: 0\n\n"},
	{"after_100", http.MethodGet, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Length: 0\r\n\r\n"},
	{"after_103", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nStamp: 1\r\nId: x1\r\n\r\nHTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Length: 0\r\n\r\n"},
	{"head", http.MethodHead, "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Length: 14\r\n\r\n"},
	{"no_content", http.MethodGet, "HTTP/1.1 204 No Content\r\nId: x1\r\nStamp: 1\r\n\r\n"},
	{"not_modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: x1\r\nStamp: 1\r\n\r\n"},
	{"not_run", http.MethodGet, "HTTP/1.1 503 Service Unavailable\r\nId: x1\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"},
}

// startCutting starts a server that sends a part of a head, whose size is sent, and ends the connection, by a reset if
// resets is set.
func startCutting(t *testing.T, head string, sent *atomic.Int64, resets *atomic.Bool) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, head[:sent.Load()])
			}
			if resets.Load() {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestAnswerWithCutHeadIsNoSuccess guards against a server that ends its connection in the middle of a head, and whose
// caller gets a success with an empty or short body. conns TestCutHeadIsAnError cuts heads at each byte.
func TestAnswerWithCutHeadIsNoSuccess(t *testing.T) {
	resumable := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true}
	unsafeCall := layout.Route{Kind: layout.Unsafe, MaxAttempts: 1}
	for _, h := range cutHeads {
		for name, c := range map[string]struct {
			route   layout.Route
			servers int
		}{
			"stream": {streamKind, 1}, "resumable": {resumable, 2}, "call": {callKind, 1}, "repeated": {layout.Route{Kind: layout.Idempotent, MaxAttempts: 2}, 2}, "unsafe": {unsafeCall, 1},
		} {
			t.Run(h.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				var resets atomic.Bool
				var addresses []string
				for range c.servers {
					addresses = append(addresses, startCutting(t, h.head, &sent, &resets))
				}
				fx := newFixtureWithServers(t, nil, c.route, addresses...)
				for i := 0; i < len(h.head); i += 3 {
					caller := callers[i%len(callers)]
					sent.Store(int64(i))
					resets.Store(i/len(callers)%2 == 0)
					got := fx.callRaw(t, caller.protocol, h.method, caller.header)
					require.False(t, got.complete && got.status < http.StatusBadRequest, "%d bytes, caller %s: %+v", i, caller.name, got)
					require.NotEqual(t, http.StatusServiceUnavailable, got.status, "%d bytes: the call may have run", i)
				}
			})
		}
	}
}

// TestCutHeadIsFollowedByTheNextServer guards against parts of a cut head in the answer of the next server.
func TestCutHeadIsFollowedByTheNextServer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: x1\r\nStamp: 1\r\nContent-Length: 5\r\n\r\nwhole"
	for i := range strings.Index(whole, "whole") {
		var requests, sent atomic.Int64
		sent.Store(int64(i))
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, l.Close()) })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					part := whole
					if requests.Add(1) == 1 {
						part = whole[:sent.Load()]
					}
					_, _ = io.WriteString(c, part)
				}
				_ = c.Close()
			}
		}()
		address := l.Addr().String()
		fx := newFixtureWithServers(t, nil, layout.Route{Kind: layout.Idempotent, MaxAttempts: 2}, address, address)
		require.Equal(t, received{http.StatusOK, "whole", true}, fx.callRaw(t, "HTTP/1.1", http.MethodGet), fmt.Sprint(i, " bytes"))
		require.EqualValues(t, 2, requests.Load())
	}
}
