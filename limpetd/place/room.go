package place

import (
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// want is what needs room: a model on an engine that lacks it or, with an
// adapter, the adapter beside the model.
type want struct {
	model     int
	adapterMB int64
}

// short returns the memory that an engine lacks for what needs room, and whether
// the engine can take it.
func (s *stage) short(w want, engine int) (int64, bool) {
	s.steps++
	e, mv := &s.engines[engine], &s.views[w.model]
	m := &s.models[w.model]
	if !e.Usable || e.Pool != m.Pool || slices.Contains(e.Refuses, m.Name) {
		return 0, false
	}
	need := w.adapterMB
	if h, ok := on(mv.current, engine); !ok || w.adapterMB == 0 || h.state != Resident {
		need += m.MemoryMB
		if occupied(mv.current, engine) {
			return 0, false
		}
	}
	return need - e.room() - e.soon, true
}

// anyReplica allows to give up any surplus replica.
func anyReplica(holder, int) bool { return true }

// makeRoom frees memory for a model that fits nowhere: by giving up surplus
// replicas, else by moving other models away.
func (s *stage) makeRoom(k int, rule Rule) {
	m := &s.models[k]
	w := want{model: k}
	if s.awaits(w) {
		return
	}
	if s.evict(w, anyReplica, RuleMakeRoom, 0, 0) {
		return
	}
	if s.freeAdapters(w) || s.relocate(w) {
		return
	}
	if !s.views[k].remote && s.turn(s.planner.lacking, k) && s.evictKept(w) {
		return
	}
	if rule == RuleVersion {
		s.block(m.slot, code.MemoryExceeded, "no engine has room for the new version beside the old one")
		return
	}
	s.block(m.slot, code.MemoryExceeded, "no engine of pool "+m.Pool+" has room")
}

// awaits tells whether memory for what needs room is about to become free.
func (s *stage) awaits(w want) bool {
	m := &s.models[w.model]
	for i := range s.engines {
		if short, ok := s.short(w, i); ok && s.engines[i].soon > 0 && short <= 0 {
			return true
		}
	}
	r, ok := s.planner.relocations[m.Name]
	if !ok {
		return false
	}
	waits := slices.ContainsFunc(r.victims, func(name string) bool {
		victim, declared := s.byName[name]
		return declared && count(s.views[victim].current, Loading) > 0
	})
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

// evict gives up surplus replicas on the engine where the fewest make room. It
// returns false when none can.
func (s *stage) evict(w want, allowed func(h holder, victim int) bool, rule Rule, gain, cost float64) bool {
	best := s.bestVictims(w, allowed)
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
// the least demanded, make room.
func (s *stage) bestVictims(w want, allowed func(h holder, victim int) bool) *victims {
	var best *victims
	for i := range s.engines {
		short, ok := s.short(w, i)
		if !ok {
			continue
		}
		v := s.victimsOn(i, w.model, short, allowed)
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

// victimsOn returns surplus replicas that free enough memory on an engine, none of k
// where an adapter of k needs room beside it.
func (s *stage) victimsOn(engine, k int, shortMB int64, allowed func(h holder, victim int) bool) *victims {
	v := &victims{engine: engine}
	candidates := slices.Clone(s.engines[engine].models)
	slices.SortStableFunc(candidates, func(a, b int) int {
		return compareFloat(s.views[a].demand, s.views[b].demand)
	})
	for _, c := range candidates {
		if v.freedMB >= shortMB {
			break
		}
		s.steps++
		h, ok := s.spare(c, engine)
		beside := c == k && occupied(s.views[k].current, engine)
		if !ok || beside || !allowed(h, c) {
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
		return h, others >= 1 && (s.accompanied(k, h) || s.adaptersElsewhere(k, engine))
	}
	h, ok := on(mv.current, engine)
	if !ok || h.state != Resident || current <= s.minLocal(k) {
		return holder{}, false
	}
	return h, s.adaptersElsewhere(k, engine)
}

// accompanied tells whether another version of a model stays resident beside a
// replica, so that its adapters stay, too.
func (s *stage) accompanied(k int, h holder) bool {
	mv := &s.views[k]
	return slices.ContainsFunc(append(slices.Clone(mv.current), mv.old...), func(o holder) bool {
		return o.engine == h.engine && o.slot != h.slot && o.state == Resident
	})
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
	s.settleAdapters(k, h.engine)
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
// makes room, so that it can go in a later plan.
func (s *stage) freeAdapters(w want) bool {
	for i := range s.engines {
		short, ok := s.short(w, i)
		if !ok {
			continue
		}
		for _, c := range s.engines[i].models {
			h, ok := on(s.views[c].current, i)
			surplus := ok && c != w.model && h.state == Resident && count(s.views[c].current, Resident) > s.minLocal(c)
			if surplus && h.memory >= short && s.copyAdapters(c, i) {
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
		fits := s.engines[h.engine].room() >= m.Adapters[j].MemoryMB
		if h.engine != engine && h.state == Resident && fits && !occupied(mv.adapters[j], h.engine) {
			s.loadAdapter(c, j, h.engine, RuleRelocate, 0, 0)
			return true
		}
	}
	return false
}
