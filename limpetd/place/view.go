package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// holder is an engine that holds a slot.
type holder struct {
	engine int
	state  State
	since  time.Time
	slot   envdoc.Slot
	memory int64
}

// engineView is an engine as it will be once the moves so far are made.
type engineView struct {
	*Engine
	// free is the memory that is not charged, soon that of unloading slots.
	free, soon int64
	// owed is the part of free that is kept for adapters of the engine's models.
	owed int64
	// load is the expected load in tokens a second.
	load float64
	// models are the declared models that the engine holds, in any version.
	models []int
}

// modelView is a declared model as it will be once the moves so far are made.
type modelView struct {
	// current hold the declared version, old another one.
	current, old []holder
	// adapters are the holders of each declared adapter, oldAdapters those of
	// its other versions.
	adapters    [][]holder
	oldAdapters []holder
	// owedOn are the engines that keep memory for the declared adapters, -1 for
	// an adapter that needs none or finds none.
	owedOn []int
	demand float64
	burst  bool
	// remote tells that another data centre holds the model.
	remote bool
	// kept tells that a data centre holds the model that comes before this one
	// in keeping it.
	kept bool
	// keptWhole tells that one holds it with all its adapters.
	keptWhole bool
	// remoteWhole tells that another data centre holds it with all its adapters.
	remoteWhole bool
}

// view is the projection that a plan works on.
type view struct {
	*index
	facts   Facts
	engines []engineView
	views   []modelView
	// strays are charged slots that the document does not declare.
	strays []holder
	plan   Plan
	// rankings order the engines of each pool for loads.
	rankings map[string]*ranking
	// steps counts the engines and replicas that the plan looked at.
	steps int
}

// newView reads the facts.
func newView(x *index, f Facts, d *demands) *view {
	v := &view{index: x, facts: f, rankings: map[string]*ranking{}}
	v.engines = make([]engineView, len(f.Engines))
	v.views = make([]modelView, len(x.models))
	for i := range v.views {
		m := &x.models[i]
		v.views[i].adapters = make([][]holder, len(m.Adapters))
		v.views[i].owedOn = slices.Repeat([]int{-1}, len(m.Adapters))
		v.views[i].demand, v.views[i].burst = d.of(m.Name, "")
		for _, a := range m.Adapters {
			held, burst := d.of(m.Name, a.Name)
			v.views[i].demand += held
			v.views[i].burst = v.views[i].burst || burst
		}
	}
	for i := range f.Engines {
		v.addEngine(i)
	}
	v.addRemotes()
	for _, k := range x.order {
		v.oweAdapters(k)
	}
	return v
}

// addEngine takes an engine's slots into the view.
func (v *view) addEngine(i int) {
	e := &v.facts.Engines[i]
	v.engines[i] = engineView{Engine: e, free: e.MemoryMB}
	for _, s := range e.Slots {
		v.engines[i].free -= s.MemoryMB
		if s.State == Unloading {
			v.engines[i].soon += s.MemoryMB
		}
		if e.Usable {
			v.addSlot(holder{engine: i, state: s.State, since: s.Since, slot: s.Slot, memory: s.MemoryMB})
		}
	}
}

// addSlot takes a holder into the view of its model.
func (v *view) addSlot(h holder) {
	k, ok := v.byName[h.slot.Model]
	if !ok {
		v.strays = append(v.strays, h)
		return
	}
	m, mv := &v.models[k], &v.views[k]
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
	j, ok := m.adapters[h.slot.Adapter]
	switch {
	case !ok:
		v.strays = append(v.strays, h)
	case h.slot.Version == m.Adapters[j].Version:
		mv.adapters[j] = append(mv.adapters[j], h)
	default:
		mv.oldAdapters = append(mv.oldAdapters, h)
	}
}

// addRemotes notes which models other data centres hold.
func (v *view) addRemotes() {
	for _, r := range v.facts.Remotes {
		for _, name := range r.Models {
			if k, ok := v.byName[name]; ok {
				v.views[k].remote = true
				v.views[k].kept = v.views[k].kept || v.before(k, r.DataCentre)
			}
		}
		for _, name := range r.Whole {
			if k, ok := v.byName[name]; ok {
				v.views[k].remoteWhole = true
				v.views[k].keptWhole = v.views[k].keptWhole || v.before(k, r.DataCentre)
			}
		}
	}
}

