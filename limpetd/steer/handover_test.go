package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeaseHolderWithoutServersIsReplaced guards against a lease holder that can't send orders, because it has
// lost its paths to servers, while another daemon can.
func TestLeaseHolderWithoutServersIsReplaced(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	holder.paths.cutOff.Store(true)
	require.Eventually(t, other.IsLeaseHolder, 4*time.Second, 5*time.Millisecond)
	require.False(t, holder.IsLeaseHolder())
	require.Eventually(t, func() bool {
		syncMembers(l, holder, other)()
		holder.RequestLoad("s", "m", "a1")
		return holder.router.holds("e1", "m/a1")
	}, waitTimeout, 20*time.Millisecond, "the daemon that is cut off keeps a link to the new lease holder")
}

// TestLeaseIsKeptIfAllAreCutOff guards against a fleet without a lease holder, which grants reservations and passes
// the tables on, because no daemon reaches the servers.
func TestLeaseIsKeptIfAllAreCutOff(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	other.paths.cutOff.Store(true)
	time.Sleep(time.Second)
	holder.paths.cutOff.Store(true)
	require.Never(t, func() bool { return !holder.IsLeaseHolder() }, 3*time.Second, 20*time.Millisecond)
}
