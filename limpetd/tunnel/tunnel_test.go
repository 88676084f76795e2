package tunnel_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/tunnel"
)

// waitTimeout limits each wait for an expected state.
const waitTimeout = 5 * time.Second

// lossyDialer refuses or hangs while its path is lost.
type lossyDialer struct {
	net.Dialer
	refuses, hangs atomic.Bool
}

func (d *lossyDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch {
	case d.refuses.Load():
		return nil, syscall.ECONNREFUSED
	case d.hangs.Load():
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// daemon is a daemon that grants tunnels.
type daemon struct {
	direct *lossyDialer
	dialer *tunnel.Dialer
	server *tunnel.Server
	peer   tunnel.Peer
	end    context.CancelFunc
}

// startDaemon starts a daemon that knows a server with the given address.
func startDaemon(t *testing.T, vm, server string, opts ...tunnel.Option) *daemon {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	d := &daemon{direct: &lossyDialer{}, peer: tunnel.Peer{VM: vm, Address: l.Addr().String()}, end: cancel}
	peers := conns.NewDialer(conns.WithReset())
	d.dialer = tunnel.New(ctx, tunnel.Deps{VM: vm, Direct: d.direct, Peers: &peers, Log: zap.NewNop(), Scope: tally.NoopScope}, opts...)
	d.dialer.SetServers([]string{server})
	d.server = tunnel.Serve(ctx, l, d.dialer, zap.NewNop())
	t.Cleanup(func() {
		cancel()
		for _, wait := range []func() error{d.server.Wait, d.dialer.Wait} {
			if err := wait(); err != nil {
				require.ErrorIs(t, err, context.Canceled)
			}
		}
	})
	return d
}

// startServer starts a server that runs serve for each connection, and returns its address.
func startServer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// echo answers what it reads until the other side closes its connection.
func echo(c net.Conn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

// dial connects to an address by a daemon.
func dial(t *testing.T, d *daemon, address string) net.Conn {
	t.Helper()
	c, err := d.dialer.DialContext(t.Context(), "tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a text and requires that it comes back.
func roundTrip(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

func TestLostPathIsReplacedAndUsedAgain(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		server := startServer(t, echo)
		var dropped atomic.Int64
		a := startDaemon(t, "a", server, tunnel.WithOnLost(func(string) { dropped.Add(1) }))
		b := startDaemon(t, "b", server)
		a.dialer.SetPeers([]tunnel.Peer{b.peer})
		roundTrip(t, dial(t, a, server), "direct")
		require.Zero(t, b.server.Open())
		if hangs {
			a.direct.hangs.Store(true)
		} else {
			a.direct.refuses.Store(true)
		}
		c := dial(t, a, server)
		roundTrip(t, c, string(make([]byte, 100_000)))
		require.Equal(t, 1, b.server.Open())
		require.Eventually(t, a.dialer.CutOff, waitTimeout, time.Millisecond)
		require.Equal(t, hangs, a.dialer.Hangs(server))
		if hangs {
			// The path counts as lost before the connections are dropped.
			require.Eventually(t, func() bool { return dropped.Load() > 0 }, waitTimeout, time.Millisecond, "idle connections are dropped")
		} else {
			require.Zero(t, dropped.Load(), "idle connections live on")
		}
		start := time.Now()
		roundTrip(t, dial(t, a, server), "at once")
		require.Less(t, time.Since(start), 100*time.Millisecond, "a lost path is not tried first")
		a.direct.refuses.Store(false)
		a.direct.hangs.Store(false)
		require.Eventually(t, func() bool { return !a.dialer.CutOff() }, waitTimeout, time.Millisecond)
		roundTrip(t, c, "still open")
	}
}

// TestServerThatRefusesAllIsDown guards against taking the end of a server for a lost path.
func TestServerThatRefusesAllIsDown(t *testing.T) {
	server := startServer(t, echo)
	a, b, c := startDaemon(t, "a", server), startDaemon(t, "b", server), startDaemon(t, "c", server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer, c.peer})
	for _, d := range []*daemon{a, b, c} {
		d.direct.refuses.Store(true)
	}
	_, err := a.dialer.DialContext(t.Context(), "tcp4", server)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.False(t, a.dialer.CutOff())
	b.direct.refuses.Store(false)
	require.Eventually(t, func() bool {
		_, err := a.dialer.DialContext(t.Context(), "tcp4", server)
		return err == nil
	}, waitTimeout, time.Millisecond)
}

// TestRefusalOfPartitionIsNoEvidence guards against the verdict of a daemon that is cut off itself, also on a server
// to which it does not know its path to be lost.
func TestRefusalOfPartitionIsNoEvidence(t *testing.T) {
	server, other := startServer(t, echo), startServer(t, echo)
	a, b, c := startDaemon(t, "a", server), startDaemon(t, "b", server), startDaemon(t, "c", server)
	for _, d := range []*daemon{a, b} {
		d.dialer.SetServers([]string{server, other})
		d.direct.refuses.Store(true)
	}
	b.dialer.SetPeers([]tunnel.Peer{c.peer})
	dial(t, b, server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer})
	for _, address := range []string{other, server} {
		_, err := a.dialer.DialContext(t.Context(), "tcp4", address)
		require.Error(t, err)
		require.NotErrorIs(t, err, syscall.ECONNREFUSED)
	}
}

func TestOnlyServersAreReached(t *testing.T) {
	server, other := startServer(t, echo), startServer(t, echo)
	a, b := startDaemon(t, "a", server), startDaemon(t, "b", server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer})
	a.dialer.SetServers([]string{server, other})
	a.direct.refuses.Store(true)
	_, err := a.dialer.DialContext(t.Context(), "tcp4", other)
	require.Error(t, err)
	require.Zero(t, b.server.Open())
}

// TestTunnelDoesNotLookComplete guards against a response that only the end of its connection ends and
// that is cut short: by the server, and by the end of the daemon that grants the tunnel.
func TestTunnelDoesNotLookComplete(t *testing.T) {
	ends := make(chan func(net.Conn), 1)
	server := startServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "part")
		(<-ends)(c)
	})
	for name, end := range map[string]func(net.Conn){
		"complete": func(c net.Conn) { _ = c.Close() },
		"reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"daemon": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startDaemon(t, "a", server), startDaemon(t, "b", server)
			a.dialer.SetPeers([]tunnel.Peer{b.peer})
			a.direct.refuses.Store(true)
			c := dial(t, a, server)
			part := make([]byte, 4)
			_, err := io.ReadFull(c, part)
			require.NoError(t, err)
			ends <- end
			if name == "daemon" {
				b.end()
			}
			_, err = io.ReadAll(c)
			require.Equal(t, name == "complete", err == nil, "%v", err)
		})
	}
}

