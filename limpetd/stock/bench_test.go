package stock_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// BenchmarkPlan plans for 90 engines and 147 models with three adapters each, half of which calls wait for.
func BenchmarkPlan(b *testing.B) {
	random, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	f := stock.Input{Now: now, Since: now.Add(-time.Minute), StoreLoads: 5, Demand: map[string]*stock.ModelDemand{}, Spec: &layout.Engines{MemoryMB: 230_000, AdapterSlots: 8}}
	for i := range 147 {
		m := layout.Model{Name: fmt.Sprint("m", i), MemoryMB: 70_000, Adapters: []string{"a1", "a2", "a3"}, AdapterMB: 66}
		f.Spec.Models = append(f.Spec.Models, m)
		f.Demand[m.Name] = &stock.ModelDemand{Work: random.Float64(), LastRequested: now, Adapters: map[string]stock.AdapterDemand{}}
		for k, name := range m.Adapters {
			f.Demand[m.Name].Adapters[name] = stock.AdapterDemand{Waiting: k % 2, LastRequested: now}
		}
	}
	for i := range 90 {
		e := stock.Engine{ID: fmt.Sprint("e", i), AcceptsOrders: true, Alive: true, Models: map[string]map[string]bool{}, Pace: 1}
		for range 3 {
			e.Models[fmt.Sprint("m", random.IntN(147))] = map[string]bool{"a1": true, "a3": true}
		}
		f.Engines = append(f.Engines, e)
	}
	b.ReportAllocs()
	for b.Loop() {
		stock.Plan(f)
	}
}
