package place

import (
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// makeRoom frees memory for a model that fits nowhere: by giving up surplus
// replicas, else by moving another model away.
func (s *stage) makeRoom(k int, rule Rule) {
	m := &s.models[k]
	if s.awaits(k) {
		return
	}
	if s.evict(k, func(holder, int) bool { return true }, RuleMakeRoom, 0, 0) {
		return
	}
	if s.freeAdapters(k) || s.relocate(k) {
		return
	}
	if !s.views[k].remote && s.turn(k) && s.evictKept(k) {
		return
	}
	if rule == RuleVersion {
		s.block(m.slot, code.MemoryExceeded, "no engine has room for the new version beside the old one")
		return
	}
	s.block(m.slot, code.MemoryExceeded, "no engine of pool "+m.Pool+" has room")
}

// awaits tells whether memory for the model is about to become free.
func (s *stage) awaits(k int) bool {
	m, mv := &s.models[k], &s.views[k]
	for i := range s.engines {
		e := &s.engines[i]
		if e.Usable && e.Pool == m.Pool && e.soon > 0 && e.free+e.soon >= m.MemoryMB && !occupied(mv.current, i) {
			return true
		}
	}
	r, ok := s.planner.relocations[m.Name]
	if !ok {
		return false
	}
	victim, declared := s.byName[r.victim]
	waits := declared && count(s.views[victim].current, Loading) > 0
	if !waits || s.facts.Now.Sub(r.at) > relocateTimeout {
		delete(s.planner.relocations, m.Name)
		return false
	}
	return true
}

// victims are replicas whose unloading makes room on an engine.
type victims struct {
	engine  int
	models  []int
	demand  float64
	freedMB int64
}

// evict gives up surplus replicas on the engine where the fewest make room for
// the model. It returns false when none can.
func (s *stage) evict(k int, allowed func(h holder, victim int) bool, rule Rule, gain, cost float64) bool {
	best := s.bestVictims(k, allowed)
	if best == nil {
		return false
	}
	for _, c := range best.models {
		if h, ok := s.spare(c, best.engine); ok {
			s.drop(c, h, rule, gain, cost)
		}
	}
	return true
}

// bestVictims finds the engine where the fewest surplus replicas, and of those
// the least demanded, make room for the model.
func (s *stage) bestVictims(k int, allowed func(h holder, victim int) bool) *victims {
	m, mv := &s.models[k], &s.views[k]
	var best *victims
	for i := range s.engines {
		e := &s.engines[i]
		if !e.Usable || e.Pool != m.Pool || occupied(mv.current, i) {
			continue
		}
		v := s.victimsOn(i, m.MemoryMB-e.free-e.soon, allowed)
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

// victimsOn returns surplus replicas on an engine that free enough memory.
func (s *stage) victimsOn(engine int, shortMB int64, allowed func(h holder, victim int) bool) *victims {
	v := &victims{engine: engine}
	candidates := slices.Clone(s.engines[engine].models)
	slices.SortStableFunc(candidates, func(a, b int) int {
		return compareFloat(s.views[a].demand, s.views[b].demand)
	})
	for _, c := range candidates {
		if v.freedMB >= shortMB {
			break
		}
		h, ok := s.spare(c, engine)
		if !ok || !allowed(h, c) {
			continue
		}
		v.models = append(v.models, c)
		v.demand += s.views[c].demand
		v.freedMB += h.memory
	}
	if v.freedMB < shortMB || len(v.models) == 0 {
		return nil
	}
	return v
}

// compareFloat orders numbers.
func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// spare returns the model's replica on an engine, an old one first, if the model
// keeps its minimum of resident replicas and every adapter without it.
func (s *stage) spare(k, engine int) (holder, bool) {
	mv := &s.views[k]
	current := count(mv.current, Resident)
	if h, ok := on(mv.old, engine); ok && h.state == Resident {
		others := current + count(mv.old, Resident) - 1
		return h, others >= 1 && s.adaptersElsewhere(k, engine)
	}
	h, ok := on(mv.current, engine)
	if !ok || h.state != Resident || current <= s.minLocal(k) {
		return holder{}, false
	}
	return h, s.adaptersElsewhere(k, engine)
}

// adaptersElsewhere tells whether every adapter that the engine holds is
// resident on another engine beside the model.
func (s *stage) adaptersElsewhere(k, engine int) bool {
	for j := range s.views[k].adapters {
		if _, here := on(s.views[k].adapters[j], engine); here && !s.adapterElsewhere(k, j, engine) {
			return false
		}
	}
	return true
}

// adapterElsewhere tells whether an adapter is resident on another engine than
// the given one, beside the declared version or, while none is resident, beside
// an old one.
func (s *stage) adapterElsewhere(k, j, engine int) bool {
	mv := &s.views[k]
	hosts := mv.current
	if count(hosts, Resident) == 0 {
		hosts = mv.old
	}
	for _, a := range mv.adapters[j] {
		if a.engine == engine || a.state != Resident {
			continue
		}
		if m, ok := on(hosts, a.engine); ok && m.state == Resident {
			return true
		}
	}
	return false
}

// drop unloads a replica with its adapters. While an adapter is being loaded
// there it waits for a later plan.
func (s *stage) drop(k int, h holder, rule Rule, gain, cost float64) {
	mv := &s.views[k]
	if !s.dropAdapters(k, h, rule) {
		return
	}
	if h.slot.Version == s.models[k].Version {
		s.unload(mv.current, h, rule, gain, cost)
		return
	}
	s.unload(mv.old, h, rule, gain, cost)
}

// dropAdapters unloads the adapters on a replica's engine unless another
// version of the model stays there. It returns false while one is being loaded.
func (s *stage) dropAdapters(k int, h holder, rule Rule) bool {
	mv := &s.views[k]
	for _, hs := range [][]holder{mv.current, mv.old} {
		for _, o := range hs {
			if o.engine == h.engine && o.slot != h.slot && o.state != Unloading {
				return true
			}
		}
	}
	lists := append(slices.Clone(mv.adapters), mv.oldAdapters)
	for _, hs := range lists {
		if a, ok := on(hs, h.engine); ok && a.state == Loading {
			return false
		}
	}
	for _, hs := range lists {
		for _, a := range slices.Clone(hs) {
			if a.engine == h.engine && a.state == Resident {
				s.unload(hs, a, rule, 0, 0)
			}
		}
	}
	return true
}

// freeAdapters copies the adapters that alone keep a surplus replica where it
// makes room for k, so that it can go in a later plan.
func (s *stage) freeAdapters(k int) bool {
	for i := range s.engines {
		e := &s.engines[i]
		if !e.Usable || e.Pool != s.models[k].Pool || occupied(s.views[k].current, i) {
			continue
		}
		for _, c := range e.models {
			h, ok := on(s.views[c].current, i)
			surplus := ok && h.state == Resident && count(s.views[c].current, Resident) > s.minLocal(c)
			if surplus && h.memory+e.free+e.soon >= s.models[k].MemoryMB && s.copyAdapters(c, i) {
				return true
			}
		}
	}
	return false
}

// copyAdapters loads the adapters that only one engine holds on another replica
// of their model. It returns false when one finds no room.
func (s *stage) copyAdapters(c, engine int) bool {
	mv := &s.views[c]
	for j := range mv.adapters {
		if _, here := on(mv.adapters[j], engine); !here || s.adapterElsewhere(c, j, engine) {
			continue
		}
		if count(mv.adapters[j], Loading) == 0 && !s.copyAdapter(c, j, engine) {
			return false
		}
	}
	return true
}

// copyAdapter loads an adapter on another replica than that of an engine.
func (s *stage) copyAdapter(c, j, engine int) bool {
	m, mv := &s.models[c], &s.views[c]
	for _, h := range mv.current {
		fits := s.engines[h.engine].free >= m.Adapters[j].MemoryMB
		if h.engine != engine && h.state == Resident && fits && !occupied(mv.adapters[j], h.engine) {
			s.load(h.engine, m.adapterSlot(j), m.Adapters[j].MemoryMB, RuleRelocate, 0, 0)
			return true
		}
	}
	return false
}

// relocate begins to move a model off an engine to another one, so that there
// will be room for k. The old replica then is surplus and is given up.
func (s *stage) relocate(k int) bool {
	if s.relocations >= relocateLimit {
		s.pressed[s.models[k].Pool] = true
		return true
	}
	m := &s.models[k]
	victim, from, to := -1, -1, -1
	for i := range s.engines {
		e := &s.engines[i]
		if !e.Usable || e.Pool != m.Pool || occupied(s.views[k].current, i) {
			continue
		}
		short := m.MemoryMB - e.free - e.soon
		for _, c := range e.models {
			if c == k || s.models[c].groupMB < short || !s.movable(c, i) {
				continue
			}
			if victim >= 0 && s.models[c].groupMB >= s.models[victim].groupMB {
				continue
			}
			if t := s.choose(c, s.models[c].groupMB); t >= 0 && t != i {
				victim, from, to = c, i, t
			}
		}
	}
	if victim < 0 {
		return false
	}
	s.relocations++
	s.loadModel(victim, to, RuleRelocate, 0, 0)
	s.planner.relocations[m.Name] = relocation{victim: s.models[victim].Name, engine: s.engines[from].VM, at: s.facts.Now}
	return true
}

// movable tells whether a model's replica on an engine is resident, of the
// declared version, and not moving already.
func (s *stage) movable(c, engine int) bool {
	h, ok := on(s.views[c].current, engine)
	return ok && h.state == Resident && count(s.views[c].current, Loading) == 0
}