// TestClosedTunnelCancelsAtServer guards against work of a server for callers that have left.
func TestClosedTunnelCancelsAtServer(t *testing.T) {
	ended := make(chan error, 1)
	server := startServer(t, func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	a, b := startDaemon(t, "a", server), startDaemon(t, "b", server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer})
	a.direct.refuses.Store(true)
	c := dial(t, a, server)
	_, err := io.WriteString(c, "request")
	require.NoError(t, err)
	start := time.Now()
	require.NoError(t, c.Close())
	require.Error(t, <-ended)
	require.Less(t, time.Since(start), 500*time.Millisecond)
	require.Eventually(t, func() bool { return b.server.Open() == 0 }, waitTimeout, time.Millisecond)
}

// TestLeavingDaemonGrantsNoTunnels guards against idle tunnels that are used when their daemon ends, and
// against requests in flight that are cut off.
func TestLeavingDaemonGrantsNoTunnels(t *testing.T) {
	server := startServer(t, echo)
	a, b := startDaemon(t, "a", server), startDaemon(t, "b", server)
	a.dialer.SetPeers([]tunnel.Peer{b.peer})
	a.direct.refuses.Store(true)
	idle := dial(t, a, server).(*tunnel.Conn)
	require.True(t, idle.NoInput())
	busy := dial(t, a, server)
	b.server.Leave()
	require.Eventually(t, func() bool { return !idle.NoInput() }, waitTimeout, time.Millisecond)
	_, err := a.dialer.DialContext(t.Context(), "tcp4", server)
	require.Error(t, err)
	roundTrip(t, busy, "goes on")
	require.False(t, busy.(*tunnel.Conn).NoInput(), "not used again")
}
