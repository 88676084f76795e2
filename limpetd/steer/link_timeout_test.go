package steer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// acceptedConns is a listener that passes on the connections that it accepts.
type acceptedConns struct {
	net.Listener
	conns chan net.Conn
}

func (l *acceptedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns <- c
	}
	return c, err
}

// openLinks is a lease holder whose links stay open.
type openLinks struct{}

func (openLinks) handleLink(s grpc.ServerStream) error {
	<-s.Context().Done()
	return s.Context().Err()
}

func (openLinks) admit([]string, string) error { return nil }

func (openLinks) handleReserve(sched.ReservationRequest) (sched.Reservation, error) {
	return sched.Reservation{}, nil
}

// TestLinkOfDeadDaemonEnds guards against a lease holder that counts the links of daemons that have lost power, and
// goes on without the store because of them: gRPC sets a TCP_USER_TIMEOUT of 20 s by itself, which also decides when
// keep-alive probes give up.
func TestLinkOfDeadDaemonEnds(t *testing.T) {
	config := net.ListenConfig{KeepAliveConfig: conns.KeepAlive()}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := &acceptedConns{Listener: l, conns: make(chan net.Conn, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serveLinks(ctx, accepted, openLinks{}) }()
	stream, conn, err := dialLink(ctx, Member{Address: l.Addr().String()}, Member{})
	require.NoError(t, err)
	require.NoError(t, stream.SendMsg(daemonReport{}))
	raw, err := (<-accepted.conns).(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	timeout := func() time.Duration {
		var ms int
		require.NoError(t, raw.Control(func(fd uintptr) {
			ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}))
		require.NoError(t, err)
		return time.Duration(ms) * time.Millisecond
	}
	require.Eventually(t, func() bool { return timeout() > 0 }, time.Second, time.Millisecond)
	require.Equal(t, linkUserTimeout, timeout())
	cancel()
	require.NoError(t, <-served)
	_ = conn.Close()
}

// slowLinks is a lease holder whose handler of a link goes on after the link has ended, until serveLinks has returned
// or for a second.
type slowLinks struct {
	openLinks
	entered, returned chan struct{}
	late              chan bool
}

func (h slowLinks) handleLink(s grpc.ServerStream) error {
	close(h.entered)
	<-s.Context().Done()
	select {
	case <-h.returned:
		h.late <- true
	case <-time.After(time.Second):
		h.late <- false
	}
	return s.Context().Err()
}

// TestLinksAreWaitedFor guards against handlers of links that go on after the controller has ended: they start
// goroutines, which panics then.
func TestLinksAreWaitedFor(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h := slowLinks{entered: make(chan struct{}), returned: make(chan struct{}), late: make(chan bool, 1)}
	go func() {
		defer close(h.returned)
		_ = serveLinks(ctx, l, h)
	}()
	stream, conn, err := dialLink(t.Context(), Member{Address: l.Addr().String()}, Member{})
	require.NoError(t, err)
	require.NoError(t, stream.SendMsg(daemonReport{}))
	<-h.entered
	cancel()
	require.False(t, <-h.late, "the handler was still running when serveLinks returned")
	<-h.returned
	_ = conn.Close()
}
