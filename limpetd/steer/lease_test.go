package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
)

// TestWeakVMWaitsFromWhenLeaseBecomesFree guards against counting the delay from the last
// read of the lease, which may be long ago if there was a lease holder since.
func TestWeakVMWaitsFromWhenLeaseBecomesFree(t *testing.T) {
	var d leaseDeferral
	now := time.Unix(100, 0)
	require.Equal(t, lease.Wait, d.apply(lease.Wait, true, now))
	d.reset()
	now = now.Add(30 * time.Second)
	require.Equal(t, lease.Wait, d.apply(lease.Acquire, true, now))
	require.Equal(t, lease.Wait, d.apply(lease.Acquire, true, now.Add(weakVMDelay-1)))
	require.Equal(t, lease.Acquire, d.apply(lease.Acquire, true, now.Add(weakVMDelay)))
	require.Equal(t, lease.Acquire, d.apply(lease.Acquire, false, now))
}

// TestOnlyDeclaredModelsAreCounted guards against reports that grow with the model names of
// callers, which can name any model.
func TestOnlyDeclaredModelsAreCounted(t *testing.T) {
	s := &Controller{nextReport: newReportBuilder(), reportNow: make(chan struct{}, 1), config: &layout.Config{Services: map[string]*layout.Service{
		"s": {Engines: &layout.Engines{Models: []layout.Model{{Name: "m"}}}},
	}}}
	for _, model := range []string{"m", "other"} {
		s.RecordCall("s", model, "", 1)
		s.RequestLoad("s", model, "")
	}
	require.Equal(t, []modelKey{{Service: "s", Model: "m"}}, s.nextReport.take("vm").Models)
}
