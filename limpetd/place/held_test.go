package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// held returns what a data centre tells the others.
func held(f Facts, unknown bool) Remote {
	r := Remote{DataCentre: f.DataCentre, Unknown: unknown}
	for _, e := range f.Engines {
		r.Engines = append(r.Engines, Memory{e.Pool, e.MemoryMB})
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
	models, whole := Held(f.Document, slots)
	for i := range models {
		if models[i] {
			r.Models = append(r.Models, f.Document.Models[i].Name)
		}
		if whole[i] {
			r.Whole = append(r.Whole, f.Document.Models[i].Name)
		}
	}
	return r
}

// TestHoldersWithoutNewsSettle starts data centres at once that hear late of each
// other, and none of which has memory for all models. All models must be held in
// the end, none be lost that is held once, and moves must end. While nothing is
// heard, no model may be given up.
func TestHoldersWithoutNewsSettle(t *testing.T) {
	for seed := range uint64(6) {
		for _, n := range []int{2, 3, 7} {
			settleApart(t, seed, n)
		}
	}
}

func settleApart(t *testing.T, seed uint64, n int) {
	const models, deaf, lag, steps = 24, 10, 6, 200
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	doc := &envdoc.Document{}
	var total int64
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprintf("model-%d-%d", seed, i), Version: "1", Pool: "pool", MemoryMB: 20 + random.Int64N(20)}
		m.Adapters = []envdoc.Adapter{{Name: "a", Version: "1", MemoryMB: 2}}
		total += m.MemoryMB + 2
		doc.Models = append(doc.Models, m)
	}
	centres := make([]Facts, n)
	planners := make([]*Planner, n)
	for i := range centres {
		e := Engine{VM: "e", Pool: "pool", MemoryMB: total * 14 / int64(10*n), Usable: true, TokensPerSecond: 1000}
		centres[i] = Facts{Document: doc, DataCentre: fmt.Sprintf("lagos-%d", i+1), Engines: []Engine{e}, Now: time.UnixMilli(0)}
		planners[i] = NewPlanner()
	}
	var told [][]Remote
	ever, moves := map[string]bool{}, 0
	for step := range steps {
		now := make([]Remote, n)
		everywhere := map[string]bool{}
		for i := range centres {
			now[i] = held(centres[i], false)
			for _, name := range now[i].Models {
				everywhere[name], ever[name] = true, true
			}
			for _, name := range now[i].Whole {
				everywhere["whole "+name], ever["whole "+name] = true, true
			}
		}
		require.Len(t, everywhere, len(ever), "seed %d, %d data centres, step %d: a model was lost", seed, n, step)
		told = append(told, now)
		for i := range centres {
			f := &centres[i]
			f.Now, f.Remotes = f.Now.Add(5*time.Second), nil
			for j := range centres {
				switch {
				case j == i:
				case step < deaf:
					f.Remotes = append(f.Remotes, held(centres[j], true))
				default:
					f.Remotes = append(f.Remotes, told[step-lag][j])
				}
			}
			finish(&f.Engines[0])
			plan := planners[i].Plan(*f)
			for _, m := range plan.Moves {
				require.False(t, step < deaf && m.Kind == Unload, "a model was given up without news")
			}
			begin(f, plan)
			require.Empty(t, over(*f))
			if step > steps*3/4 {
				moves += len(plan.Moves)
			}
		}
	}
	for _, m := range doc.Models {
		require.True(t, ever[m.Name], "seed %d, %d data centres: %s", seed, n, m.Name)
	}
	require.Zero(t, moves, "seed %d, %d data centres: moves go on", seed, n)
}
