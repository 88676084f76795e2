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
	target, open, _ := startUnframedWith(t, unframed, "")
	return target, open
}

// startUnframedWith is startCounted with header lines, and also counts the accepted connections.
func startUnframedWith(t *testing.T, unframed bool, lines string) (target conns.Target, open, accepted *atomic.Int64) {
	t.Helper()
	open = &atomic.Int64{}
	target, accepted = startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if unframed {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n"+lines+"\r\nok")
				return
			}
			_, _ = io.WriteString(c, encodeResponse(id, "ok"))
		}
	})
	return target, open, accepted
}

// TestEndedPoolKeepsNoConnections guards against connections that stay open because the pool that would have closed
// them has ended.
func TestEndedPoolKeepsNoConnections(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		// The connection of a response without a length ends with it.
		kept := int64(1)
		if unframed {
			kept = 0
		}
		target, open := startCounted(t, unframed)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p := conns.New(ctx)
		for i := range 2 {
			body, err := exchange(t, p, target, "a")
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.Eventually(t, func() bool { return i > 0 || open.Load() == kept }, 5*time.Second, time.Millisecond)
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

// TestCheckCarriesNoRequest guards against a request on a connection that the check of a response's end opened, and that
// the server closes at this moment, and against a server that waits for a request on it.
func TestCheckCarriesNoRequest(t *testing.T) {
	const checks = 2
	for _, lines := range []string{"", "Keep-Alive: timeout=9\r\n", "Keep-Alive: timeout=0\r\n"} {
		target, open, accepted := startUnframedWith(t, true, lines)
		p := conns.New(t.Context())
		for i := range int64(2) {
			_, err := exchange(t, p, target, "a")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return accepted.Load() == (i+1)*(1+checks) && open.Load() == 0 }, time.Second, time.Millisecond, lines)
		}
	}
}

// endingDialer ends a call when a second connection is opened.
type endingDialer struct {
	conns.Dialer
	dials atomic.Int64
	end   context.CancelFunc
}

func (d *endingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.dials.Add(1) > 1 {
		d.end()
		<-ctx.Done()
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// TestResponseWithoutEndCheckIsNotComplete guards against a part of a response that counts as complete because its call
// ended while the server was being checked.
func TestResponseWithoutEndCheckIsNotComplete(t *testing.T) {
	target, _ := startCounted(t, true)
	ctx, cancel := context.WithCancel(t.Context())
	p := conns.New(t.Context(), conns.WithDialer(&endingDialer{Dialer: conns.ServerDialer(), end: cancel}))
	c, err := p.Get(ctx, target, time.Second)
	require.NoError(t, err)
	defer c.Close()
	defer c.Bind(ctx)()
	r := newRequest("a")
	require.NoError(t, c.Write(r))
	response, err := c.ReadHead(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	for range 2 {
		_, err = io.ReadAll(response.Body)
		require.ErrorIs(t, err, context.Canceled)
	}
}
