package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
)

// startCounted starts a server that answers each request without a length if unframed is set, and counts its open
// connections.
func startCounted(t *testing.T, unframed bool) (conns.Target, *atomic.Int64) {
	t.Helper()
	open := &atomic.Int64{}
	target, _ := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if unframed {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n\r\nok")
				return
			}
			_, _ = io.WriteString(c, encodeResponse(id, "ok"))
		}
	})
	return target, open
}

// TestEndedPoolKeepsNoConnections guards against connections that stay open because the pool that would have closed
// them has ended.
func TestEndedPoolKeepsNoConnections(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		target, open := startCounted(t, unframed)
		ctx, cancel := context.WithCancel(t.Context())
		p := conns.New(ctx)
		for i := range 2 {
			body, err := exchange(t, p, target, "a")
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.Eventually(t, func() bool { return i > 0 || open.Load() == 1 }, 5*time.Second, time.Millisecond)
			cancel()
			if err := p.Wait(); err != nil {
				require.ErrorIs(t, err, context.Canceled)
			}
			require.Eventually(t, func() bool { return open.Load() == 0 }, time.Second, time.Millisecond, "unframed: %v", unframed)
		}
	}
}

// TestEndCheckKeepsLimit guards against a check of a response's end that takes the place of a request at the server.
func TestEndCheckKeepsLimit(t *testing.T) {
	target, open := startCounted(t, true)
	p := conns.New(t.Context())
	p.SetLimit(target, 1)
	for range 20 {
		_, err := exchange(t, p, target, "a")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return open.Load() <= 1 }, 5*time.Second, time.Millisecond)
	}
}
