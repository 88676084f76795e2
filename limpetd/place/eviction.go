package place

import (
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// wantedMemory describes what needs memory on an engine: a model on an engine that
// doesn't hold it or, if adapterMB isn't 0, an adapter beside its model.
type wantedMemory struct {
	model     int
	adapterMB int64
}

// shortfallMB returns the memory that an engine lacks for w once its started unloads
// end, and whether the engine may load w at all. Surplus memory makes the shortfall
// negative.
func (s *planState) shortfallMB(w wantedMemory, engine int) (int64, bool) {
	s.steps++
	e, mv := &s.engines[engine], &s.modelViews[w.model]
	m := &s.models[w.model]
	if !e.Usable || e.Pool != m.Pool || slices.Contains(e.RefusedModels, m.Name) {
		return 0, false
	}
	needMB := w.adapterMB
	if h, ok := slotOn(mv.current, engine); !ok || w.adapterMB == 0 || h.state != Resident {
		needMB += m.MemoryMB
		if anySlotOn(mv.current, engine) {
			return 0, false
		}
	}
	return needMB - e.availableMB() - e.unloadingMB, true
}

// anyReplica allows the eviction of any surplus replica.
func anyReplica(heldSlot, int) bool { return true }

// makeRoom frees memory for a model that no engine has enough memory for. It tries, in
// this order: to wait for memory that is being freed, to unload surplus replicas, to
// copy the adapters that prevent an unload, to move other models to other engines,
// and, for a model that no other data centre holds, in the turn of this data centre, to
// unload models that a data centre with a higher priority also holds. If nothing
// succeeds, the plan lists the model as blocked.
func (s *planState) makeRoom(k int, rule Rule) {
	m := &s.models[k]
	w := wantedMemory{model: k}
	if s.memoryPending(w) {
		return
	}
	if s.evict(w, anyReplica, RuleMakeRoom, 0, 0) {
		return
	}
	if s.copyBlockingAdapters(w) || s.relocate(w) {
		return
	}
	if !s.modelViews[k].heldRemotely && s.hasTurn(s.planner.missingSince, k) && s.evictRedundant(w) {
		return
	}
	if rule == RuleVersion {
		s.addBlocked(m.slot, code.MemoryExceeded, "no engine has enough memory for the new version beside the old version")
		return
	}
	s.addBlocked(m.slot, code.MemoryExceeded, "no engine of pool "+m.Pool+" has enough memory")
}

// memoryPending reports whether started unloads or relocations are going to free the
// wanted memory. It drops the record of a relocation for the model if none of its models
// is loading any more or the relocation has taken longer than moveTimeout.
func (s *planState) memoryPending(w wantedMemory) bool {
	m := &s.models[w.model]
	for i := range s.engines {
		if shortMB, ok := s.shortfallMB(w, i); ok && s.engines[i].unloadingMB > 0 && shortMB <= 0 {
			return true
		}
	}
	r, ok := s.planner.relocations[m.Name]
	if !ok {
		return false
	}
	loading := slices.ContainsFunc(r.models, func(name string) bool {
		moved, declared := s.byName[name]
		return declared && count(s.modelViews[moved].current, Loading) > 0
	})
	if !loading || s.input.Now.Sub(r.startedAt) > moveTimeout {
		delete(s.planner.relocations, m.Name)
		return false
	}
	return true
}

// victims are replicas on one engine whose unloads free enough memory.
type victims struct {
	engine int
	models []int
	// demand is the sum of the demand for the models, in tokens per second.
	demand  float64
	freedMB int64
}

// evict unloads the replicas that bestVictims returns, to free the wanted memory. It
// returns false when no engine has enough surplus replicas. allowed restricts which
// replicas may be unloaded.
func (s *planState) evict(w wantedMemory, allowed func(h heldSlot, victim int) bool, rule Rule, gain, cost float64) bool {
	best := s.bestVictims(w, allowed)
	if best == nil {
		return false
	}
	for _, c := range best.models {
		if h, ok := s.surplusReplica(c, best.engine); ok {
			s.unloadReplica(c, h, rule, gain, cost)
		}
	}
	return true
}

// bestVictims returns the result of victimsOn for the engine where this has the fewest
// replicas and, among equally many, the least demand. It returns nil when no engine has
// enough surplus replicas. allowed restricts which replicas may be unloaded.
func (s *planState) bestVictims(w wantedMemory, allowed func(h heldSlot, victim int) bool) *victims {
	var best *victims
	for i := range s.engines {
		shortMB, ok := s.shortfallMB(w, i)
		if !ok {
			continue
		}
		v := s.victimsOn(i, w.model, shortMB, allowed)
		if v == nil {
			continue
		}
		fewer := best == nil || len(v.models) < len(best.models)
		if fewer || (len(v.models) == len(best.models) && v.demand < best.demand) {
			best = v
		}
	}
	return best
}

// victimsOn returns surplus replicas on an engine that free shortMB of memory, those
// of the least demanded models first, or nil. A replica of k itself is left out where
// the engine holds the declared version of k, because an adapter of k then needs the
// memory beside that replica.
func (s *planState) victimsOn(engine, k int, shortMB int64, allowed func(h heldSlot, victim int) bool) *victims {
	v := &victims{engine: engine}
	candidates := slices.Clone(s.engines[engine].models)
	slices.SortStableFunc(candidates, func(a, b int) int {
		return compareFloat(s.modelViews[a].demand, s.modelViews[b].demand)
	})
	for _, c := range candidates {
		if v.freedMB >= shortMB {
			break
		}
		s.steps++
		h, ok := s.surplusReplica(c, engine)
		hostsAdapter := c == k && anySlotOn(s.modelViews[k].current, engine)
		if !ok || hostsAdapter || !allowed(h, c) {
			continue
		}
		v.models = append(v.models, c)
		v.demand += s.modelViews[c].demand
		v.freedMB += h.memoryMB
	}
	if v.freedMB < shortMB || len(v.models) == 0 {
		return nil
	}
	return v
}

// compareFloat compares two numbers like cmp.Compare, but treats NaN as equal to any
// number.
func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// surplusReplica returns the resident replica of a model on an engine, one of an old
// version first, and reports whether the replica is surplus: without it, the model keeps
// its minimum of resident replicas, and every adapter stays in service. For a replica of
// an old version, one other resident replica suffices.
func (s *planState) surplusReplica(k, engine int) (heldSlot, bool) {
	mv := &s.modelViews[k]
	current := count(mv.current, Resident)
	if h, ok := slotOn(mv.old, engine); ok && h.state == Resident {
		others := current + count(mv.old, Resident) - 1
		return h, others >= 1 && (s.otherVersionResident(k, h) || s.adaptersServedElsewhere(k, engine))
	}
	h, ok := slotOn(mv.current, engine)
	if !ok || h.state != Resident || current <= s.minLocalReplicas(k) {
		return heldSlot{}, false
	}
	return h, s.adaptersServedElsewhere(k, engine)
}

// otherVersionResident reports whether another version of a model is resident on the
// engine of a replica, so that the adapters there stay usable without the replica.
func (s *planState) otherVersionResident(k int, h heldSlot) bool {
	mv := &s.modelViews[k]
	return slices.ContainsFunc(append(slices.Clone(mv.current), mv.old...), func(o heldSlot) bool {
		return o.engine == h.engine && o.slot != h.slot && o.state == Resident
	})
}

// adaptersServedElsewhere reports whether every adapter of a model that an engine holds
// is also resident beside the model on another engine.
func (s *planState) adaptersServedElsewhere(k, engine int) bool {
	for j := range s.modelViews[k].adapters {
		if _, here := slotOn(s.modelViews[k].adapters[j], engine); here && !s.adapterServedElsewhere(k, j, engine) {
			return false
		}
	}
	return true
}

// adapterServedElsewhere reports whether an adapter is resident on an engine other than
// the given one, beside the declared version of its model or, while no replica of the
// declared version is resident, beside an old version.
func (s *planState) adapterServedElsewhere(k, j, engine int) bool {
	mv := &s.modelViews[k]
	hosts := mv.current
	if count(hosts, Resident) == 0 {
		hosts = mv.old
	}
	for _, a := range mv.adapters[j] {
		if a.engine == engine || a.state != Resident {
			continue
		}
		if m, ok := slotOn(hosts, a.engine); ok && m.state == Resident {
			return true
		}
	}
	return false
}

// unloadReplica unloads a replica with its adapters. While one of the adapters is
// loading on the engine, it does nothing and leaves the unload to a later plan.
func (s *planState) unloadReplica(k int, h heldSlot, rule Rule, gain, cost float64) {
	mv := &s.modelViews[k]
	if !s.unloadReplicaAdapters(k, h, rule) {
		return
	}
	s.releaseAdapterMemoryOn(k, h.engine)
	if h.slot.Version == s.models[k].Version {
		s.planUnload(mv.current, h, rule, gain, cost)
		return
	}
	s.planUnload(mv.old, h, rule, gain, cost)
}

// unloadReplicaAdapters unloads the adapters on a replica's engine, unless another
// version of the model stays there. It returns false and unloads none while one of
// the adapters is loading.
func (s *planState) unloadReplicaAdapters(k int, h heldSlot, rule Rule) bool {
	mv := &s.modelViews[k]
	for _, hs := range [][]heldSlot{mv.current, mv.old} {
		for _, o := range hs {
			if o.engine == h.engine && o.slot != h.slot && o.state != Unloading {
				return true
			}
		}
	}
	lists := append(slices.Clone(mv.adapters), mv.oldAdapters)
	for _, hs := range lists {
		if a, ok := slotOn(hs, h.engine); ok && a.state == Loading {
			return false
		}
	}
	for _, hs := range lists {
		for _, a := range slices.Clone(hs) {
			if a.engine == h.engine && a.state == Resident {
				s.planUnload(hs, a, rule, 0, 0)
			}
		}
	}
	return true
}

// copyBlockingAdapters looks for a surplus replica that would free the wanted memory
// but is the only host of some adapters. It loads these adapters on other replicas, so
// that a later plan can unload the surplus replica.
func (s *planState) copyBlockingAdapters(w wantedMemory) bool {
	for i := range s.engines {
		shortMB, ok := s.shortfallMB(w, i)
		if !ok {
			continue
		}
		for _, c := range s.engines[i].models {
			h, ok := slotOn(s.modelViews[c].current, i)
			surplus := ok && c != w.model && h.state == Resident && count(s.modelViews[c].current, Resident) > s.minLocalReplicas(c)
			if surplus && h.memoryMB >= shortMB && s.copyAdapters(c, i) {
				return true
			}
		}
	}
	return false
}

// copyAdapters loads the adapters of model c that are resident on only the given engine
// on other replicas of c. It returns false when no other replica has enough memory for
// one of the adapters.
func (s *planState) copyAdapters(c, engine int) bool {
	mv := &s.modelViews[c]
	for j := range mv.adapters {
		if _, here := slotOn(mv.adapters[j], engine); !here || s.adapterServedElsewhere(c, j, engine) {
			continue
		}
		if count(mv.adapters[j], Loading) == 0 && !s.copyAdapter(c, j, engine) {
			return false
		}
	}
	return true
}

// copyAdapter loads adapter j of model c on a resident replica that is not on the given
// engine. It returns false when no such replica has enough memory.
func (s *planState) copyAdapter(c, j, engine int) bool {
	m, mv := &s.models[c], &s.modelViews[c]
	for _, h := range mv.current {
		fits := s.engines[h.engine].availableMB() >= m.Adapters[j].MemoryMB
		if h.engine != engine && h.state == Resident && fits && !anySlotOn(mv.adapters[j], h.engine) {
			s.planAdapterLoad(c, j, h.engine, RuleRelocate, 0, 0)
			return true
		}
	}
	return false
}
