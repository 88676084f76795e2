package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// small returns facts with models of the given sizes and empty engines.
func small(engines int, memoryMB int64, sizes ...int64) Facts {
	f := Facts{Now: time.Unix(1e9, 0), DataCentre: "dc1", Document: &envdoc.Document{Weights: envdoc.Weights{Attainment: 5, Moves: 5}}}
	for i, s := range sizes {
		f.Document.Models = append(f.Document.Models, envdoc.Model{
			Name: fmt.Sprintf("m%d", i), Version: "1", Pool: "pool", MemoryMB: s,
			Adapters: []envdoc.Adapter{{Name: fmt.Sprintf("a%d", i), Version: "1", MemoryMB: 1}},
		})
	}
	for i := range engines {
		f.Engines = append(f.Engines, Engine{VM: fmt.Sprintf("e%d", i), Pool: "pool", MemoryMB: memoryMB, Usable: true, TokensPerSecond: 1000})
	}
	return f
}

// changed returns a copy of the document with other versions.
func changed(doc *envdoc.Document, version string, models ...int) *envdoc.Document {
	next := *doc
	next.Models = append([]envdoc.Model(nil), doc.Models...)
	for _, k := range models {
		next.Models[k].Version = version
	}
	return &next
}

// TestStepsKeepReachable draws versions, demand, adapters and the order in which
// engines finish: a model that was resident stays so, no engine is charged more
// than it has, and two planners with the same facts agree.
func TestStepsKeepReachable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.Int64Range(10, 40), 2, 8).Draw(rt, "sizes")
		f := small(rapid.IntRange(2, 4).Draw(rt, "engines"), 100, sizes...)
		for k := range sizes {
			if rapid.Bool().Draw(rt, "bare") {
				f.Document.Models[k].Adapters = nil
			}
		}
		p, twin := NewPlanner(), NewPlanner()
		held := map[string]bool{}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			f.Now = f.Now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "seconds")) * time.Second)
			if rapid.IntRange(0, 9).Draw(rt, "change") == 0 {
				k := rapid.IntRange(0, len(sizes)-1).Draw(rt, "model")
				f.Document = changed(f.Document, fmt.Sprint(f.Now.Unix()), k)
			}
			f.Demand = []member.ModelDemand{{
				Model:           fmt.Sprintf("m%d", rapid.IntRange(0, len(sizes)-1).Draw(rt, "busy")),
				TokensPerSecond: float64(rapid.IntRange(0, 3000).Draw(rt, "tokens")), PerSecond: 1,
				Queued: rapid.IntRange(0, 5).Draw(rt, "queued"),
			}}
			plan := p.Plan(f)
			require.Equal(rt, plan, twin.Plan(f))
			begin(&f, plan)
			require.Empty(rt, over(f))
			for i := range f.Engines {
				if rapid.Bool().Draw(rt, "finish") {
					finish(&f.Engines[i])
				}
			}
			for _, m := range f.Document.Models {
				now := reachable(f, m.Name)
				require.False(rt, held[m.Name] && !now, "%s lost by %+v", m.Name, plan.Moves)
				held[m.Name] = now
			}
		}
	})
}

// TestNoMoveWhileNothingChanges requires that a placement at rest stays at rest.
func TestNoMoveWhileNothingChanges(t *testing.T) {
	f := large(90, 9)
	p := NewPlanner()
	settle(t, p, &f)
	for range 100 {
		f.Now = f.Now.Add(time.Second)
		require.Empty(t, p.Plan(f).Moves)
	}
	for _, m := range f.Document.Models {
		require.True(t, reachable(f, m.Name))
	}
}

// TestFragmentedMemory needs one model moved to make room for a larger one.
func TestFragmentedMemory(t *testing.T) {
	f := small(2, 100, 30, 30, 60)
	for i := range 2 {
		m := f.Document.Models[i]
		f.Engines[i].Slots = []Slot{{Slot: envdoc.Slot{Model: m.Name, Version: "1"}, MemoryMB: 30, State: Resident}}
	}
	f.Document.Models[2].MemoryMB = 80
	p := NewPlanner()
	first := p.Plan(f)
	require.Equal(t, RuleRelocate, first.Moves[0].Rule)
	settle(t, p, &f)
	require.True(t, reachable(f, "m2"))
	require.True(t, reachable(f, "m0") && reachable(f, "m1"))
}

// TestBlockedIsNamed requires that what finds no room is named.
func TestBlockedIsNamed(t *testing.T) {
	f := small(1, 100, 60, 60)
	p := NewPlanner()
	settle(t, p, &f)
	plan := p.Plan(f)
	require.Len(t, plan.Blocked, 1)
	require.Equal(t, code.MemoryExceeded, plan.Blocked[0].Code)
}

