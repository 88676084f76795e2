package place

import "github.com/limpetlb/limpetlb/limpetd/code"

// placeAdapters places the declared adapters that no engine holds beside their model,
// and unloads adapters from engines that don't hold their model.
func (s *planState) placeAdapters() {
	for k := range s.models {
		mv := &s.modelViews[k]
		for j := range mv.adapters {
			s.unloadOrphans(k, mv.adapters[j])
			if !s.adapterHeld(k, j) {
				s.placeAdapter(k, j)
			}
		}
		s.unloadOrphans(k, mv.oldAdapters)
	}
}

// adapterHeld reports whether an engine holds or loads an adapter beside its model, and
// beside the declared version of the model if that version is resident.
func (s *planState) adapterHeld(k, j int) bool {
	mv := &s.modelViews[k]
	currentResident := count(mv.current, Resident) > 0
	for _, a := range mv.adapters[j] {
		if a.state == Unloading {
			continue
		}
		if _, ok := slotOn(mv.current, a.engine); ok {
			return true
		}
		if !currentResident && s.residentOn(k, a.engine) {
			return true
		}
	}
	return false
}

// placeAdapter loads an adapter beside its model, on the engine with memory reserved for
// the adapter, once the model is resident there. Otherwise it loads the adapter beside an
// old version while the declared version isn't resident. If neither is possible and no
// engine has memory reserved, it frees memory.
func (s *planState) placeAdapter(k, j int) {
	mv := &s.modelViews[k]
	memoryMB := s.models[k].Adapters[j].MemoryMB
	e := mv.reservedOn[j]
	if e >= 0 && s.residentOn(k, e) {
		s.planAdapterLoad(k, j, e, RuleAdapter, 0, 0)
		return
	}
	for _, h := range mv.old {
		noneCurrent := count(mv.current, Resident) == 0
		if noneCurrent && h.state == Resident && !anySlotOn(mv.adapters[j], h.engine) && s.engines[h.engine].availableMB() >= memoryMB {
			s.planLoad(h.engine, s.models[k].adapterSlot(j), memoryMB, RuleAdapter, 0, 0)
			return
		}
	}
	if e < 0 && count(mv.current, Loading) == 0 && count(mv.current, Resident)+count(mv.old, Resident) > 0 {
		s.makeAdapterRoom(k, j)
	}
}

// makeAdapterRoom finds memory for an adapter when the engines that hold its model have
// not enough. It loads a further replica of the model on an engine with enough memory
// for both, or else frees memory beside a replica or for a further replica, by the same
// means as makeRoom and by reverting a change of version.
func (s *planState) makeAdapterRoom(k, j int) {
	m := &s.models[k]
	s.awaitingMemory[m.Pool] = true
	w := wantedMemory{model: k, adapterMB: m.Adapters[j].MemoryMB}
	if e := s.chooseEngine(k, m.MemoryMB+w.adapterMB); e >= 0 {
		s.planModelLoad(k, e, RuleAdapter, 0, 0)
		return
	}
	if s.memoryPending(w) || s.evict(w, anyReplica, RuleMakeRoom, 0, 0) {
		return
	}
	if s.revertVersion(k, w.adapterMB) || s.copyBlockingAdapters(w) || s.relocate(w) {
		return
	}
	if !s.modelViews[k].completeRemotely && s.hasTurn(s.planner.incompleteSince, k) && s.evictRedundant(w) {
		return
	}
	s.addBlocked(m.adapterSlot(j), code.MemoryExceeded, "no engine that holds the model has enough memory")
}

