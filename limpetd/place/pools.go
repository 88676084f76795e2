package place

import (
	"cmp"
	"slices"
	"time"
)

// classifyPools sets bestFit and scarce for the pools with models that lack replicas, by
// dry runs of the placement of these models. For a scarce pool, bestFit follows from a
// dry run of only the models that this data centre may place now. classifyPools also sets
// turnsPending, for the pools with models that are missing or incomplete in all data
// centres.
func (s *planState) classifyPools() {
	missing := map[string][]int{}
	for _, k := range s.order {
		mv := &s.modelViews[k]
		if count(mv.current, Loading, Resident)+count(mv.old, Loading, Resident) < s.minLocalReplicas(k) {
			missing[s.models[k].Pool] = append(missing[s.models[k].Pool], k)
		}
	}
	for pool, models := range missing {
		if s.fitsPool(pool, models) {
			continue
		}
		s.scarce[pool] = true
		s.fitsPool(pool, slices.DeleteFunc(models, func(k int) bool { return !s.mayPlaceMissing(k, s.planner.missingSince) }))
	}
	for k := range s.models {
		name := s.models[k].Name
		for _, times := range []map[string]time.Time{s.planner.missingSince, s.planner.incompleteSince} {
			since, recorded := times[name]
			if recorded && s.input.Now.Sub(since) <= turnInterval*time.Duration(len(s.centreNames)) {
				s.turnsPending[s.models[k].Pool] = true
			}
		}
	}
}

// fitsPool reports whether the engines of a pool have enough memory for models, and sets
// bestFit for the pool if best fit places more of the models than worst fit does.
func (s *planState) fitsPool(pool string, models []int) bool {
	if s.fitsInAnyOrder(pool, models) {
		return true
	}
	worstFitCount := s.countPlaceable(pool, models, false)
	if worstFitCount == len(models) {
		s.bestFit[pool] = false
		return true
	}
	bestFitCount := s.countPlaceable(pool, models, true)
	s.bestFit[pool] = bestFitCount > worstFitCount
	return bestFitCount == len(models)
}

// fitsInAnyOrder reports whether models that need one replica each fit into a pool in
// whatever order they are placed: the memory left after all of them is, on average over
// the engines, enough for the largest model, so that every model finds an engine.
func (s *planState) fitsInAnyOrder(pool string, models []int) bool {
	var leftMB, largestMB int64
	engines := int64(0)
	for i := range s.engines {
		if e := &s.engines[i]; e.Usable && e.Pool == pool {
			leftMB += e.availableMB()
			engines++
		}
	}
	for _, k := range models {
		m := &s.models[k]
		if s.minLocalReplicas(k) > 1 {
			return false
		}
		leftMB -= m.groupMB
		largestMB = max(largestMB, m.groupMB)
	}
	return leftMB >= engines*largestMB
}

// mayPlaceMissing reports whether this data centre may load a model that is missing in
// all data centres. In a scarce pool the data centre has to wait for its turn.
func (s *planState) mayPlaceMissing(k int, missingSince map[string]time.Time) bool {
	return !s.scarce[s.models[k].Pool] || s.anyRemoteUnknown() || s.hasTurn(missingSince, k)
}

// mayPlaceHeldRemotely reports whether this data centre may load a model that another
// data centre holds. In a scarce pool, models that are missing in all data centres come
// first. Until the turns for these models are over, this data centre may only load a
// model that no other data centre holds with all its adapters, and only in its turn.
func (s *planState) mayPlaceHeldRemotely(k int) bool {
	pool := s.models[k].Pool
	if !s.scarce[pool] || !s.turnsPending[pool] || s.anyRemoteUnknown() {
		return true
	}
	return !s.modelViews[k].completeRemotely && s.hasTurn(s.planner.incompleteSince, k)
}

// anyRemoteUnknown reports whether some data centre may hold slots that are not known
// here.
func (s *planState) anyRemoteUnknown() bool {
	return slices.ContainsFunc(s.input.Remotes, func(r Remote) bool { return r.Incomplete })
}

// countPlaceable returns how many of the models find enough memory in a pool for their
// missing replicas, with the adapters beside the first replica of a model.
func (s *planState) countPlaceable(pool string, models []int, bestFit bool) int {
	d := newDryRun(s, pool, bestFit)
	placed := 0
	for _, k := range models {
		if d.place(k) {
			placed++
		}
	}
	return placed
}

// dryRun places models without planning moves. It works on a copy of the engines'
// available memory.
type dryRun struct {
	*planState
	availableMB []int64
	ranking     *ranking
}

// newDryRun returns a dry run that starts at the current state of a pool's engines. It
// ranks the engines by least available memory with bestFit, else by expected load and
// most available memory.
func newDryRun(s *planState, pool string, bestFit bool) *dryRun {
	d := &dryRun{planState: s, availableMB: make([]int64, len(s.engines))}
	for i := range s.engines {
		d.availableMB[i] = s.engines[i].availableMB()
	}
	d.ranking = newRanking(s.view, pool, func(a, b int) int {
		s.steps++
		if bestFit {
			return cmp.Compare(d.availableMB[a], d.availableMB[b])
		}
		return cmp.Or(cmp.Compare(s.engines[a].loadTenths(), s.engines[b].loadTenths()), cmp.Compare(d.availableMB[b], d.availableMB[a]))
	})
	return d
}

// place takes the memory for a model's missing replicas. It returns false when no engine
// has enough memory for a replica.
func (d *dryRun) place(k int) bool {
	m, mv := &d.models[k], &d.modelViews[k]
	have := count(mv.current, Loading, Resident) + count(mv.old, Loading, Resident)
	memoryMB := m.groupMB
	if have > 0 {
		memoryMB = m.MemoryMB
	}
	var used []int
	for ; have < d.minLocalReplicas(k); have++ {
		e := d.ranking.first(func(i int) bool {
			return d.availableMB[i] >= memoryMB && !slices.Contains(used, i) && d.canLoad(k, i, 0)
		})
		if e < 0 {
			return false
		}
		d.availableMB[e] -= memoryMB
		d.ranking.fix(e)
		used = append(used, e)
		memoryMB = m.MemoryMB
	}
	return true
}
