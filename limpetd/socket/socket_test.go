package socket_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/socket"
)

// connect returns a connection and its peer.
func connect(t *testing.T) (*socket.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	d := socket.NewDialer(net.Dialer{Timeout: time.Second})
	c, err := d.DialContext(t.Context(), "tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	peer, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return c.(*socket.Conn), peer.(*net.TCPConn)
}

// reset resets the connection of a peer, and waits until the reset has arrived.
func reset(t *testing.T, c *socket.Conn, peer *net.TCPConn) {
	t.Helper()
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
}

// TestResetIsNoEnd guards against a read that returns the end of the data after another call has met a reset.
func TestResetIsNoEnd(t *testing.T) {
	for call, meet := range map[socket.Call]func(c *socket.Conn){
		socket.Peek:  func(c *socket.Conn) { require.False(t, c.NoInput()) },
		socket.Write: func(c *socket.Conn) { _, _ = c.Write(make([]byte, 1)) },
		socket.Read:  func(c *socket.Conn) { _, _ = c.Read(make([]byte, 1)) },
	} {
		c, peer := connect(t)
		reset(t, c, peer)
		meet(c)
		for range 2 {
			_, err := io.ReadAll(c)
			require.ErrorIs(t, err, syscall.ECONNRESET, call)
		}
		met, err := c.FirstError()
		require.Equal(t, call, met)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// TestDataBeforeResetIsRead guards against losing an answer that arrived before the reset that a write met.
func TestDataBeforeResetIsRead(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, "answer")
	require.NoError(t, err)
	reset(t, c, peer)
	_, err = c.Write(make([]byte, 1))
	require.Error(t, err)
	got, err := io.ReadAll(c)
	require.Equal(t, "answer", string(got))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestEndBeforeResetIsEnd guards against a whole answer without a length that counts as broken because its server closed
// the connection before it had read the request, whose rest is then answered by a reset.
func TestEndBeforeResetIsEnd(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, "answer")
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	reset(t, c, peer)
	for range 2 {
		_, err = c.Write(make([]byte, 1))
		require.ErrorIs(t, err, syscall.EPIPE)
	}
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "answer", string(got))
}

// TestCallsBesideEachOtherMeetTheError guards against a read that returns the end of the data while other reads, writes
// and peeks meet the reset, or while the connection is closed.
func TestCallsBesideEachOtherMeetTheError(t *testing.T) {
	for i := range 60 {
		c, peer := connect(t)
		_, err := peer.Write(make([]byte, 1000))
		require.NoError(t, err)
		ended := make(chan error, 2)
		var calls sync.WaitGroup
		for range cap(ended) {
			calls.Go(func() {
				_, err := io.Copy(io.Discard, c)
				ended <- err
			})
			calls.Go(func() {
				for err := error(nil); err == nil; {
					c.NoInput()
					_, err = c.Write(make([]byte, 1<<20))
				}
			})
		}
		time.Sleep(time.Duration(i%5) * time.Millisecond)
		want := error(syscall.ECONNRESET)
		if i%2 == 0 {
			reset(t, c, peer)
		} else {
			want = net.ErrClosed
			require.NoError(t, c.Close())
		}
		for range cap(ended) {
			require.ErrorIs(t, <-ended, want)
		}
		calls.Wait()
	}
}
