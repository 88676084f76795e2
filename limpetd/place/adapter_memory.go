package place

import "slices"

// availableMB returns the memory of an engine that is neither charged to a slot nor
// reserved for adapters of the engine's models.
func (e *engineView) availableMB() int64 { return e.freeMB - e.reservedMB }

// reserveForAdapters reserves memory for the adapters of a model that no engine holds
// beside the model. It reserves the memory on the engine of a resident replica or, if
// none has enough, of a loading replica, and prefers the most available memory.
func (v *view) reserveForAdapters(k int) {
	mv := &v.modelViews[k]
	var reserved []int
	for j := range mv.adapters {
		if mv.reservedOn[j] >= 0 || v.heldBesideHost(k, j) {
			continue
		}
		memoryMB := v.models[k].Adapters[j].MemoryMB
		e := v.chooseAdapterHost(k, j, Resident)
		if e < 0 {
			e = v.chooseAdapterHost(k, j, Loading)
		}
		if e >= 0 {
			v.engines[e].reservedMB += memoryMB
			mv.reservedOn[j] = e
			reserved = append(reserved, e)
		}
	}
	for _, e := range slices.Compact(reserved) {
		v.updateRanking(e)
	}
}

// adapterHosts returns the replicas beside which the adapters of a model are placed:
// those of the declared version, or else those of other versions.
func (v *view) adapterHosts(k int) []heldSlot {
	mv := &v.modelViews[k]
	if count(mv.current, Loading, Resident) > 0 {
		return mv.current
	}
	return mv.old
}

// heldBesideHost reports whether an engine with a replica from adapterHosts also holds
// or loads the adapter.
func (v *view) heldBesideHost(k, j int) bool {
	hosts := v.adapterHosts(k)
	for _, a := range v.modelViews[k].adapters[j] {
		v.steps++
		if _, ok := slotOn(hosts, a.engine); ok && a.state != Unloading {
			return true
		}
	}
	return false
}

// chooseAdapterHost returns the engine with the most available memory among the engines
// that have a replica from adapterHosts in the given state and enough memory for the
// adapter, or -1.
func (v *view) chooseAdapterHost(k, j int, state State) int {
	best := -1
	for _, h := range v.adapterHosts(k) {
		v.steps++
		e := &v.engines[h.engine]
		if h.state != state || e.availableMB() < v.models[k].Adapters[j].MemoryMB || anySlotOn(v.modelViews[k].adapters[j], h.engine) {
			continue
		}
		if best < 0 || e.availableMB() > v.engines[best].availableMB() {
			best = h.engine
		}
	}
	return best
}

// releaseAdapterMemory releases the memory that is reserved for an adapter.
func (v *view) releaseAdapterMemory(k, j int) {
	mv := &v.modelViews[k]
	if e := mv.reservedOn[j]; e >= 0 {
		v.engines[e].reservedMB -= v.models[k].Adapters[j].MemoryMB
		mv.reservedOn[j] = -1
		v.updateRanking(e)
	}
}

// releaseAdapterMemoryOn releases the memory that an engine reserves for the adapters
// of a model, for an engine that is going to unload the model.
func (v *view) releaseAdapterMemoryOn(k, engine int) {
	for j, e := range v.modelViews[k].reservedOn {
		if e == engine {
			v.releaseAdapterMemory(k, j)
		}
	}
}
