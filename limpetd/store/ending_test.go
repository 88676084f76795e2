package store

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
)

// TestResetThatAWriteMeetsIsNoEnd guards against an object that looks complete because a write took the error of the
// reset that ended its connection.
func TestResetThatAWriteMeetsIsNoEnd(t *testing.T) {
	c := NewClient("")
	require.NotNil(t, c.transport.DialContext)
	require.ErrorIs(t, broken.ReadAfterReset(t.Context(), c.transport.DialContext), syscall.ECONNRESET)
}
