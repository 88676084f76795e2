package relay

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
)

// TestResetThatAWriteMeetsIsNoEnd guards against an answer that looks complete because a write took the error of the
// reset that ended its connection.
func TestResetThatAWriteMeetsIsNoEnd(t *testing.T) {
	for _, dial := range []DialFunc{dialTCP, (&net.Dialer{}).DialContext} {
		r := New(Deps{}, WithDial(dial))
		require.ErrorIs(t, broken.ReadAfterReset(t.Context(), r.services.transport.DialContext), syscall.ECONNRESET)
	}
}

// TestCallOnFailedConnectionIsNotSent guards against a call that counts as sent because the connection of an earlier call,
// whose write failed, was used again.
func TestCallOnFailedConnectionIsNotSent(t *testing.T) {
	var c *writeCountingConn
	dial := New(Deps{}).services.transport.DialContext
	require.ErrorIs(t, broken.ReadAfterReset(t.Context(), func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		c, _ = conn.(*writeCountingConn)
		return conn, err
	}), syscall.ECONNRESET)
	c.begin()
	before := c.writes.Load()
	_, err := c.Write([]byte("x"))
	require.Error(t, err)
	require.Equal(t, before, c.writes.Load())
}
