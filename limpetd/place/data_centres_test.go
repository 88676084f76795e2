package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// describeRemote returns the description of a data centre with one engine that other
// data centres receive.
func describeRemote(f Input, unknown bool) Remote {
	r := Remote{DataCentre: f.DataCentre, Incomplete: unknown}
	for _, e := range f.Engines {
		r.Engines = append(r.Engines, EngineMemory{e.Pool, e.MemoryMB})
	}
	if unknown {
		return r
	}
	slots := map[envdoc.Slot]bool{}
	for _, s := range f.Engines[0].Slots {
		if s.State == Resident {
			slots[envdoc.Slot{Model: s.Slot.Model, Adapter: s.Slot.Adapter}] = true
		}
	}
	models, complete := HeldModels(f.Document, slots)
	for i := range models {
		if models[i] {
			r.Models = append(r.Models, f.Document.Models[i].Name)
		}
		if complete[i] {
			r.WithAdapters = append(r.WithAdapters, f.Document.Models[i].Name)
		}
	}
	return r
}

// TestDelayedRemotesSettle starts several data centres at the same time. None has memory
// for all models, and each receives the state of the others with a delay. In the end, all
// models must be held and moves must stop; a model that was held once must not be lost.
// While the state of the others is unknown, no model may be unloaded.
func TestDelayedRemotesSettle(t *testing.T) {
	for seed := range uint64(6) {
		for _, n := range []int{2, 3, 7} {
			testDelayedRemotes(t, seed, n)
		}
	}
}

// testDelayedRemotes runs the planners of n data centres for 200 steps. The state of the
// other data centres is unknown for the first 10 steps and then arrives 6 steps late.
func testDelayedRemotes(t *testing.T, seed uint64, n int) {
	const models, unknownSteps, delaySteps, steps = 24, 10, 6, 200
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	doc := &envdoc.Document{}
	var total int64
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprintf("model-%d-%d", seed, i), Version: "1", Pool: "pool", MemoryMB: 20 + random.Int64N(20)}
		m.Adapters = []envdoc.Adapter{{Name: "a", Version: "1", MemoryMB: 2}}
		total += m.MemoryMB + 2
		doc.Models = append(doc.Models, m)
	}
	centres := make([]Input, n)
	planners := make([]*Planner, n)
	for i := range centres {
		e := Engine{VM: "e", Pool: "pool", MemoryMB: total * 14 / int64(10*n), Usable: true, TokensPerSecond: 1000}
		centres[i] = Input{Document: doc, DataCentre: fmt.Sprintf("lagos-%d", i+1), Engines: []Engine{e}, Now: time.UnixMilli(0)}
		planners[i] = NewPlanner()
	}
	var history [][]Remote
	everHeld, moves := map[string]bool{}, 0
	for step := range steps {
		now := make([]Remote, n)
		heldNow := map[string]bool{}
		for i := range centres {
			now[i] = describeRemote(centres[i], false)
			for _, name := range now[i].Models {
				heldNow[name], everHeld[name] = true, true
			}
			for _, name := range now[i].WithAdapters {
				heldNow["whole "+name], everHeld["whole "+name] = true, true
			}
		}
		require.Len(t, heldNow, len(everHeld), "seed %d, %d data centres, step %d: a model was lost", seed, n, step)
		history = append(history, now)
		for i := range centres {
			f := &centres[i]
			f.Now, f.Remotes = f.Now.Add(5*time.Second), nil
			for j := range centres {
				switch {
				case j == i:
				case step < unknownSteps:
					f.Remotes = append(f.Remotes, describeRemote(centres[j], true))
				default:
					f.Remotes = append(f.Remotes, history[step-delaySteps][j])
				}
			}
			finishMoves(&f.Engines[0])
			plan := planners[i].Plan(*f)
			for _, m := range plan.Moves {
				require.False(t, step < unknownSteps && m.Kind == Unload, "a model was unloaded while the other data centres were unknown")
			}
			startPlan(f, plan)
			require.Empty(t, overcommitted(*f))
			if step > steps*3/4 {
				moves += len(plan.Moves)
			}
		}
	}
	for _, m := range doc.Models {
		require.True(t, everHeld[m.Name], "seed %d, %d data centres: %s was never held", seed, n, m.Name)
	}
	require.Zero(t, moves, "seed %d, %d data centres: moves did not stop", seed, n)
}
