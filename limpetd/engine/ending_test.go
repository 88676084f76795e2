package engine

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
)

// TestResetThatAWriteMeetsIsNoEnd guards against a response that looks complete because a write took the error of the
// reset that ended its connection.
func TestResetThatAWriteMeetsIsNoEnd(t *testing.T) {
	require.ErrorIs(t, broken.ReadAfterReset(t.Context(), NewClient().transport.DialContext), syscall.ECONNRESET)
}
