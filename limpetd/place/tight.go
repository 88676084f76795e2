package place

import (
	"slices"
	"time"
)

// noteTight notes the pools in which the models that lack replicas all find room,
// or more of them, only on the engines with least room, and those in which they
// don't find room at all.
func (s *stage) noteTight() {
	lacking := map[string][]int{}
	for _, k := range s.order {
		mv := &s.views[k]
		if count(mv.current, Loading, Resident)+count(mv.old, Loading, Resident) < s.minLocal(k) {
			lacking[s.models[k].Pool] = append(lacking[s.models[k].Pool], k)
		}
	}
	for pool, models := range lacking {
		if s.fits(pool, models) {
			continue
		}
		s.scarce[pool] = true
		s.fits(pool, slices.DeleteFunc(models, func(k int) bool { return !s.mayKeep(k, s.planner.lacking) }))
	}
	for k := range s.models {
		name := s.models[k].Name
		for _, lacking := range []map[string]time.Time{s.planner.lacking, s.planner.partial} {
			since, noted := lacking[name]
			if noted && s.facts.Now.Sub(since) <= turnTime*time.Duration(len(s.names)) {
				s.unsettled[s.models[k].Pool] = true
			}
		}
	}
}

// fits tells whether models all find room, and notes whether they have to be
// packed for that.
func (s *stage) fits(pool string, models []int) bool {
	spread := s.tryPlace(models, false)
	if spread == len(models) {
		s.tight[pool] = false
		return true
	}
	packed := s.tryPlace(models, true)
	s.tight[pool] = packed > spread
	return packed == len(models)
}

// mayKeep tells whether the data centre loads a model that lacks in all of them:
// where memory is scarce only when it is its turn.
func (s *stage) mayKeep(k int, lacking map[string]time.Time) bool {
	return !s.scarce[s.models[k].Pool] || s.unknown() || s.turn(lacking, k)
}

// mayCopy tells whether the data centre loads a model that another one holds:
// where memory is scarce not before those are placed that lack in all of them.
func (s *stage) mayCopy(k int) bool {
	pool := s.models[k].Pool
	if !s.scarce[pool] || !s.unsettled[pool] || s.unknown() {
		return true
	}
	return !s.views[k].remoteWhole && s.turn(s.planner.partial, k)
}

// unknown tells whether it is unknown what a data centre holds.
func (s *stage) unknown() bool {
	return slices.ContainsFunc(s.facts.Remotes, func(r Remote) bool { return r.Unknown })
}

// tryPlace returns how many models find room for their replicas, with their
// adapters beside the first one.
func (s *stage) tryPlace(models []int, tight bool) int {
	room := make([]int64, len(s.engines))
	for i := range s.engines {
		room[i] = s.engines[i].room()
	}
	placed := 0
	for _, k := range models {
		if s.tryModel(k, room, tight) {
			placed++
		}
	}
	return placed
}

// tryModel takes the room for a model's missing replicas.
func (s *stage) tryModel(k int, room []int64, tight bool) bool {
	mv := &s.views[k]
	have := count(mv.current, Loading, Resident) + count(mv.old, Loading, Resident)
	memory := s.models[k].groupMB
	if have > 0 {
		memory = s.models[k].MemoryMB
	}
	used := map[int]bool{}
	for ; have < s.minLocal(k); have++ {
		e := s.tryEngine(k, room, used, memory, tight)
		if e < 0 {
			return false
		}
		room[e] -= memory
		used[e] = true
		memory = s.models[k].MemoryMB
	}
	return true
}

// tryEngine returns the engine with room that choose would return, or -1.
func (s *stage) tryEngine(k int, room []int64, used map[int]bool, memoryMB int64, tight bool) int {
	best := -1
	for i := range s.engines {
		if room[i] < memoryMB || used[i] || !s.takes(k, i, 0) {
			continue
		}
		e := &s.engines[i]
		switch {
		case best < 0, tight && room[i] < room[best]:
			best = i
		case !tight:
			a, b := e.busy(), s.engines[best].busy()
			if a < b || (a == b && room[i] > room[best]) {
				best = i
			}
		}
	}
	return best
}
