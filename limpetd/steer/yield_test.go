package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
)

// TestWeakVMWaitsFromWhenTheLeaseIsFree: the wait used to count from the last look at the
// lease, which may be long ago while a steerer is there.
func TestWeakVMWaitsFromWhenTheLeaseIsFree(t *testing.T) {
	var y yield
	now := time.Unix(100, 0)
	require.Equal(t, lease.Wait, y.next(lease.Wait, true, now))
	y.linked()
	now = now.Add(30 * time.Second)
	require.Equal(t, lease.Wait, y.next(lease.Take, true, now))
	require.Equal(t, lease.Wait, y.next(lease.Take, true, now.Add(weakDelay-1)))
	require.Equal(t, lease.Take, y.next(lease.Take, true, now.Add(weakDelay)))
	require.Equal(t, lease.Take, y.next(lease.Take, false, now))
}

// TestOnlyDeclaredModelsAreCounted: callers can name any model.
func TestOnlyDeclaredModelsAreCounted(t *testing.T) {
	s := &Steerer{counts: newCounts(), urgent: make(chan struct{}, 1), config: &layout.Config{Services: map[string]*layout.Service{
		"s": {Engines: &layout.Engines{Models: []layout.Model{{Name: "m"}}}},
	}}}
	for _, model := range []string{"m", "other"} {
		s.Used("s", model, "", 1)
		s.Want("s", model, "")
	}
	require.Equal(t, []slot{{Service: "s", Model: "m"}}, s.counts.take("vm").Slots)
}
