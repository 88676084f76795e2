package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestReservationsAndMeasurementsReachLeaseHolder also checks that reservations fail, or are
// made by the other daemon as the new lease holder, after the lease holder has stopped.
func TestReservationsAndMeasurementsReachLeaseHolder(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	require.Eventually(t, func() bool {
		g, err := other.Reserve(t.Context(), sched.ReservationRequest{Service: "s", Model: "m"})
		return err == nil && g.Server == "e1"
	}, waitTimeout, 5*time.Millisecond)
	g, err := holder.Reserve(t.Context(), sched.ReservationRequest{Service: "s", Model: "m"})
	require.NoError(t, err)
	require.Equal(t, "e1", g.Server)
	other.RecordSample(sched.Sample{Service: "s", Model: "m", Tokens: 10, Took: time.Millisecond})
	other.RecordStream("s", true)
	require.Eventually(t, func() bool {
		holder.router.mu.Lock()
		defer holder.router.mu.Unlock()
		return holder.router.samples == 1 && holder.router.paused == 1
	}, waitTimeout, 5*time.Millisecond)
	holder.stop()
	require.Eventually(t, func() bool {
		_, err := other.Reserve(t.Context(), sched.ReservationRequest{Service: "s", Model: "m"})
		return err != nil || other.IsLeaseHolder()
	}, waitTimeout, time.Millisecond)
}

// TestReserveFailsFastWhenLeaseHolderIsSilent guards against calls that wait for a suspended
// lease holder: each request times out, and after two consecutive failures none is sent.
func TestReserveFailsFastWhenLeaseHolderIsSilent(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	require.Eventually(t, func() bool {
		_, err := other.Reserve(t.Context(), sched.ReservationRequest{Service: "s", Model: "m"})
		return err == nil
	}, waitTimeout, 5*time.Millisecond)
	holder.router.freeze.Lock()
	defer holder.router.freeze.Unlock()
	begin := time.Now()
	for range 20 {
		_, err := other.Reserve(t.Context(), sched.ReservationRequest{Service: "s", Model: "m"})
		require.Error(t, err)
	}
	require.Less(t, time.Since(begin), 400*time.Millisecond)
	holder.router.freezeUpdates.Lock()
	defer holder.router.freezeUpdates.Unlock()
	time.Sleep(time.Second)
	begin = time.Now()
	for range 20 {
		_, err := other.Reserve(t.Context(), sched.ReservationRequest{Organisation: "a", Charge: 1})
		require.Error(t, err)
	}
	require.Less(t, time.Since(begin), 400*time.Millisecond, "charges don't wait for a lease holder that is silent")
}
