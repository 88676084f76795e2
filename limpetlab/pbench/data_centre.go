package pbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

const (
	// maxGoodLoad is the load, as a fraction of the capacity, up to which an
	// engine meets the expectations of all requests.
	maxGoodLoad = 0.9
	// queueSeconds is how long a request that finds no capacity stays
	// queued.
	queueSeconds = 2.0
)

// dataCentre simulates a data centre.
type dataCentre struct {
	name    string
	doc     *document
	engines []place.Engine
	policy  policy
	// pendingLoads holds the model loads that wait for the weight store or are in
	// progress.
	pendingLoads []*modelLoad
	// loadsPerSecond and maxLoads are the data centre's share of the weight
	// store's limits; loadTime is the duration of a load.
	loadsPerSecond float64
	maxLoads       int
	loadTime       time.Duration
	// loadCredit is the number of loads that may start now.
	loadCredit float64
	// queued is the number of queued requests of each model.
	queued []float64
	// residentModels lists the resident models, sorted.
	residentModels []string
	// requests and attained count the requests of the last step and those that
	// met their expectation; moves and modelMoves count all moves so far.
	requests   float64
	attained   float64
	moves      int
	modelMoves int
}

// modelLoad is the load of a model that has not ended.
type modelLoad struct {
	engine int
	slot   envdoc.Slot
	// endsAt is the time at which the load ends; zero while it waits.
	endsAt time.Time
}

// newDataCentre returns a data centre with empty engines.
func newDataCentre(d deploy.Deployment, doc *document, name string, p policy) *dataCentre {
	n := len(d.DataCentres)
	dc := &dataCentre{
		name: name, doc: doc, policy: p,
		loadsPerSecond: d.WeightStore.ModelsPerSecond / float64(n),
		maxLoads:       max(1, d.WeightStore.FullSpeedModels/n),
		loadTime:       time.Duration(float64(d.WeightStore.FullSpeedModels) / d.WeightStore.ModelsPerSecond * float64(time.Second)),
		queued:         make([]float64, len(doc.Models)),
	}
	for i := range d.Engines {
		dc.engines = append(dc.engines, place.Engine{
			VM: fmt.Sprintf("%s-engine-%d", name, i+1), Pool: d.EnginePool, MemoryMB: d.EngineMemoryMB,
			Usable: true, TokensPerSecond: engineTokensPerSecond,
		})
	}
	return dc
}

// holdsModel reports whether a model was resident at the end of the last step.
func (dc *dataCentre) holdsModel(model string) bool {
	_, ok := slices.BinarySearch(dc.residentModels, model)
	return ok
}

// findSlot returns the index of a slot of an engine in a state, and whether there
// is one.
func findSlot(e *place.Engine, slot envdoc.Slot, state place.State) (int, bool) {
	i := slices.IndexFunc(e.Slots, func(o place.ChargedSlot) bool { return o.Slot == slot && o.State == state })
	return i, i >= 0
}

// advance simulates a step: it advances loads, serves requests and applies the moves
// of the policy.
func (dc *dataCentre) advance(now time.Time, rates []float64, dataCentres []*dataCentre) {
	dc.advanceLoads(now)
	dc.serve(rates)
	f := place.Input{Now: now, Document: dc.doc, DataCentre: dc.name, Engines: dc.engines, Demand: dc.reportedDemand(rates)}
	f.Saturated = dc.unfinishedLoads() >= dc.maxLoads
	for _, other := range dataCentres {
		if other != dc {
			f.Remotes = append(f.Remotes, place.Remote{DataCentre: other.name, Models: other.residentModels})
		}
	}
	for _, m := range dc.policy.moves(f) {
		dc.applyMove(m, now)
	}
	dc.residentModels = dc.listResidentModels()
}

// unfinishedLoads returns the number of loads that wait or are in progress.
func (dc *dataCentre) unfinishedLoads() int { return len(dc.pendingLoads) }

// listResidentModels returns the names of the resident models, sorted.
func (dc *dataCentre) listResidentModels() []string {
	var names []string
	for i := range dc.engines {
		for _, o := range dc.engines[i].Slots {
			if o.Slot.Adapter == "" && o.State == place.Resident {
				names = append(names, o.Slot.Model)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// advanceLoads completes the loads that have ended and starts loads within the
// limits of the weight store. Unloads and adapter loads take less than a step.
func (dc *dataCentre) advanceLoads(now time.Time) {
	dc.loadCredit = min(dc.loadCredit+dc.loadsPerSecond*step.Seconds(), float64(dc.maxLoads))
	active := 0
	var unfinished []*modelLoad
	for _, l := range dc.pendingLoads {
		if !l.endsAt.IsZero() && !now.Before(l.endsAt) {
			if i, ok := findSlot(&dc.engines[l.engine], l.slot, place.Loading); ok {
				dc.engines[l.engine].Slots[i].State = place.Resident
			}
			continue
		}
		unfinished = append(unfinished, l)
		if !l.endsAt.IsZero() {
			active++
		}
	}
	for _, l := range unfinished {
		if l.endsAt.IsZero() && active < dc.maxLoads && dc.loadCredit >= 1 {
			l.endsAt = now.Add(dc.loadTime)
			dc.loadCredit--
			active++
		}
	}
	dc.pendingLoads = unfinished
	for i := range dc.engines {
		e := &dc.engines[i]
		e.Slots = slices.DeleteFunc(e.Slots, func(o place.ChargedSlot) bool { return o.State == place.Unloading })
		for j := range e.Slots {
			if e.Slots[j].Slot.Adapter != "" {
				e.Slots[j].State = place.Resident
			}
		}
	}
}

// applyMove applies a move. It panics if a load exceeds the engine's memory.
func (dc *dataCentre) applyMove(m place.Move, now time.Time) {
	i := slices.IndexFunc(dc.engines, func(e place.Engine) bool { return e.VM == m.Engine })
	e := &dc.engines[i]
	dc.moves++
	if m.Slot.Adapter == "" {
		dc.modelMoves++
	}
	if m.Kind == place.Unload {
		if j, ok := findSlot(e, m.Slot, place.Resident); ok {
			e.Slots[j].State = place.Unloading
		}
		return
	}
	used := m.MemoryMB
	for _, o := range e.Slots {
		used += o.MemoryMB
	}
	if used > e.MemoryMB {
		panic(fmt.Sprintf("load would raise the memory use of engine %s to %d MB", e.VM, used))
	}
	e.Slots = append(e.Slots, place.ChargedSlot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: place.Loading, ChargedAt: now})
	if m.Slot.Adapter == "" {
		dc.pendingLoads = append(dc.pendingLoads, &modelLoad{engine: i, slot: m.Slot})
	}
}

// reportedDemand returns the demand in the form in which daemons report it.
func (dc *dataCentre) reportedDemand(rates []float64) []member.ModelDemand {
	var list []member.ModelDemand
	for k, m := range dc.doc.Models {
		perModel := rates[k]
		if n := len(m.Adapters); n > 0 {
			perAdapter := perModel * adapterShare / float64(n)
			perModel *= 1 - adapterShare
			for _, a := range m.Adapters {
				list = append(list, member.ModelDemand{Model: m.Name, Adapter: a.Name, PerSecond: perAdapter, TokensPerSecond: perAdapter * tokensPerRequest})
			}
		}
		list = append(list, member.ModelDemand{Model: m.Name, PerSecond: perModel, TokensPerSecond: perModel * tokensPerRequest, Queued: int(dc.queued[k])})
	}
	return list
}
