package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestReportBeforeUnloadDoesNotShowResidence guards against treating a slot as resident
// because of a report that was measured before the unload of the slot. Reports lag, so
// such a report may arrive after the unload and does not show a later load.
func TestReportBeforeUnloadDoesNotShowResidence(t *testing.T) {
	slot := envdoc.Slot{Model: "m", Adapter: "a", Version: "1"}
	now := time.Unix(1000, 0)
	e := newEngineView(store.VM{ID: "engine-1"})
	report := func(sequence int64, measured time.Time) {
		e.accept(engine.Report{
			Instance: "i", Sequence: sequence, MeasuredAt: measured, MemoryMB: 1, Slots: []envdoc.Slot{slot},
		}, measured, measured)
	}
	report(1, now)
	require.True(t, e.resident(slot, now))
	now = now.Add(2 * time.Second)
	e.recordConfirmation("1", engine.Order{Kind: engine.OrderUnload, Slot: slot}, engine.OrderResult{Instance: "i"}, now)
	require.False(t, e.resident(slot, now))
	report(2, now.Add(-time.Second))
	require.False(t, e.resident(slot, now))
	report(3, now.Add(time.Second))
	require.True(t, e.resident(slot, now))
}
