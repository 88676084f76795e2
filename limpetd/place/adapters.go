package place

import "github.com/limpetlb/limpetlb/limpetd/code"

// adapters places the adapters that are reachable on no engine, and unloads
// those that have no model beside them.
func (s *stage) adapters() {
	for k := range s.models {
		mv := &s.views[k]
		for j := range mv.adapters {
			s.dropOrphans(k, mv.adapters[j])
			if !s.adapterHeld(k, j) {
				s.placeAdapter(k, j)
			}
		}
		s.dropOrphans(k, mv.oldAdapters)
	}
}

// adapterHeld tells whether an adapter is charged beside its model, and beside
// the declared version if that is resident.
func (s *stage) adapterHeld(k, j int) bool {
	mv := &s.views[k]
	changed := count(mv.current, Resident) > 0
	for _, a := range mv.adapters[j] {
		if a.state == Unloading {
			continue
		}
		if _, ok := on(mv.current, a.engine); ok {
			return true
		}
		if !changed && s.serves(k, a.engine) {
			return true
		}
	}
	return false
}

// placeAdapter loads an adapter beside its model, where memory is kept for it.
func (s *stage) placeAdapter(k, j int) {
	mv := &s.views[k]
	memory := s.models[k].Adapters[j].MemoryMB
	e := mv.owedOn[j]
	if e >= 0 && s.serves(k, e) {
		s.loadAdapter(k, j, e, RuleAdapter, 0, 0)
		return
	}
	for _, h := range mv.old {
		changes := count(mv.current, Resident) == 0
		if changes && h.state == Resident && !occupied(mv.adapters[j], h.engine) && s.engines[h.engine].room() >= memory {
			s.load(h.engine, s.models[k].adapterSlot(j), memory, RuleAdapter, 0, 0)
			return
		}
	}
	if e < 0 && count(mv.current, Loading) == 0 && count(mv.current, Resident)+count(mv.old, Resident) > 0 {
		s.hostAdapter(k, j)
	}
}

// hostAdapter finds room for an adapter whose model's engines are full: a
// further replica of the model on an engine with room for both, or else what
// makes room beside a replica or for a further one.
func (s *stage) hostAdapter(k, j int) {
	m := &s.models[k]
	s.pressed[m.Pool] = true
	w := want{model: k, adapterMB: m.Adapters[j].MemoryMB}
	if e := s.choose(k, m.MemoryMB+w.adapterMB); e >= 0 {
		s.loadModel(k, e, RuleAdapter, 0, 0)
		return
	}
	if s.awaits(w) || s.evict(w, anyReplica, RuleMakeRoom, 0, 0) {
		return
	}
	if s.undoChange(k, w.adapterMB) || s.freeAdapters(w) || s.relocate(w) {
		return
	}
	if !s.views[k].remoteWhole && s.turn(s.planner.partial, k) && s.evictKept(w) {
		return
	}
	s.block(m.adapterSlot(j), code.MemoryExceeded, "no engine that holds the model has room")
}

// undoChange gives up a changed version on an engine that holds the model and
// lacks memory for an adapter, if the old version still serves all that the
// changed one would. The change comes again when it leaves room.
func (s *stage) undoChange(k int, memoryMB int64) bool {
	for _, host := range s.views[k].current {
		e := &s.engines[host.engine]
		for _, c := range e.models {
			h, ok := on(s.views[c].current, host.engine)
			undone := ok && h.state == Resident && e.room()+e.soon+h.memory >= memoryMB
			if undone && s.oldServes(c) && !s.changed(c) {
				s.drop(c, h, RuleMakeRoom, 0, 0)
				return true
			}
		}
	}
	return false
}

// oldServes tells whether a resident old version serves a model and each of its
// adapters that is resident anywhere.
func (s *stage) oldServes(c int) bool {
	mv := &s.views[c]
	for _, o := range mv.old {
		if o.state != Resident {
			continue
		}
		all := true
		for j := range mv.adapters {
			if _, here := on(mv.adapters[j], o.engine); !here && count(mv.adapters[j], Resident) > 0 {
				all = false
			}
		}
		if all {
			return true
		}
	}
	return false
}

// changed tells whether the declared version serves with all adapters.
func (s *stage) changed(c int) bool {
	for j := range s.views[c].adapters {
		if !s.adapterServes(c, j) {
			return false
		}
	}
	return count(s.views[c].current, Resident) > 0
}

// dropOrphans unloads adapters on engines that hold no version of the model.
func (s *stage) dropOrphans(k int, holders []holder) {
	mv := &s.views[k]
	for _, a := range holders {
		if a.state != Resident {
			continue
		}
		if occupied(mv.current, a.engine) || occupied(mv.old, a.engine) {
			continue
		}
		s.unload(holders, a, RuleUndeclared, 0, 0)
	}
}

// breakOld unloads old versions once the declared one serves in their place.
func (s *stage) breakOld() {
	for k := range s.models {
		mv := &s.views[k]
		s.breakOldAdapters(k)
		for _, h := range mv.old {
			if h.state != Resident || !s.replaced(k, h.engine) {
				continue
			}
			s.drop(k, h, RuleVersion, 0, 0)
		}
	}
}

// replaced tells whether an old replica can go: the declared version serves
// with all adapters, and enough replicas are left, or no memory is free to make
// another one first.
func (s *stage) replaced(k, engine int) bool {
	m, mv := &s.models[k], &s.views[k]
	current := count(mv.current, Resident)
	if !s.changed(k) {
		return false
	}
	if _, both := on(mv.current, engine); !both && !s.adaptersElsewhere(k, engine) {
		return false
	}
	left := current + count(mv.old, Resident) - 1
	if left >= min(s.wanted(k), current+count(mv.old, Resident)) || current >= s.wanted(k) {
		return true
	}
	return s.choose(k, m.MemoryMB) < 0 && count(mv.current, Loading) == 0
}

// adapterServes tells whether an adapter is resident beside the declared
// version of its model.
func (s *stage) adapterServes(k, j int) bool {
	return s.adapterElsewhere(k, j, -1)
}

// breakOldAdapters unloads old versions of adapters once the declared version
// serves.
func (s *stage) breakOldAdapters(k int) {
	mv := &s.views[k]
	for _, a := range mv.oldAdapters {
		if a.state != Resident {
			continue
		}
		j := s.models[k].adapters[a.slot.Adapter]
		if s.adapterServes(k, j) {
			s.unload(mv.oldAdapters, a, RuleVersion, 0, 0)
		}
	}
}
