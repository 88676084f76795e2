package place

import "container/heap"

// maxPopped is the number of engines that ranking.first pops off the heap, the best
// first, before it scans all engines.
const maxPopped = 8

// ranking is a heap of the usable engines of a pool, the best engine first.
type ranking struct {
	// compare returns a negative number if engine a is better than engine b. For
	// equal engines it returns 0, and the one with the lower index comes first.
	compare func(a, b int) int
	engines []int
	// positions is the position in the heap of each engine of the data centre, or -1
	// for an engine that is not in the heap.
	positions []int
}

// newRanking returns the usable engines of a pool, ranked by compare.
func newRanking(v *view, pool string, compare func(a, b int) int) *ranking {
	r := &ranking{compare: compare, positions: make([]int, len(v.engines))}
	for i := range v.engines {
		r.positions[i] = -1
		if v.engines[i].Usable && v.engines[i].Pool == pool {
			r.Push(i)
		}
	}
	heap.Init(r)
	return r
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.engines) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool { return r.ranksBefore(r.engines[i], r.engines[j]) }

// ranksBefore reports whether engine a comes before engine b.
func (r *ranking) ranksBefore(a, b int) bool {
	c := r.compare(a, b)
	return c < 0 || (c == 0 && a < b)
}

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.engines[i], r.engines[j] = r.engines[j], r.engines[i]
	r.positions[r.engines[i]], r.positions[r.engines[j]] = i, j
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) {
	engine, _ := x.(int)
	r.positions[engine] = len(r.engines)
	r.engines = append(r.engines, engine)
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.engines) - 1
	engine := r.engines[last]
	r.engines = r.engines[:last]
	r.positions[engine] = -1
	return engine
}

// fix restores the position of an engine whose order has changed.
func (r *ranking) fix(engine int) {
	if i := r.positions[engine]; i >= 0 {
		heap.Fix(r, i)
	}
}

// first returns the best engine that accepts returns true for, or -1.
func (r *ranking) first(accepts func(engine int) bool) int {
	if r.Len() > 0 && accepts(r.engines[0]) {
		return r.engines[0]
	}
	var tried []int
	found := -1
	for len(tried) < maxPopped && found < 0 && r.Len() > 0 {
		best, _ := heap.Pop(r).(int)
		tried = append(tried, best)
		if accepts(best) {
			found = best
		}
	}
	if found < 0 {
		found = r.scan(accepts)
	}
	for _, engine := range tried {
		heap.Push(r, engine)
	}
	return found
}

// scan does the same as first, but examines all engines in the heap.
func (r *ranking) scan(accepts func(engine int) bool) int {
	best := -1
	for _, engine := range r.engines {
		if !accepts(engine) {
			continue
		}
		if best < 0 || r.ranksBefore(engine, best) {
			best = engine
		}
	}
	return best
}
