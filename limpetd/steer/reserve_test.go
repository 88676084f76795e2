package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

func TestDaemonAsksTheSteererForTimeOfAnEngine(t *testing.T) {
	l, e := newLeases(), newEngines()
	holder, other := pair(t, l, e)
	require.Eventually(t, func() bool {
		g, err := other.Reserve(t.Context(), sched.Ask{Service: "s", Model: "m"})
		return err == nil && g.Server == "e1"
	}, patience, 5*time.Millisecond)
	g, err := holder.Reserve(t.Context(), sched.Ask{Service: "s", Model: "m"})
	require.NoError(t, err)
	require.Equal(t, "e1", g.Server)
	other.Sampled(sched.Sample{Service: "s", Model: "m", Tokens: 10, Took: time.Millisecond})
	other.Streamed("s", true)
	require.Eventually(t, func() bool {
		holder.listener.mu.Lock()
		defer holder.listener.mu.Unlock()
		return holder.listener.learned == 1 && holder.listener.paused == 1
	}, patience, 5*time.Millisecond)
	holder.stop()
	require.Eventually(t, func() bool {
		_, err := other.Reserve(t.Context(), sched.Ask{Service: "s", Model: "m"})
		return err != nil || other.Holds()
	}, patience, time.Millisecond)
}

// TestAskOfASteererThatIsSilentTakesLittleTime: calls do not wait for a steerer that was
// suspended, and after two of them in a row none does.
func TestAskOfASteererThatIsSilentTakesLittleTime(t *testing.T) {
	l, e := newLeases(), newEngines()
	holder, other := pair(t, l, e)
	require.Eventually(t, func() bool {
		_, err := other.Reserve(t.Context(), sched.Ask{Service: "s", Model: "m"})
		return err == nil
	}, patience, 5*time.Millisecond)
	holder.listener.freeze.Lock()
	defer holder.listener.freeze.Unlock()
	begin := time.Now()
	for range 20 {
		_, err := other.Reserve(t.Context(), sched.Ask{Service: "s", Model: "m"})
		require.Error(t, err)
	}
	require.Less(t, time.Since(begin), 400*time.Millisecond)
}
