package order

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

// TestExplainUsesRememberedDemand requires that the explained plan follows the demand
// of the past minutes, and that Explain does not change the planner.
func TestExplainUsesRememberedDemand(t *testing.T) {
	now := time.Unix(1e9, 0)
	engine := func(vm string, slots ...place.ChargedSlot) place.Engine {
		return place.Engine{VM: vm, MemoryMB: 100, Usable: true, TokensPerSecond: 1000, Slots: slots}
	}
	f := place.Input{
		Now: now, Document: &envdoc.Document{Models: []envdoc.Model{{Name: "a", Version: "1", MemoryMB: 20}}},
		Engines: []place.Engine{
			engine("e1", place.ChargedSlot{Slot: envdoc.Slot{Model: "a", Version: "1"}, MemoryMB: 20, State: place.Resident}), engine("e2"), engine("e3"),
		},
		Demand:    []member.ModelDemand{{Model: "a", PerSecond: 1, TokensPerSecond: 1600}},
		Saturated: true,
	}
	p := place.NewPlanner()
	require.Empty(t, p.Plan(f).Moves, "loads for demand wait while the weight store is saturated")
	f.Now, f.Demand, f.Saturated = now.Add(5*time.Second), nil, false
	o := &Controller{loop: &loop{planner: p}, lastInput: &f}
	for range 2 {
		plan, err := o.Explain(context.Background())
		require.NoError(t, err)
		require.Len(t, plan.Moves, 1)
		require.Equal(t, place.RuleDemand, plan.Moves[0].Rule)
	}
	require.Equal(t, p.Plan(f).Moves[0].Engine, "e2")
}
