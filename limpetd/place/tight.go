package place

import (
	"cmp"
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
	if s.ample(pool, models) {
		return true
	}
	spread := s.tryPlace(pool, models, false)
	if spread == len(models) {
		s.tight[pool] = false
		return true
	}
	packed := s.tryPlace(pool, models, true)
	s.tight[pool] = packed > spread
	return packed == len(models)
}

// ample tells whether models, of one replica each, find room in any order: so much
// is left in the end that an engine has room for the largest.
func (s *stage) ample(pool string, models []int) bool {
	var left, largest int64
	engines := int64(0)
	for i := range s.engines {
		if e := &s.engines[i]; e.Usable && e.Pool == pool {
			left += e.room()
			engines++
		}
	}
	for _, k := range models {
		m := &s.models[k]
		if s.minLocal(k) > 1 {
			return false
		}
		left -= m.groupMB
		largest = max(largest, m.groupMB)
	}
	return left >= engines*largest
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

// tryPlace returns how many models of a pool find room for their replicas, with
// their adapters beside the first one.
func (s *stage) tryPlace(pool string, models []int, tight bool) int {
	t := newTry(s, pool, tight)
	placed := 0
	for _, k := range models {
		if t.place(k) {
			placed++
		}
	}
	return placed
}

// try is a placement that is tried out.
type try struct {
	*stage
	room    []int64
	ranking *ranking
}

// newTry returns the engines of a pool as they are.
func newTry(s *stage, pool string, tight bool) *try {
	t := &try{stage: s, room: make([]int64, len(s.engines))}
	for i := range s.engines {
		t.room[i] = s.engines[i].room()
	}
	t.ranking = newRanking(s.view, pool, func(a, b int) int {
		s.steps++
		if tight {
			return cmp.Compare(t.room[a], t.room[b])
		}
		return cmp.Or(cmp.Compare(s.engines[a].busy(), s.engines[b].busy()), cmp.Compare(t.room[b], t.room[a]))
	})
	return t
}

// place takes the room for a model's missing replicas.
func (t *try) place(k int) bool {
	m, mv := &t.models[k], &t.views[k]
	have := count(mv.current, Loading, Resident) + count(mv.old, Loading, Resident)
	memory := m.groupMB
	if have > 0 {
		memory = m.MemoryMB
	}
	var used []int
	for ; have < t.minLocal(k); have++ {
		e := t.ranking.first(func(i int) bool {
			return t.room[i] >= memory && !slices.Contains(used, i) && t.takes(k, i, 0)
		})
		if e < 0 {
			return false
		}
		t.room[e] -= memory
		t.ranking.changed(e)
		used = append(used, e)
		memory = m.MemoryMB
	}
	return true
}
