package link_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/link"
)

// startEchoServer starts a server that returns the bytes that it receives, and
// returns the server's address.
func startEchoServer(t *testing.T) string {
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
				// The copy ends when the connection is closed.
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// roundTrip sends a byte and waits until the byte returns or timeout ends.
func roundTrip(t *testing.T, c net.Conn, timeout time.Duration) error {
	t.Helper()
	require.NoError(t, c.SetDeadline(time.Now().Add(timeout)))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestFaultsAndClearFaults applies Hold, SetDelay and Reset in turn. Held bytes must pass
// after ClearFaults, and new connections must work after Reset.
func TestFaultsAndClearFaults(t *testing.T) {
	l, err := link.Start(startEchoServer(t))
	require.NoError(t, err)
	defer l.Cut()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", l.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	c := dial()
	require.NoError(t, roundTrip(t, c, 5*time.Second))
	for _, direction := range [][2]bool{{true, false}, {false, true}} {
		l.Hold(direction[0], direction[1])
		require.ErrorIs(t, roundTrip(t, c, 150*time.Millisecond), os.ErrDeadlineExceeded)
		require.NoError(t, l.ClearFaults())
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err, "held bytes must pass after Heal")
	}
	l.SetDelay(60 * time.Millisecond)
	start := time.Now()
	require.NoError(t, roundTrip(t, c, 5*time.Second))
	require.GreaterOrEqual(t, time.Since(start), 120*time.Millisecond)
	require.NoError(t, l.ClearFaults())
	l.Reset()
	require.Error(t, roundTrip(t, c, 5*time.Second))
	require.NoError(t, roundTrip(t, dial(), 5*time.Second), "new connections must work after Reset")
}

// TestResetIsPassedOn guards against a link that turns the reset of a connection into its
// proper end.
func TestResetIsPassedOn(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	forward, err := link.Start(l.Addr().String())
	require.NoError(t, err)
	defer forward.Cut()
	client, err := net.Dial("tcp4", forward.Address())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	_, err = server.Write([]byte("part"))
	require.NoError(t, err)
	_, err = io.ReadFull(client, make([]byte, 4))
	require.NoError(t, err)
	require.NoError(t, server.(*net.TCPConn).SetLinger(0))
	require.NoError(t, server.Close())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_ = client.Close()
}

// TestResetIsNotAProperEnd guards against a reset of the link that reaches one of the ends as the
// proper end of the connection.
func TestResetIsNotAProperEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	for i := range 300 {
		forward, err := link.Start(l.Addr().String())
		require.NoError(t, err)
		client, err := net.Dial("tcp4", forward.Address())
		require.NoError(t, err)
		server, err := l.Accept()
		require.NoError(t, err)
		_, err = server.Write([]byte("part"))
		require.NoError(t, err)
		_, err = io.ReadFull(client, make([]byte, 4))
		require.NoError(t, err)
		if i%2 == 0 {
			forward.Reset()
		} else {
			forward.Cut()
		}
		for _, c := range []net.Conn{client, server} {
			_, err = c.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET, "connection %d", i)
			_ = c.Close()
		}
		forward.Cut()
	}
}

// TestCutLinkKeepsItsPort guards against a link that can't be restored because another connection has its port.
func TestCutLinkKeepsItsPort(t *testing.T) {
	l, err := link.Start(startEchoServer(t))
	require.NoError(t, err)
	l.Cut()
	t.Cleanup(l.Cut)
	_, port, err := net.SplitHostPort(l.Address())
	require.NoError(t, err)
	other, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", port))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, other.Close()) })
	require.NoError(t, l.ClearFaults())
}
