package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/steer"
)

// TestLeaseHolderChargesQuotas guards against quotas that are charged by a daemon whose lease has ended, use that the
// lease holder does not learn of, and parts of quotas that are used twice.
func TestLeaseHolderChargesQuotas(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	ask := sched.ReservationRequest{Service: "s", Model: "m", Organisation: "a", Charge: 3}
	charged := func() bool {
		g, err := other.Reserve(t.Context(), ask)
		return err == nil && g.Charged
	}
	require.Eventually(t, charged, waitTimeout, 5*time.Millisecond)
	holder.router.mu.Lock()
	require.Equal(t, 1, holder.router.starts)
	holder.router.mu.Unlock()
	for _, d := range []*daemon{holder, other} {
		d.router.mu.Lock()
		d.router.used = map[string]float64{"a": 5}
		d.router.mu.Unlock()
	}
	require.Eventually(t, func() bool {
		holder.router.mu.Lock()
		defer holder.router.mu.Unlock()
		return holder.router.charged["a"] == 10 && holder.router.connected == 1
	}, waitTimeout, 5*time.Millisecond)
	members := []steer.Member{holder.member, other.member, {VM: "third"}}
	holder.SetMembers(members)
	require.Eventually(t, func() bool {
		holder.router.mu.Lock()
		defer holder.router.mu.Unlock()
		return holder.router.connected > 0.6 && holder.router.connected < 0.7
	}, waitTimeout, 5*time.Millisecond)

	l.mu.Lock()
	l.down["one"], l.down["two"] = true, true
	l.mu.Unlock()
	require.Eventually(t, func() bool { return !charged() }, waitTimeout, 5*time.Millisecond)
	require.True(t, holder.IsLeaseHolder(), "it still chooses servers")
	g, err := holder.Reserve(t.Context(), ask)
	require.NoError(t, err)
	require.False(t, g.Charged)
	l.mu.Lock()
	clear(l.down)
	l.mu.Unlock()
	require.Eventually(t, charged, waitTimeout, 5*time.Millisecond)
}

// TestNewLeaseHolderStartsEmpty guards against a new lease holder that charges buckets that it filled before.
func TestNewLeaseHolderStartsEmpty(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	holder.stop()
	require.Eventually(t, func() bool {
		g, err := other.Reserve(t.Context(), sched.ReservationRequest{Service: "s", Model: "m", Organisation: "a", Charge: 3})
		return other.IsLeaseHolder() && err == nil && g.Charged
	}, waitTimeout, 5*time.Millisecond)
	other.router.mu.Lock()
	defer other.router.mu.Unlock()
	require.Equal(t, 1, other.router.starts)
}
