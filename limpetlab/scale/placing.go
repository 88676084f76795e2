package scale

import (
	"fmt"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

// settleRounds is the number of plans within which no move is left.
const settleRounds = 20

// placing measures the placement holder and the ledger.
func placing() []measure {
	models, charges := []int{100, 300, 900}, []int{10, 21, SlotsPerEngine}
	return []measure{
		{"placement", "first plan", "us", "models", models, TargetModels, once(firstPlan)},
		{"placement", "plan after a change of demand", "us", "models", models, TargetModels, once(replan)},
		{"placement", "facts and planner", "bytes", "models", models, TargetModels, once(planMemory)},
		{"ledger", "row", "bytes", "slots", charges, SlotsPerEngine, once(rowBytes)},
		{"ledger", "decoding a row", "us", "slots", charges, SlotsPerEngine, once(rowDecode)},
		{"ledger", "row in memory", "bytes", "slots", charges, SlotsPerEngine, once(rowMemory)},
	}
}

// facts are those of a data centre with empty engines and a random demand.
func facts(models int) place.Facts {
	random := newRandom()
	doc := &envdoc.Document{Weights: envdoc.Weights{Attainment: 5, Moves: 5}}
	f := place.Facts{Now: time.Unix(1e9, 0), DataCentre: here, Document: doc}
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprintf("model-%03d", i), Version: "1", Pool: "pool", MemoryMB: 10_000 + 1000*random.Int64N(20)}
		for j := range AdaptersPerModel {
			m.Adapters = append(m.Adapters, envdoc.Adapter{Name: fmt.Sprintf("%s-adapter-%d", m.Name, j), Version: "1", MemoryMB: 200})
		}
		doc.Models = append(doc.Models, m)
		f.Demand = append(f.Demand, member.ModelDemand{Model: m.Name, PerSecond: 1, TokensPerSecond: 1000 * random.Float64()})
	}
	for i := range (models*NearEngines + TargetModels - 1) / TargetModels {
		f.Engines = append(f.Engines, place.Engine{VM: engineVM(i), Pool: "pool", MemoryMB: 320_000, Usable: true, TokensPerSecond: 10_000})
	}
	return f
}

// carry carries a plan out at once.
func carry(f *place.Facts, plan place.Plan) {
	for _, m := range plan.Moves {
		i := slices.IndexFunc(f.Engines, func(e place.Engine) bool { return e.VM == m.Engine })
		e := &f.Engines[i]
		if m.Kind == place.Load {
			e.Slots = append(e.Slots, place.Slot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: place.Resident, Since: f.Now})
			continue
		}
		e.Slots = slices.DeleteFunc(e.Slots, func(s place.Slot) bool { return s.Slot == m.Slot })
	}
}

// settled returns a planner and facts with all models placed.
func settled(models int) (*place.Planner, *place.Facts) {
	f, p := facts(models), place.NewPlanner()
	for range settleRounds {
		plan := p.Plan(f)
		if len(plan.Moves) == 0 {
			break
		}
		carry(&f, plan)
		f.Now = f.Now.Add(time.Second)
	}
	return p, &f
}

func firstPlan(models int) float64 {
	f := facts(models)
	return perCall(func() { place.NewPlanner().Plan(f) })
}

func replan(models int) float64 {
	p, f := settled(models)
	i := 0
	return perCall(func() {
		f.Demand[i%models].TokensPerSecond *= 1.5
		f.Now = f.Now.Add(time.Second)
		p.Plan(*f)
		i++
	})
}

func planMemory(models int) float64 {
	type kept struct {
		planner *place.Planner
		facts   *place.Facts
	}
	return held(func() any {
		p, f := settled(models)
		return kept{p, f}
	})
}

// ledgerRow returns a row with charges.
func ledgerRow(charges int) ledger.Row {
	r := ledger.Row{Engine: engineVM(0), MemoryMB: 320_000, Fence: 7}
	r = r.AddGrant(ledger.Grant{ID: "0123456789abcdef0123456789abcdef", Senders: []string{"entry-vm-001", "entry-vm-002"}})
	random := newRandom()
	for _, s := range slots(0, charges) {
		r.Charges = append(r.Charges, ledger.Charge{
			Slot: s, MemoryMB: 1000, Phase: ledger.PhaseCharged,
			Order: fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()), At: time.Now().UnixMilli(),
		})
	}
	return r
}

// encoded returns the stored form of a row; it is empty if there is none.
func encoded(charges int) []byte {
	value, err := ledger.Encode(ledgerRow(charges))
	if err != nil {
		return nil
	}
	return value
}

func rowBytes(charges int) float64 { return float64(len(encoded(charges))) }

func rowDecode(charges int) float64 {
	value := encoded(charges)
	return perCall(func() { _, _ = ledger.Decode(engineVM(0), value) })
}

func rowMemory(charges int) float64 {
	const rows = 100
	value := encoded(charges)
	return held(func() any {
		list := make([]ledger.Row, rows)
		for i := range list {
			list[i], _ = ledger.Decode(engineVM(0), value)
		}
		return list
	}) / rows
}
