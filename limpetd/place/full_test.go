package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// TestFullEngineMakesRoomForAdapters: the declared version of c came to an
// engine that it fills to the last megabyte, so that no adapter has room beside
// it. There is memory enough for all that is declared, so a plan must not end
// here.
func TestFullEngineMakesRoomForAdapters(t *testing.T) {
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
	held := func(model, adapter, version string, mb int64) Slot {
		return Slot{Slot: envdoc.Slot{Model: model, Adapter: adapter, Version: version}, MemoryMB: mb, State: Resident, Since: now.Add(-time.Hour)}
	}
	engine := func(vm string, slots ...Slot) Engine {
		return Engine{VM: vm, Pool: "pool", MemoryMB: 60_000, Usable: true, TokensPerSecond: 1000, Slots: slots}
	}
	facts := Facts{
		Now: now, Document: doc, DataCentre: "dc",
		Engines: []Engine{
			engine("engine-1", held("c", "", "1", 26_000), held("c", "c-1", "1", 180), held("d", "", "1", 32_000), held("d", "d-1", "1", 180)),
			engine("engine-2", held("a", "", "1", 14_000), held("b", "", "1", 20_000), held("c", "", "2", 26_000)),
		},
	}
	p := NewPlanner()
	plan := p.Plan(facts)
	require.NotEmpty(t, plan.Moves, "blocked: %v", plan.Blocked)
	require.Equal(t, Unload, plan.Moves[0].Kind)
	require.Equal(t, envdoc.Slot{Model: "c", Version: "2"}, plan.Moves[0].Slot, "the old version serves c with its adapter")

	facts.Engines[1].Slots = facts.Engines[1].Slots[:2]
	facts.Now = now.Add(time.Second)
	var loads []string
	for _, m := range p.Plan(facts).Moves {
		require.Equal(t, Load, m.Kind)
		loads = append(loads, m.Slot.String())
	}
	require.ElementsMatch(t, []string{"a/a-1@1", "b/b-1@1"}, loads, "the changed version waits until it leaves room")
}

// TestOldVersionsMakeRoom: two old versions of a model share an engine with its
// only adapter. One of them goes for the declared version.
func TestOldVersionsMakeRoom(t *testing.T) {
	f := small(1, 6, 2)
	m := &f.Document.Models[0]
	m.Version = "3"
	charged := func(s envdoc.Slot, mb int64) Slot { return Slot{Slot: s, MemoryMB: mb, State: Resident} }
	f.Engines[0].Slots = []Slot{
		charged(envdoc.Slot{Model: "m0", Version: "1"}, 2), charged(envdoc.Slot{Model: "m0", Version: "2"}, 2),
		charged(envdoc.Slot{Model: "m0", Adapter: "a0", Version: "1"}, 1),
	}
	settle(t, NewPlanner(), &f)
	require.Equal(t, 1, resident(f, envdoc.Slot{Model: "m0", Version: "3"}), "%+v", f.Engines[0].Slots)
	require.Len(t, f.Engines[0].Slots, 2, "the declared version and its adapter")
}
