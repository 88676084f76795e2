package claim

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// TestLeavingWaitsForLateClosing lets a daemon leave while the table is down: no
// claim may be left open behind it.
func TestLeavingWaitsForLateClosing(t *testing.T) {
	var down atomic.Bool
	table := &fakes.Table{Fault: func(int) fakes.Fault {
		if down.Load() {
			return fakes.Down
		}
		return fakes.None
	}}
	inBubble(t, table, func(t *testing.T, daemons []*Claims) {
		c, err := daemons[0].Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		down.Store(true)
		c.Hold.Close(t.Context(), Outcome{Status: 201})
		time.AfterFunc(outage, func() { down.Store(false) })
		began := time.Now()
		require.NoError(t, daemons[0].Leave(t.Context()))
		require.GreaterOrEqual(t, time.Since(began), outage)
		again, err := daemons[1].Claim(t.Context(), callOf("k"))
		require.NoError(t, err)
		require.Equal(t, 201, again.Stored.Status)
	})
}
