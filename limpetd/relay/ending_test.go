package relay

import (
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
