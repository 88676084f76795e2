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

// smallInput returns an input with empty engines and models of the given sizes, each with
// one adapter of 1 MB.
func smallInput(engines int, memoryMB int64, sizes ...int64) Input {
	f := Input{Now: time.Unix(1e9, 0), DataCentre: "dc1", Document: &envdoc.Document{Weights: envdoc.Weights{Attainment: 5, Moves: 5}}}
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

// withVersion returns a copy of the document with another version of some models.
func withVersion(doc *envdoc.Document, version string, models ...int) *envdoc.Document {
	next := *doc
	next.Models = append([]envdoc.Model(nil), doc.Models...)
	for _, k := range models {
		next.Models[k].Version = version
	}
	return &next
}

// TestPlansKeepModelsReachable draws versions, demand, adapters and the order in which
// engines finish moves. A model that was resident must stay resident, no engine may be
// charged for more memory than it has, and two planners with the same inputs must return
// the same plans.
func TestPlansKeepModelsReachable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.Int64Range(10, 40), 2, 8).Draw(rt, "sizes")
		f := smallInput(rapid.IntRange(2, 4).Draw(rt, "engines"), 100, sizes...)
		for k := range sizes {
			if rapid.Bool().Draw(rt, "bare") {
				f.Document.Models[k].Adapters = nil
			}
		}
		p, other := NewPlanner(), NewPlanner()
		wasReachable := map[string]bool{}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			f.Now = f.Now.Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "seconds")) * time.Second)
			if rapid.IntRange(0, 9).Draw(rt, "change") == 0 {
				k := rapid.IntRange(0, len(sizes)-1).Draw(rt, "model")
				f.Document = withVersion(f.Document, fmt.Sprint(f.Now.Unix()), k)
			}
			f.Demand = []member.ModelDemand{{
				Model:           fmt.Sprintf("m%d", rapid.IntRange(0, len(sizes)-1).Draw(rt, "busy")),
				TokensPerSecond: float64(rapid.IntRange(0, 3000).Draw(rt, "tokens")), PerSecond: 1,
				Queued: rapid.IntRange(0, 5).Draw(rt, "queued"),
			}}
			plan := p.Plan(f)
			require.Equal(rt, plan, other.Plan(f))
			startPlan(&f, plan)
			require.Empty(rt, overcommitted(f))
			for i := range f.Engines {
				if rapid.Bool().Draw(rt, "finish") {
					finishMoves(&f.Engines[i])
				}
			}
			for _, m := range f.Document.Models {
				now := reachable(f, m.Name)
				require.False(rt, wasReachable[m.Name] && !now, "%s lost its last replica by %+v", m.Name, plan.Moves)
				wasReachable[m.Name] = now
			}
		}
	})
}

// TestNoMoveWhileNothingChanges requires that plans have no moves once a placement has
// settled and while only the time changes.
func TestNoMoveWhileNothingChanges(t *testing.T) {
	f := largeInput(90, 9)
	p := NewPlanner()
	runUntilSettled(t, p, &f)
	for range 100 {
		f.Now = f.Now.Add(time.Second)
		require.Empty(t, p.Plan(f).Moves)
	}
	for _, m := range f.Document.Models {
		require.True(t, reachable(f, m.Name))
	}
}

// TestRelocatesForFragmentedMemory requires that a model moves to another engine when
// the free memory is sufficient for a larger model, but is spread over both engines.
func TestRelocatesForFragmentedMemory(t *testing.T) {
	f := smallInput(2, 100, 30, 30, 60)
	for i := range 2 {
		m := f.Document.Models[i]
		f.Engines[i].Slots = []ChargedSlot{{Slot: envdoc.Slot{Model: m.Name, Version: "1"}, MemoryMB: 30, State: Resident}}
	}
	f.Document.Models[2].MemoryMB = 80
	p := NewPlanner()
	first := p.Plan(f)
	require.Equal(t, RuleRelocate, first.Moves[0].Rule)
	runUntilSettled(t, p, &f)
	require.True(t, reachable(f, "m2"))
	require.True(t, reachable(f, "m0") && reachable(f, "m1"))
}

// TestReportsBlockedSlot requires that a plan lists a model that fits on no engine.
func TestReportsBlockedSlot(t *testing.T) {
	f := smallInput(1, 100, 60, 60)
	p := NewPlanner()
	runUntilSettled(t, p, &f)
	plan := p.Plan(f)
	require.Len(t, plan.Blocked, 1)
	require.Equal(t, code.MemoryExceeded, plan.Blocked[0].Code)
}

