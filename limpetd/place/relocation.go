package place

import (
	"cmp"
	"slices"
)

// relocate starts to move models off an engine, to free the wanted memory there. It
// chooses the engine where the fewest models have to move and, among equals, the least
// memory has to move. Once the models are resident on other engines, their old replicas
// are surplus and a later plan unloads them. The result reports whether a relocation
// started or the plan has reached maxRelocations.
func (s *planState) relocate(w wantedMemory) bool {
	if s.relocationsStarted >= maxRelocations {
		return true
	}
	var best []modelMove
	engine := -1
	for i := range s.engines {
		shortMB, ok := s.shortfallMB(w, i)
		if !ok {
			continue
		}
		moves := s.movesFrom(i, w.model, shortMB)
		if len(moves) > 0 && (engine < 0 || len(moves) < len(best) || (len(moves) == len(best) && s.movedMB(moves) < s.movedMB(best))) {
			best, engine = moves, i
		}
	}
	if engine < 0 {
		return false
	}
	s.relocationsStarted++
	var names []string
	for _, m := range best {
		s.planModelLoad(m.model, m.target, RuleRelocate, 0, 0)
		names = append(names, s.models[m.model].Name)
	}
	s.planner.relocations[s.models[w.model].Name] = relocation{models: names, startedAt: s.input.Now}
	return true
}

// modelMove is a model and the engine that it can move to.
type modelMove struct{ model, target int }

// movedMB returns the memory of the moved models with their adapters.
func (s *planState) movedMB(moves []modelMove) int64 {
	var sum int64
	for _, m := range moves {
		sum += s.models[m.model].groupMB
	}
	return sum
}

// movesFrom returns moves off an engine that free the shortMB of memory that model k
// lacks there, or nil. The smallest model that alone frees enough is preferred;
// otherwise models are taken from the largest down.
func (s *planState) movesFrom(engine, k int, shortMB int64) []modelMove {
	candidates := slices.Clone(s.engines[engine].models)
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(s.models[b].groupMB, s.models[a].groupMB) })
	var single, several []modelMove
	takenMB := map[int]int64{}
	leftMB := shortMB
	for _, c := range candidates {
		s.steps++
		if c == k || !s.movable(c, engine) {
			continue
		}
		if t := s.chooseTarget(c, engine, nil); t >= 0 && s.models[c].groupMB >= shortMB {
			single = []modelMove{{c, t}}
		}
		if t := s.chooseTarget(c, engine, takenMB); t >= 0 && leftMB > 0 {
			several = append(several, modelMove{c, t})
			takenMB[t] += s.models[c].groupMB
			leftMB -= s.models[c].groupMB
		}
	}
	switch {
	case single != nil:
		return single
	case leftMB <= 0:
		return several
	}
	return nil
}

// chooseTarget returns the engine, other than from, with the least available memory
// that suffices for model c with its adapters, or -1. takenMB is the memory of each
// engine that other models of the same relocation take.
func (s *planState) chooseTarget(c, from int, takenMB map[int]int64) int {
	best := -1
	for i := range s.engines {
		e := &s.engines[i]
		if i == from || !s.canLoad(c, i, s.models[c].groupMB+takenMB[i]) {
			continue
		}
		if best < 0 || e.availableMB()-takenMB[i] < s.engines[best].availableMB()-takenMB[best] {
			best = i
		}
	}
	return best
}

// movable reports whether an engine holds a resident replica of a model's declared
// version, and no replica of that version is loading on any engine.
func (s *planState) movable(c, engine int) bool {
	h, ok := slotOn(s.modelViews[c].current, engine)
	return ok && h.state == Resident && count(s.modelViews[c].current, Loading) == 0
}
