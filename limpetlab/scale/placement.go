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

// maxSettlePlans is the number of plans after which a placement has no moves left.
const maxSettlePlans = 20

// placementMeasures measures the planner of the lease holder and the ledger.
func placementMeasures() []measure {
	models, charges := []int{100, 300, 900}, []int{10, 21, SlotsPerEngine}
	return []measure{
		{"placement", "first plan", "us", "models", models, TargetModels, withoutError(firstPlanTime)},
		{"placement", "plan after a change of demand", "us", "models", models, TargetModels, withoutError(replanTime)},
		{"placement", "facts and planner", "bytes", "models", models, TargetModels, withoutError(plannerMemory)},
		{"ledger", "row", "bytes", "slots", charges, SlotsPerEngine, withoutError(ledgerRowBytes)},
		{"ledger", "decoding a row", "us", "slots", charges, SlotsPerEngine, withoutError(ledgerRowDecodeTime)},
		{"ledger", "row in memory", "bytes", "slots", charges, SlotsPerEngine, withoutError(ledgerRowMemory)},
	}
}

// newInput returns the planner's input for a data centre with empty engines and
// random demand.
func newInput(models int) place.Input {
	random := newRandom()
	doc := &envdoc.Document{Weights: envdoc.Weights{Attainment: 5, Moves: 5}}
	f := place.Input{Now: time.Unix(1e9, 0), DataCentre: localDataCentre, Document: doc}
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprintf("model-%03d", i), Version: "1", Pool: "pool", MemoryMB: 10_000 + 1000*random.Int64N(20)}
		for j := range AdaptersPerModel {
			m.Adapters = append(m.Adapters, envdoc.Adapter{Name: fmt.Sprintf("%s-adapter-%d", m.Name, j), Version: "1", MemoryMB: 200})
		}
		doc.Models = append(doc.Models, m)
		f.Demand = append(f.Demand, member.ModelDemand{Model: m.Name, PerSecond: 1, TokensPerSecond: 1000 * random.Float64()})
	}
	for i := range (models*EnginesPerDataCentre + TargetModels - 1) / TargetModels {
		f.Engines = append(f.Engines, place.Engine{VM: engineVM(i), Pool: "pool", MemoryMB: 320_000, Usable: true, TokensPerSecond: 10_000})
	}
	return f
}

// applyPlan applies all moves of a plan to f.
func applyPlan(f *place.Input, plan place.Plan) {
	for _, m := range plan.Moves {
		i := slices.IndexFunc(f.Engines, func(e place.Engine) bool { return e.VM == m.Engine })
		e := &f.Engines[i]
		if m.Kind == place.Load {
			e.Slots = append(e.Slots, place.ChargedSlot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: place.Resident, ChargedAt: f.Now})
			continue
		}
		e.Slots = slices.DeleteFunc(e.Slots, func(s place.ChargedSlot) bool { return s.Slot == m.Slot })
	}
}

// settledPlacement plans until no moves are left. It returns the planner and its
// input, in which all models are placed.
func settledPlacement(models int) (*place.Planner, *place.Input) {
	f, p := newInput(models), place.NewPlanner()
	for range maxSettlePlans {
		plan := p.Plan(f)
		if len(plan.Moves) == 0 {
			break
		}
		applyPlan(&f, plan)
		f.Now = f.Now.Add(time.Second)
	}
	return p, &f
}

// firstPlanTime returns the processor time of a new planner's first plan, for empty
// engines.
func firstPlanTime(models int) float64 {
	f := newInput(models)
	return cpuTimePerCall(func() { place.NewPlanner().Plan(f) })
}

// replanTime returns the processor time of a plan after the demand for one model
// has grown.
func replanTime(models int) float64 {
	p, f := settledPlacement(models)
	i := 0
	return cpuTimePerCall(func() {
		f.Demand[i%models].TokensPerSecond *= 1.5
		f.Now = f.Now.Add(time.Second)
		p.Plan(*f)
		i++
	})
}

// plannerMemory returns the heap size of a planner and its input.
func plannerMemory(models int) float64 {
	type plannerState struct {
		planner *place.Planner
		input   *place.Input
	}
	return retainedBytes(func() any {
		p, f := settledPlacement(models)
		return plannerState{p, f}
	})
}

// ledgerRow returns the ledger row of an engine with a number of charges.
func ledgerRow(charges int) ledger.Row {
	r := ledger.Row{Engine: engineVM(0), MemoryMB: 320_000, Fence: 7}
	r = r.AddGrant(ledger.Grant{ID: "0123456789abcdef0123456789abcdef", Senders: []string{"entry-vm-001", "entry-vm-002"}})
	random := newRandom()
	for _, s := range newSlots(0, charges) {
		r.Charges = append(r.Charges, ledger.Charge{
			Slot: s, MemoryMB: 1000, Phase: ledger.PhaseCharged,
			Order: fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()), At: time.Now().UnixMilli(),
		})
	}
	return r
}

// encodedLedgerRow returns the stored form of such a row, or nil if the row cannot
// be encoded.
func encodedLedgerRow(charges int) []byte {
	value, err := ledger.Encode(ledgerRow(charges))
	if err != nil {
		return nil
	}
	return value
}

// ledgerRowBytes returns the size of an encoded row.
func ledgerRowBytes(charges int) float64 { return float64(len(encodedLedgerRow(charges))) }

// ledgerRowDecodeTime returns the processor time of decoding a row.
func ledgerRowDecodeTime(charges int) float64 {
	value := encodedLedgerRow(charges)
	return cpuTimePerCall(func() { _, _ = ledger.Decode(engineVM(0), value) })
}

// ledgerRowMemory returns the heap size of a decoded row, as the mean of 100 rows.
func ledgerRowMemory(charges int) float64 {
	const rows = 100
	value := encodedLedgerRow(charges)
	return retainedBytes(func() any {
		list := make([]ledger.Row, rows)
		for i := range list {
			list[i], _ = ledger.Decode(engineVM(0), value)
		}
		return list
	}) / rows
}