// revertVersion unloads the declared version of some model from an engine that holds
// the declared version of model k but lacks memoryMB for an adapter of k. It does so only
// if an old version still serves the unloaded model with all its resident adapters and
// the declared version doesn't yet serve with all adapters. A later plan loads the
// declared version again, on an engine with enough memory for the model and its adapters.
func (s *planState) revertVersion(k int, memoryMB int64) bool {
	for _, host := range s.modelViews[k].current {
		e := &s.engines[host.engine]
		for _, c := range e.models {
			h, ok := slotOn(s.modelViews[c].current, host.engine)
			frees := ok && h.state == Resident && e.availableMB()+e.unloadingMB+h.memoryMB >= memoryMB
			if frees && s.oldVersionServes(c) && !s.declaredServes(c) {
				s.unloadReplica(c, h, RuleMakeRoom, 0, 0)
				return true
			}
		}
	}
	return false
}

// oldVersionServes reports whether a single resident replica of an old version serves a
// model with each adapter that is resident anywhere.
func (s *planState) oldVersionServes(c int) bool {
	mv := &s.modelViews[c]
	for _, o := range mv.old {
		if o.state != Resident {
			continue
		}
		all := true
		for j := range mv.adapters {
			if _, here := slotOn(mv.adapters[j], o.engine); !here && count(mv.adapters[j], Resident) > 0 {
				all = false
			}
		}
		if all {
			return true
		}
	}
	return false
}

// declaredServes reports whether the declared version of a model serves with all its
// adapters.
func (s *planState) declaredServes(c int) bool {
	for j := range s.modelViews[c].adapters {
		if !s.adapterServes(c, j) {
			return false
		}
	}
	return count(s.modelViews[c].current, Resident) > 0
}

// unloadOrphans unloads adapters from engines that hold no version of the model.
func (s *planState) unloadOrphans(k int, slots []heldSlot) {
	mv := &s.modelViews[k]
	for _, a := range slots {
		if a.state != Resident {
			continue
		}
		if anySlotOn(mv.current, a.engine) || anySlotOn(mv.old, a.engine) {
			continue
		}
		s.planUnload(slots, a, RuleUndeclared, 0, 0)
	}
}

// unloadOldVersions unloads old versions of models and adapters once the declared
// versions serve in their place.
func (s *planState) unloadOldVersions() {
	for k := range s.models {
		mv := &s.modelViews[k]
		s.unloadOldAdapters(k)
		for _, h := range mv.old {
			if h.state != Resident || !s.canUnloadOld(k, h.engine) {
				continue
			}
			s.unloadReplica(k, h, RuleVersion, 0, 0)
		}
	}
}

// canUnloadOld reports whether the replica of an old version on an engine can be
// unloaded. The declared version has to serve with all adapters. Besides, enough
// replicas have to be left, or no engine may have the memory to load another replica of
// the declared version first.
func (s *planState) canUnloadOld(k, engine int) bool {
	m, mv := &s.models[k], &s.modelViews[k]
	current := count(mv.current, Resident)
	if !s.declaredServes(k) {
		return false
	}
	if _, both := slotOn(mv.current, engine); !both && !s.adaptersServedElsewhere(k, engine) {
		return false
	}
	left := current + count(mv.old, Resident) - 1
	if left >= min(s.wantedReplicas(k), current+count(mv.old, Resident)) || current >= s.wantedReplicas(k) {
		return true
	}
	return s.chooseEngine(k, m.MemoryMB) < 0 && count(mv.current, Loading) == 0
}

// adapterServes reports whether an adapter is resident beside the declared version of
// its model or, while that version is not resident, beside an old version.
func (s *planState) adapterServes(k, j int) bool {
	return s.adapterServedElsewhere(k, j, -1)
}

// unloadOldAdapters unloads old versions of a model's adapters, each once the declared
// version of the adapter serves.
func (s *planState) unloadOldAdapters(k int) {
	mv := &s.modelViews[k]
	for _, a := range mv.oldAdapters {
		if a.state != Resident {
			continue
		}
		j := s.models[k].adapterIndex[a.slot.Adapter]
		if s.adapterServes(k, j) {
			s.planUnload(mv.oldAdapters, a, RuleVersion, 0, 0)
		}
	}
}
