package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// TestRevertsVersionForAdapters guards against a plan without moves after the declared
// version of c was loaded on an engine that it fills to the last megabyte, so that no
// adapter fits beside the models there. The engines have enough memory for all declared
// models and adapters.
func TestRevertsVersionForAdapters(t *testing.T) {
	now := time.Unix(10000, 0)
	doc := &envdoc.Document{Weights: envdoc.Weights{Attainment: 8, Moves: 2}, Budgets: envdoc.Budgets{LoadsPerSecond: 14, LoadsAtOnce: 14, AdaptersInTransit: 110}}
	memory := map[string]int64{"a": 14_000, "b": 20_000, "c": 26_000, "d": 32_000}
	for _, name := range []string{"a", "b", "c", "d"} {
		version := "1"
		if name == "c" {
			version = "2"
		}
		doc.Models = append(doc.Models, envdoc.Model{
			Name: name, Version: version, Pool: "pool", MemoryMB: memory[name],
			Adapters: []envdoc.Adapter{{Name: name + "-1", Version: "1", MemoryMB: 180}},
		})
	}
	slot := func(model, adapter, version string, mb int64) ChargedSlot {
		return ChargedSlot{Slot: envdoc.Slot{Model: model, Adapter: adapter, Version: version}, MemoryMB: mb, State: Resident, ChargedAt: now.Add(-time.Hour)}
	}
	engine := func(vm string, slots ...ChargedSlot) Engine {
		return Engine{VM: vm, Pool: "pool", MemoryMB: 60_000, Usable: true, TokensPerSecond: 1000, Slots: slots}
	}
	input := Input{
		Now: now, Document: doc, DataCentre: "dc",
		Engines: []Engine{
			engine("engine-1", slot("c", "", "1", 26_000), slot("c", "c-1", "1", 180), slot("d", "", "1", 32_000), slot("d", "d-1", "1", 180)),
			engine("engine-2", slot("a", "", "1", 14_000), slot("b", "", "1", 20_000), slot("c", "", "2", 26_000)),
		},
	}
	p := NewPlanner()
	plan := p.Plan(input)
	require.NotEmpty(t, plan.Moves, "blocked: %v", plan.Blocked)
	require.Equal(t, Unload, plan.Moves[0].Kind)
	require.Equal(t, envdoc.Slot{Model: "c", Version: "2"}, plan.Moves[0].Slot, "the old version still serves c with its adapter")

	input.Engines[1].Slots = input.Engines[1].Slots[:2]
	input.Now = now.Add(time.Second)
	var loads []string
	for _, m := range p.Plan(input).Moves {
		require.Equal(t, Load, m.Kind)
		loads = append(loads, m.Slot.String())
	}
	require.ElementsMatch(t, []string{"a/a-1@1", "b/b-1@1"}, loads, "the new version of c must wait until its load leaves memory for the adapters")
}

// TestEvictsOneOfTwoOldVersions requires that a plan unloads an old version of a model to
// make room for the declared version when two old versions share an engine with the only
// adapter. The adapter stays usable beside the other old version.
func TestEvictsOneOfTwoOldVersions(t *testing.T) {
	f := smallInput(1, 6, 2)
	m := &f.Document.Models[0]
	m.Version = "3"
	residentSlot := func(s envdoc.Slot, mb int64) ChargedSlot { return ChargedSlot{Slot: s, MemoryMB: mb, State: Resident} }
	f.Engines[0].Slots = []ChargedSlot{
		residentSlot(envdoc.Slot{Model: "m0", Version: "1"}, 2), residentSlot(envdoc.Slot{Model: "m0", Version: "2"}, 2),
		residentSlot(envdoc.Slot{Model: "m0", Adapter: "a0", Version: "1"}, 1),
	}
	runUntilSettled(t, NewPlanner(), &f)
	require.Equal(t, 1, resident(f, envdoc.Slot{Model: "m0", Version: "3"}), "%+v", f.Engines[0].Slots)
	require.Len(t, f.Engines[0].Slots, 2, "only the declared version and its adapter must remain")
}
