package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/lease"
)

// TestOneLeaseHolderAfterRestore guards against two lease holders, and against a lower fencing
// number, after the store was restored from a copy without the lease or with an earlier one.
func TestOneLeaseHolderAfterRestore(t *testing.T) {
	for name, restored := range map[string]lease.Row{
		"no lease":                 {},
		"earlier holder":           {VM: "two", Instance: "two-1", Fence: 1},
		"lease of an ended daemon": {VM: "gone", Instance: "gone-1", Fence: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, e := newLeaseStore(), newEngines()
			one := startDaemon(t, l, e, "one", 1)
			require.Eventually(t, one.IsLeaseHolder, waitTimeout, 5*time.Millisecond)
			two := startDaemon(t, l, e, "two", 1)
			require.Eventually(t, syncMembers(l, one, two), waitTimeout, 5*time.Millisecond)
			before := l.fence()
			l.restore(restored, 7)
			require.False(t, one.IsLeaseHolder(), "the lease is lost with the data of the store")
			// Nobody may take the lease while a daemon without contact could trust it.
			require.Never(t, func() bool { return one.IsLeaseHolder() || two.IsLeaseHolder() }, 1500*time.Millisecond, time.Millisecond)
			require.Eventually(t, func() bool {
				syncMembers(l, one, two)()
				a, b := one.IsLeaseHolder(), two.IsLeaseHolder()
				require.False(t, a && b)
				return a || b
			}, waitTimeout, time.Millisecond)
			require.Greater(t, l.fence(), before)
		})
	}
}