// TestDemandNeedsGain raises demand: a little makes no move, much makes a replica,
// and the demand's end takes none away.
func TestDemandNeedsGain(t *testing.T) {
	f := small(3, 100, 20, 20)
	p := NewPlanner()
	settle(t, p, &f)
	ask := func(tokens float64, queued int) Plan {
		f.Now = f.Now.Add(2 * time.Minute)
		f.Demand = []member.ModelDemand{{Model: "m0", PerSecond: 1, TokensPerSecond: tokens, Queued: queued}}
		return p.Plan(f)
	}
	require.Empty(t, ask(780, 0).Moves)
	plan := ask(1600, 3)
	require.Len(t, plan.Moves, 1)
	require.Equal(t, RuleBurst, plan.Moves[0].Rule)
	require.Greater(t, plan.Moves[0].Gain, plan.Moves[0].Cost)
	carry(&f, plan)
	for range 50 {
		require.Empty(t, ask(10, 0).Moves)
	}
}

// TestWeightsDecide requires that a document that weighs moves more makes fewer.
func TestWeightsDecide(t *testing.T) {
	count := func(w envdoc.Weights) int {
		f := large(60, 6)
		f.Document.Weights = w
		p := NewPlanner()
		settle(t, p, &f)
		moves := 0
		for i := range 200 {
			f.Now = f.Now.Add(30 * time.Second)
			f.Demand = append([]member.ModelDemand(nil), f.Demand...)
			f.Demand[i%60].TokensPerSecond = 9000
			f.Demand[(i+50)%60].TokensPerSecond = 100
			plan := p.Plan(f)
			moves += len(plan.Moves)
			carry(&f, plan)
		}
		return moves
	}
	attainment := count(envdoc.Weights{Attainment: 8, Moves: 2})
	moves := count(envdoc.Weights{Attainment: 2, Moves: 8})
	t.Logf("%d moves for attainment, %d for moves", attainment, moves)
	require.Less(t, moves, attainment)
}

// TestHomeKeepsModel gives a model that no data centre holds the place of one
// that its own home holds.
func TestHomeKeepsModel(t *testing.T) {
	f := small(1, 100, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60)
	f.Remotes = []Remote{{DataCentre: "dc2"}}
	p := NewPlanner()
	p.refresh(f)
	homes := map[string]envdoc.Model{}
	for _, m := range p.index.models {
		home := *m.Model
		home.Adapters = nil
		homes[m.home] = home
	}
	require.Len(t, homes, 2)
	f.Document = &envdoc.Document{Models: []envdoc.Model{homes["dc1"], homes["dc2"]}}
	own, guest := 0, 1
	name := f.Document.Models[guest].Name
	f.Engines[0].Slots = []Slot{{Slot: envdoc.Slot{Model: name, Version: "1"}, MemoryMB: 60, State: Resident}}
	require.Empty(t, p.Plan(f).Moves, "the guest is the only one of its model")
	f.Remotes[0].Models = []string{name}
	settle(t, p, &f)
	require.True(t, reachable(f, f.Document.Models[own].Name))
}

func TestFit(t *testing.T) {
	engines := []store.VM{
		{ID: "e0", Kind: store.KindEngine, Pool: "pool", MemoryMB: 100},
		{ID: "e1", Kind: store.KindEngine, Pool: "pool", MemoryMB: 100},
		{ID: "e2", Kind: store.KindEngine, Pool: "other", MemoryMB: 1000},
	}
	require.NoError(t, Fit(small(0, 0, 60, 60, 35, 35).Document, engines))
	err := Fit(small(0, 0, 60, 60, 45).Document, engines)
	require.Equal(t, code.DocumentUnfit, code.Of(err))
	require.Contains(t, err.Error(), "m2")
	many := small(0, 0, 40).Document
	many.Models[0].MinReplicas = 3
	require.ErrorContains(t, Fit(many, engines), "2 of 3 replicas")
	wide := small(0, 0, 40).Document
	for i := range 3 {
		wide.Models[0].Adapters = append(wide.Models[0].Adapters, envdoc.Adapter{Name: fmt.Sprint("b", i), Version: "1", MemoryMB: 40})
	}
	require.ErrorContains(t, Fit(wide, engines), "adapter b2")
}

// TestSizeOfTwoYears requires that plans at the size of 900 models
// reach rest, with every model and adapter placed.
func TestSizeOfTwoYears(t *testing.T) {
	f := large(900, 86)
	settle(t, NewPlanner(), &f)
	for _, m := range f.Document.Models {
		require.True(t, reachable(f, m.Name))
		for _, a := range m.Adapters {
			require.Positive(t, resident(f, envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: "1"}))
		}
	}
}
