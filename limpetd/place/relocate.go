package place

import (
	"cmp"
	"slices"
)

// relocate begins to move models off an engine to others, so that there will be
// room for what needs it: the fewest, and of those the smallest. The old replicas
// then are surplus and are given up.
func (s *stage) relocate(w want) bool {
	if s.relocations >= relocateLimit {
		return true
	}
	var best []relocated
	engine := -1
	for i := range s.engines {
		short, ok := s.short(w, i)
		if !ok {
			continue
		}
		r := s.relocatedFrom(i, w.model, short)
		if len(r) > 0 && (engine < 0 || len(r) < len(best) || (len(r) == len(best) && s.memoryOf(r) < s.memoryOf(best))) {
			best, engine = r, i
		}
	}
	if engine < 0 {
		return false
	}
	s.relocations++
	var names []string
	for _, r := range best {
		s.loadModel(r.model, r.to, RuleRelocate, 0, 0)
		names = append(names, s.models[r.model].Name)
	}
	s.planner.relocations[s.models[w.model].Name] = relocation{victims: names, at: s.facts.Now}
	return true
}

// relocated is a model and the engine that it can move to.
type relocated struct{ model, to int }

// memoryOf is the memory of relocated models with their adapters.
func (s *stage) memoryOf(list []relocated) int64 {
	var sum int64
	for _, r := range list {
		sum += s.models[r.model].groupMB
	}
	return sum
}

// relocatedFrom returns models that can move off an engine and free the memory
// that k lacks there: the smallest one that does alone, or else large ones first.
func (s *stage) relocatedFrom(engine, k int, short int64) []relocated {
	candidates := slices.Clone(s.engines[engine].models)
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(s.models[b].groupMB, s.models[a].groupMB) })
	var alone, list []relocated
	taken := map[int]int64{}
	left := short
	for _, c := range candidates {
		s.steps++
		if c == k || !s.movable(c, engine) {
			continue
		}
		if t := s.chooseBeside(c, engine, nil); t >= 0 && s.models[c].groupMB >= short {
			alone = []relocated{{c, t}}
		}
		if t := s.chooseBeside(c, engine, taken); t >= 0 && left > 0 {
			list = append(list, relocated{c, t})
			taken[t] += s.models[c].groupMB
			left -= s.models[c].groupMB
		}
	}
	switch {
	case alone != nil:
		return alone
	case left <= 0:
		return list
	}
	return nil
}

// chooseBeside returns the engine with least room that has room for a model with
// its adapters besides what is taken, or -1. The engine that it leaves is none.
func (s *stage) chooseBeside(c, from int, taken map[int]int64) int {
	best := -1
	for i := range s.engines {
		e := &s.engines[i]
		if i == from || !s.takes(c, i, s.models[c].groupMB+taken[i]) {
			continue
		}
		if best < 0 || e.room()-taken[i] < s.engines[best].room()-taken[best] {
			best = i
		}
	}
	return best
}

// movable tells whether a model's replica on an engine is resident, of the
// declared version, and not moving already.
func (s *stage) movable(c, engine int) bool {
	h, ok := on(s.views[c].current, engine)
	return ok && h.state == Resident && count(s.views[c].current, Loading) == 0
}
