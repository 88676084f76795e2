package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// heldSlot is a slot that an engine holds, with the slot's state.
type heldSlot struct {
	engine   int
	state    State
	since    time.Time
	slot     envdoc.Slot
	memoryMB int64
}

// engineView is an engine as it will be after the moves planned so far.
type engineView struct {
	*Engine
	// freeMB is the memory that is not charged to a slot, unloadingMB the memory
	// that is charged to unloading slots.
	freeMB, unloadingMB int64
	// reservedMB is the part of freeMB that is reserved for adapters of the engine's
	// models.
	reservedMB int64
	// expectedLoad is in tokens per second.
	expectedLoad float64
	// models are the declared models that the engine holds, in any version.
	models []int
}

// modelView is a declared model as it will be after the moves planned so far.
type modelView struct {
	// current are the replicas of the declared version, old those of other versions.
	current, old []heldSlot
	// adapters are the held slots of each declared adapter in its declared version,
	// oldAdapters the slots of all declared adapters in other versions.
	adapters    [][]heldSlot
	oldAdapters []heldSlot
	// reservedOn is the engine with reserved memory for each declared adapter, or -1
	// for an adapter that needs no reserved memory or fits on no engine.
	reservedOn []int
	// demand is the demand for the model and its adapters, in tokens per second.
	demand float64
	// burst is whether the model or any of its adapters has a burst of demand.
	burst bool
	// heldRemotely is whether another data centre holds the model.
	heldRemotely bool
	// heldAtHigher is whether a data centre that has a higher priority for the model
	// than this data centre holds the model.
	heldAtHigher bool
	// completeAtHigher is whether such a data centre holds the model with all its
	// adapters.
	completeAtHigher bool
	// completeRemotely is whether another data centre holds the model with all its
	// adapters.
	completeRemotely bool
}

// view is the state of the data centre after the moves planned so far. In its
// methods k is the index of a model, j the index of an adapter in its model, and
// engine the index of an engine.
type view struct {
	*index
	input      Input
	engines    []engineView
	modelViews []modelView
	// undeclared are the charged slots that the document does not declare.
	undeclared []heldSlot
	plan       Plan
	// rankings order the engines of each pool by preference for loads.
	rankings map[string]*ranking
	// steps counts the engines and replicas that the plan examined.
	steps int
}

// newView returns the view of the input without any planned moves.
func newView(x *index, f Input, d *demandTracker) *view {
	v := &view{index: x, input: f, rankings: map[string]*ranking{}}
	v.engines = make([]engineView, len(f.Engines))
	v.modelViews = make([]modelView, len(x.models))
	for i := range v.modelViews {
		m := &x.models[i]
		v.modelViews[i].adapters = make([][]heldSlot, len(m.Adapters))
		v.modelViews[i].reservedOn = slices.Repeat([]int{-1}, len(m.Adapters))
		v.modelViews[i].demand, v.modelViews[i].burst = d.estimate(m.Name, "")
		for _, a := range m.Adapters {
			demand, burst := d.estimate(m.Name, a.Name)
			v.modelViews[i].demand += demand
			v.modelViews[i].burst = v.modelViews[i].burst || burst
		}
	}
	for i := range f.Engines {
		v.addEngine(i)
	}
	v.addRemotes()
	for _, k := range x.order {
		v.reserveForAdapters(k)
	}
	return v
}

// addEngine adds an engine to the view. All its charges count against its memory, but
// only the slots of a usable engine are added.
func (v *view) addEngine(i int) {
	e := &v.input.Engines[i]
	v.engines[i] = engineView{Engine: e, freeMB: e.MemoryMB}
	for _, s := range e.Slots {
		v.engines[i].freeMB -= s.MemoryMB
		if s.State == Unloading {
			v.engines[i].unloadingMB += s.MemoryMB
		}
		if e.Usable {
			v.addSlot(heldSlot{engine: i, state: s.State, since: s.ChargedAt, slot: s.Slot, memoryMB: s.MemoryMB})
		}
	}
}

// addSlot adds a held slot to the view of its model, or to the undeclared slots.
func (v *view) addSlot(h heldSlot) {
	k, ok := v.byName[h.slot.Model]
	if !ok {
		v.undeclared = append(v.undeclared, h)
		return
	}
	m, mv := &v.models[k], &v.modelViews[k]
	if h.slot.Adapter == "" {
		if h.slot.Version == m.Version {
			mv.current = append(mv.current, h)
		} else {
			mv.old = append(mv.old, h)
		}
		if h.state != Unloading {
			e := &v.engines[h.engine]
			if !slices.Contains(e.models, k) {
				e.models = append(e.models, k)
			}
		}
		return
	}
	j, ok := m.adapterIndex[h.slot.Adapter]
	switch {
	case !ok:
		v.undeclared = append(v.undeclared, h)
	case h.slot.Version == m.Adapters[j].Version:
		mv.adapters[j] = append(mv.adapters[j], h)
	default:
		mv.oldAdapters = append(mv.oldAdapters, h)
	}
}

