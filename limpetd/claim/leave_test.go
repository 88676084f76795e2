package claim

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// TestLeavingWaitsForBackgroundClosing closes a claim while the table is down, and
// then leaves. Leave must wait until the claim is closed: a claim left open by a
// daemon that has left is never closed, and repeats of its call are refused for
// good.
func TestLeavingWaitsForBackgroundClosing(t *testing.T) {
	var down atomic.Bool
	table := &fakes.Table{Fault: func(int) fakes.Fault {
		if down.Load() {
			return fakes.Unavailable
		}
		return fakes.NoFault
	}}
	withDaemons(t, table, func(t *testing.T, daemons []*Claims) {
		c, err := daemons[0].Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		down.Store(true)
		c.Hold.Close(t.Context(), Outcome{Status: 201})
		time.AfterFunc(outage, func() { down.Store(false) })
		start := time.Now()
		require.NoError(t, daemons[0].Leave(t.Context()))
		require.GreaterOrEqual(t, time.Since(start), outage)
		again, err := daemons[1].Claim(t.Context(), testCall("k"))
		require.NoError(t, err)
		require.Equal(t, 201, again.Stored.Status)
	})
}
