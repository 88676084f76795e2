package place

import "slices"

// room is the memory of an engine that is neither charged nor kept for adapters
// of the models that it holds.
func (e *engineView) room() int64 { return e.free - e.owed }

// oweAdapters keeps memory for the adapters of a model that are not charged
// beside it, on the resident replica with most room, or else on a loading one.
func (v *view) oweAdapters(k int) {
	mv := &v.views[k]
	var owing []int
	for j := range mv.adapters {
		if mv.owedOn[j] >= 0 || v.beside(k, j) {
			continue
		}
		memory := v.models[k].Adapters[j].MemoryMB
		e := v.host(k, j, Resident)
		if e < 0 {
			e = v.host(k, j, Loading)
		}
		if e >= 0 {
			v.engines[e].owed += memory
			mv.owedOn[j] = e
			owing = append(owing, e)
		}
	}
	for _, e := range slices.Compact(owing) {
		v.rerank(e)
	}
}

// hosts are the replicas beside which the adapters of a model belong.
func (v *view) hosts(k int) []holder {
	mv := &v.views[k]
	if count(mv.current, Loading, Resident) > 0 {
		return mv.current
	}
	return mv.old
}

// beside tells whether an adapter is charged beside a replica where it belongs.
func (v *view) beside(k, j int) bool {
	hosts := v.hosts(k)
	for _, a := range v.views[k].adapters[j] {
		v.steps++
		if _, ok := on(hosts, a.engine); ok && a.state != Unloading {
			return true
		}
	}
	return false
}

// host returns the engine with most room that holds the model in a state and has
// room for an adapter, or -1.
func (v *view) host(k, j int, state State) int {
	best := -1
	for _, h := range v.hosts(k) {
		v.steps++
		e := &v.engines[h.engine]
		if h.state != state || e.room() < v.models[k].Adapters[j].MemoryMB || occupied(v.views[k].adapters[j], h.engine) {
			continue
		}
		if best < 0 || e.room() > v.engines[best].room() {
			best = h.engine
		}
	}
	return best
}

// settleAdapter gives up the memory that is kept for an adapter.
func (v *view) settleAdapter(k, j int) {
	mv := &v.views[k]
	if e := mv.owedOn[j]; e >= 0 {
		v.engines[e].owed -= v.models[k].Adapters[j].MemoryMB
		mv.owedOn[j] = -1
		v.rerank(e)
	}
}

// settleAdapters gives up the memory that an engine keeps for a model's
// adapters, as the model goes.
func (v *view) settleAdapters(k, engine int) {
	for j, e := range v.views[k].owedOn {
		if e == engine {
			v.settleAdapter(k, j)
		}
	}
}