// addRemotes marks the models that other data centres hold.
func (v *view) addRemotes() {
	for _, r := range v.input.Remotes {
		for _, name := range r.Models {
			if k, ok := v.byName[name]; ok {
				v.modelViews[k].heldRemotely = true
				v.modelViews[k].heldAtHigher = v.modelViews[k].heldAtHigher || v.hasHigherPriority(k, r.DataCentre)
			}
		}
		for _, name := range r.WithAdapters {
			if k, ok := v.byName[name]; ok {
				v.modelViews[k].completeRemotely = true
				v.modelViews[k].completeAtHigher = v.modelViews[k].completeAtHigher || v.hasHigherPriority(k, r.DataCentre)
			}
		}
	}
}

// hasHigherPriority reports whether a data centre has a higher priority for a model
// than this data centre.
func (v *view) hasHigherPriority(k int, dataCentre string) bool {
	return v.priority(k, dataCentre) < v.priority(k, v.input.DataCentre)
}

// count returns the number of slots in one of the states.
func count(slots []heldSlot, states ...State) int {
	n := 0
	for _, h := range slots {
		if slices.Contains(states, h.state) {
			n++
		}
	}
	return n
}

// slotOn returns the slot of a list that is on the given engine and not unloading, and
// whether there is such a slot.
func slotOn(slots []heldSlot, engine int) (heldSlot, bool) {
	for _, h := range slots {
		if h.engine == engine && h.state != Unloading {
			return h, true
		}
	}
	return heldSlot{}, false
}

// anySlotOn reports whether any of the slots is on an engine, in whatever state.
func anySlotOn(slots []heldSlot, engine int) bool {
	return slices.ContainsFunc(slots, func(h heldSlot) bool { return h.engine == engine })
}

// residentOn reports whether an engine has a model resident in any version.
func (v *view) residentOn(k, engine int) bool {
	for _, hs := range [][]heldSlot{v.modelViews[k].current, v.modelViews[k].old} {
		if h, ok := slotOn(hs, engine); ok && h.state == Resident {
			return true
		}
	}
	return false
}

// poolRanking returns the ranking of a pool's engines: the lowest expected load
// first, then the most available memory.
func (v *view) poolRanking(pool string) *ranking {
	r := v.rankings[pool]
	if r == nil {
		r = newRanking(v, pool, func(a, b int) int {
			v.steps++
			x, y := &v.engines[a], &v.engines[b]
			return cmp.Or(cmp.Compare(x.loadTenths(), y.loadTenths()), cmp.Compare(y.availableMB(), x.availableMB()))
		})
		v.rankings[pool] = r
	}
	return r
}

// updateRanking updates the position of an engine whose available memory or expected
// load changed.
func (v *view) updateRanking(engine int) {
	if r := v.rankings[v.engines[engine].Pool]; r != nil {
		r.fix(engine)
	}
}

// planLoad adds the load of a slot to the plan.
func (v *view) planLoad(engine int, slot envdoc.Slot, memoryMB int64, rule Rule, gain, cost float64) {
	e := &v.engines[engine]
	e.freeMB -= memoryMB
	v.updateRanking(engine)
	v.addSlot(heldSlot{engine: engine, state: Loading, since: v.input.Now, slot: slot, memoryMB: memoryMB})
	v.plan.Moves = append(v.plan.Moves, Move{Kind: Load, Engine: e.VM, Slot: slot, MemoryMB: memoryMB, Rule: rule, Gain: gain, Cost: cost})
}

// planModelLoad adds the load of a model's declared version to the plan and reserves
// memory for the model's adapters.
func (v *view) planModelLoad(k, engine int, rule Rule, gain, cost float64) {
	v.planLoad(engine, v.models[k].slot, v.models[k].MemoryMB, rule, gain, cost)
	v.reserveForAdapters(k)
}

// planAdapterLoad adds the load of a declared adapter to the plan and releases the
// memory that is reserved for the adapter.
func (v *view) planAdapterLoad(k, j, engine int, rule Rule, gain, cost float64) {
	v.releaseAdapterMemory(k, j)
	m := &v.models[k]
	v.planLoad(engine, m.adapterSlot(j), m.Adapters[j].MemoryMB, rule, gain, cost)
}

// planUnload adds the unload of h to the plan and marks h as unloading in slots, the
// list of the view that contains h.
func (v *view) planUnload(slots []heldSlot, h heldSlot, rule Rule, gain, cost float64) {
	for i := range slots {
		if slots[i].engine == h.engine && slots[i].slot == h.slot {
			slots[i].state = Unloading
		}
	}
	e := &v.engines[h.engine]
	e.unloadingMB += h.memoryMB
	v.plan.Moves = append(v.plan.Moves, Move{Kind: Unload, Engine: e.VM, Slot: h.slot, MemoryMB: h.memoryMB, Rule: rule, Gain: gain, Cost: cost})
}

// addBlocked adds a declared slot that can't be placed, with the reason, to the blocked
// slots of the plan.
func (v *view) addBlocked(slot envdoc.Slot, c code.Code, reason string) {
	v.plan.Blocked = append(v.plan.Blocked, BlockedSlot{Slot: slot, Code: c, Reason: reason})
}
