package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

// largeInput returns the input of a data centre with empty engines, three adapters per
// model and random demand.
func largeInput(models, engines int) Input {
	random := rand.New(rand.NewPCG(1, uint64(models)))
	doc := &envdoc.Document{Weights: envdoc.Weights{Attainment: 5, Moves: 5}}
	f := Input{Now: time.Unix(1e9, 0), DataCentre: "dc1", Document: doc}
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprintf("model-%d", i), Version: "1", Pool: "pool", MemoryMB: 10000 + 1000*random.Int64N(20)}
		for j := range 3 {
			m.Adapters = append(m.Adapters, envdoc.Adapter{Name: fmt.Sprintf("adapter-%d-%d", i, j), Version: "1", MemoryMB: 200})
		}
		doc.Models = append(doc.Models, m)
		f.Demand = append(f.Demand, member.ModelDemand{Model: m.Name, PerSecond: 1, TokensPerSecond: 1000 * random.Float64()})
	}
	for i := range engines {
		f.Engines = append(f.Engines, Engine{VM: fmt.Sprintf("engine-%03d", i), Pool: "pool", MemoryMB: 320000, Usable: true, TokensPerSecond: 10000})
	}
	return f
}

// runUntilSettled makes and applies plans until a plan has no moves, and fails if moves
// are left after 20 plans.
func runUntilSettled(tb testing.TB, p *Planner, f *Input) {
	for range 20 {
		plan := p.Plan(*f)
		if len(plan.Moves) == 0 {
			return
		}
		applyPlan(f, plan)
		f.Now = f.Now.Add(time.Second)
	}
	require.Empty(tb, p.Plan(*f).Moves)
}

func BenchmarkFirstPlan(b *testing.B) {
	for _, models := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			f := largeInput(models, (models*86+899)/900)
			for b.Loop() {
				NewPlanner().Plan(f)
			}
		})
	}
}

func BenchmarkReplan(b *testing.B) {
	for _, models := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			f := largeInput(models, (models*86+899)/900)
			p := NewPlanner()
			runUntilSettled(b, p, &f)
			i := 0
			for b.Loop() {
				f.Demand[i%models].TokensPerSecond *= 1.5
				f.Now = f.Now.Add(time.Second)
				p.Plan(f)
				i++
			}
		})
	}
}