// TestDemandNeedsGain raises demand. A small rise must cause no move, a large rise must
// add a replica, and the end of the demand must not remove a replica.
func TestDemandNeedsGain(t *testing.T) {
	f := smallInput(3, 100, 20, 20)
	p := NewPlanner()
	runUntilSettled(t, p, &f)
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
	applyPlan(&f, plan)
	for range 50 {
		require.Empty(t, ask(10, 0).Moves)
	}
}

// TestWeightOfMovesReducesMoves requires fewer moves for a document with a higher weight
// of moves.
func TestWeightOfMovesReducesMoves(t *testing.T) {
	count := func(w envdoc.Weights) int {
		f := largeInput(60, 6)
		f.Document.Weights = w
		p := NewPlanner()
		runUntilSettled(t, p, &f)
		moves := 0
		for i := range 200 {
			f.Now = f.Now.Add(30 * time.Second)
			f.Demand = append([]member.ModelDemand(nil), f.Demand...)
			f.Demand[i%60].TokensPerSecond = 9000
			f.Demand[(i+50)%60].TokensPerSecond = 100
			plan := p.Plan(f)
			moves += len(plan.Moves)
			applyPlan(&f, plan)
		}
		return moves
	}
	attainment := count(envdoc.Weights{Attainment: 8, Moves: 2})
	moves := count(envdoc.Weights{Attainment: 2, Moves: 8})
	t.Logf("%d moves when attainment weighs more, %d when moves weigh more", attainment, moves)
	require.Less(t, moves, attainment)
}

// TestMissingModelReplacesRedundantModel requires that a model that no data centre holds
// replaces a model that is also held in its own home.
func TestMissingModelReplacesRedundantModel(t *testing.T) {
	f := smallInput(1, 100, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60)
	f.Remotes = []Remote{{DataCentre: "dc2"}}
	p := NewPlanner()
	p.refreshIndex(f)
	homes := map[string]envdoc.Model{}
	for _, m := range p.index.models {
		home := *m.Model
		home.Adapters = nil
		homes[m.home] = home
	}
	require.Len(t, homes, 2)
	f.Document = &envdoc.Document{Models: []envdoc.Model{homes["dc1"], homes["dc2"]}}
	missing, redundant := 0, 1
	name := f.Document.Models[redundant].Name
	f.Engines[0].Slots = []ChargedSlot{{Slot: envdoc.Slot{Model: name, Version: "1"}, MemoryMB: 60, State: Resident}}
	require.Empty(t, p.Plan(f).Moves, "the only replica of a model must stay")
	f.Remotes[0].Models = []string{name}
	runUntilSettled(t, p, &f)
	require.True(t, reachable(f, f.Document.Models[missing].Name))
}

func TestFit(t *testing.T) {
	engines := []store.VM{
		{ID: "e0", Kind: store.KindEngine, Pool: "pool", MemoryMB: 100},
		{ID: "e1", Kind: store.KindEngine, Pool: "pool", MemoryMB: 100},
		{ID: "e2", Kind: store.KindEngine, Pool: "other", MemoryMB: 1000},
	}
	require.NoError(t, Fit(smallInput(0, 0, 60, 60, 35, 35).Document, engines))
	err := Fit(smallInput(0, 0, 60, 60, 45).Document, engines)
	require.Equal(t, code.DocumentUnfit, code.Of(err))
	require.Contains(t, err.Error(), "m2")
	many := smallInput(0, 0, 40).Document
	many.Models[0].MinReplicas = 3
	require.ErrorContains(t, Fit(many, engines), "2 of 3 replicas")
	wide := smallInput(0, 0, 40).Document
	for i := range 3 {
		wide.Models[0].Adapters = append(wide.Models[0].Adapters, envdoc.Adapter{Name: fmt.Sprint("b", i), Version: "1", MemoryMB: 40})
	}
	require.ErrorContains(t, Fit(wide, engines), "adapter b2")
}

// TestPlansSettleWith900Models requires that plans for 900 models settle with every model
// and adapter placed.
func TestPlansSettleWith900Models(t *testing.T) {
	f := largeInput(900, 86)
	runUntilSettled(t, NewPlanner(), &f)
	for _, m := range f.Document.Models {
		require.True(t, reachable(f, m.Name))
		for _, a := range m.Adapters {
			require.Positive(t, resident(f, envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: "1"}))
		}
	}
}
