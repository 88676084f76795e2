package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// callers are the versions of HTTP, with header lines, by which responses end differently.
var callers = []string{"HTTP/1.1", "HTTP/1.1\r\nConnection: close", "HTTP/1.0", "HTTP/1.0\r\nConnection: keep-alive"}

// TestResponseThatDaemonEndsIsNotComplete guards against a response that looks complete because the daemon shut its
// server down or closed it, or because the caller didn't accept the response in time.
func TestResponseThatDaemonEndsIsNotComplete(t *testing.T) {
	const writeTimeout = 300 * time.Millisecond
	body := strings.Repeat("x", 24<<20)
	for _, way := range []string{"close", "shutdown", "slow_caller"} {
		for _, framing := range []conns.Framing{conns.Length, conns.Chunked, conns.UntilClose} {
			for i, caller := range callers {
				t.Run(fmt.Sprintf("%s/%s/%d", way, framing, i), func(t *testing.T) {
					t.Parallel()
					s := broken.Response{Framing: framing, Body: body, Sent: 64 << 10, Ending: broken.Silent}
					if way == "slow_caller" {
						s.Sent = len(body)
					}
					g := startGate(t, testConfig{doc: testDocument(), config: Config{WriteTimeout: writeTimeout}, services: []string{startBroken(t, s, "text/plain")}})
					c, err := net.Dial("tcp4", strings.TrimPrefix(g.url, "http://"))
					require.NoError(t, err)
					t.Cleanup(func() { _ = c.Close() })
					require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
					_, err = fmt.Fprintf(c, "GET /services/app/schedule/x %s\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", caller, appKey)
					require.NoError(t, err)
					if way == "slow_caller" {
						require.Eventually(t, func() bool { return g.gate.InFlight() > 0 }, waitTimeout, time.Millisecond)
						require.Eventually(t, func() bool { return g.gate.InFlight() == 0 }, waitTimeout, time.Millisecond)
					}
					response, err := http.ReadResponse(bufio.NewReader(c), nil)
					if way == "slow_caller" && err != nil {
						return // The reset came before the head.
					}
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					if way == "shutdown" {
						ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
						defer cancel()
						require.ErrorIs(t, g.server.Config.Shutdown(ctx), context.DeadlineExceeded)
					}
					if way != "slow_caller" {
						require.NoError(t, g.server.Config.Close())
					}
					got, err := io.Copy(io.Discard, response.Body)
					require.Error(t, err, "the response looks complete")
					require.Less(t, got, int64(len(body)))
					_ = response.Body.Close()
				})
			}
		}
	}
}

// TestGeneratedStreamOfClosedServerIsNotComplete guards against a generated stream that looks complete because the
// daemon closed its server.
func TestGeneratedStreamOfClosedServerIsNotComplete(t *testing.T) {
	for _, caller := range callers {
		engines := &fakes.Generator{Tokens: 3, Block: true, Script: func(_ int, _ string, frames []engine.Frame) []engine.Frame { return frames[:1] }}
		g := startGate(t, testConfig{doc: testDocument(), engines: engines})
		c, err := net.Dial("tcp4", strings.TrimPrefix(g.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
		_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", batch.PathChat, caller, appKey, len(streamBody), streamBody)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_, err = io.ReadFull(response.Body, make([]byte, len("data: ")))
		require.NoError(t, err)
		require.NoError(t, g.server.Config.Close())
		rest, err := io.ReadAll(response.Body)
		require.Error(t, err, caller)
		require.NotContains(t, string(rest), "[DONE]")
		_ = response.Body.Close()
	}
}