// before tells whether a data centre comes before this one in keeping a model.
func (v *view) before(k int, dataCentre string) bool {
	return v.rank(k, dataCentre) < v.rank(k, v.facts.DataCentre)
}

// count returns the number of holders in one of the states.
func count(holders []holder, states ...State) int {
	n := 0
	for _, h := range holders {
		if slices.Contains(states, h.state) {
			n++
		}
	}
	return n
}

// on returns the holder on an engine that is not unloading.
func on(holders []holder, engine int) (holder, bool) {
	for _, h := range holders {
		if h.engine == engine && h.state != Unloading {
			return h, true
		}
	}
	return holder{}, false
}

// occupied tells whether an engine holds a slot, in any state.
func occupied(holders []holder, engine int) bool {
	return slices.ContainsFunc(holders, func(h holder) bool { return h.engine == engine })
}

// serves tells whether an engine has the model resident in any version.
func (v *view) serves(k, engine int) bool {
	for _, hs := range [][]holder{v.views[k].current, v.views[k].old} {
		if h, ok := on(hs, engine); ok && h.state == Resident {
			return true
		}
	}
	return false
}

// ranked returns the engines of a pool, those that are loaded least and of them
// those with most room first.
func (v *view) ranked(pool string) *ranking {
	r := v.rankings[pool]
	if r == nil {
		r = newRanking(v, pool, func(a, b int) int {
			v.steps++
			x, y := &v.engines[a], &v.engines[b]
			return cmp.Or(cmp.Compare(x.busy(), y.busy()), cmp.Compare(y.room(), x.room()))
		})
		v.rankings[pool] = r
	}
	return r
}

// rerank notes that the room or the load of an engine changed.
func (v *view) rerank(engine int) {
	if r := v.rankings[v.engines[engine].Pool]; r != nil {
		r.changed(engine)
	}
}

// load adds a load to the plan.
func (v *view) load(engine int, slot envdoc.Slot, memoryMB int64, rule Rule, gain, cost float64) {
	e := &v.engines[engine]
	e.free -= memoryMB
	v.rerank(engine)
	v.addSlot(holder{engine: engine, state: Loading, since: v.facts.Now, slot: slot, memory: memoryMB})
	v.plan.Moves = append(v.plan.Moves, Move{Kind: Load, Engine: e.VM, Slot: slot, MemoryMB: memoryMB, Rule: rule, Gain: gain, Cost: cost})
}

// loadModel adds the load of a model's declared version.
func (v *view) loadModel(k, engine int, rule Rule, gain, cost float64) {
	v.load(engine, v.models[k].slot, v.models[k].MemoryMB, rule, gain, cost)
	v.oweAdapters(k)
}

// loadAdapter adds the load of a declared adapter.
func (v *view) loadAdapter(k, j, engine int, rule Rule, gain, cost float64) {
	v.settleAdapter(k, j)
	m := &v.models[k]
	v.load(engine, m.adapterSlot(j), m.Adapters[j].MemoryMB, rule, gain, cost)
}

// unload adds an unload to the plan and marks the holder.
func (v *view) unload(holders []holder, h holder, rule Rule, gain, cost float64) {
	for i := range holders {
		if holders[i].engine == h.engine && holders[i].slot == h.slot {
			holders[i].state = Unloading
		}
	}
	e := &v.engines[h.engine]
	e.soon += h.memory
	v.plan.Moves = append(v.plan.Moves, Move{Kind: Unload, Engine: e.VM, Slot: h.slot, MemoryMB: h.memory, Rule: rule, Gain: gain, Cost: cost})
}

// block notes a slot that can't be placed.
func (v *view) block(slot envdoc.Slot, c code.Code, reason string) {
	v.plan.Blocked = append(v.plan.Blocked, Blocked{Slot: slot, Code: c, Reason: reason})
}
