package place

import "container/heap"

// rankTries is the number of engines that are taken off a ranking, the best first,
// before all are looked at.
const rankTries = 8

// ranking orders the engines of a pool, the best first, while they change.
type ranking struct {
	// compare is below 0 for an engine that goes before another one, 0 for
	// engines that are alike; these go by their order.
	compare func(a, b int) int
	engines []int
	// at is the position of each engine of the data centre, -1 for others.
	at []int
}

// newRanking returns the usable engines of a pool by compare.
func newRanking(v *view, pool string, compare func(a, b int) int) *ranking {
	r := &ranking{compare: compare, at: make([]int, len(v.engines))}
	for i := range v.engines {
		r.at[i] = -1
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
func (r *ranking) Less(i, j int) bool { return r.before(r.engines[i], r.engines[j]) }

// before tells whether an engine goes before another one.
func (r *ranking) before(a, b int) bool {
	c := r.compare(a, b)
	return c < 0 || (c == 0 && a < b)
}

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.engines[i], r.engines[j] = r.engines[j], r.engines[i]
	r.at[r.engines[i]], r.at[r.engines[j]] = i, j
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) {
	engine, _ := x.(int)
	r.at[engine] = len(r.engines)
	r.engines = append(r.engines, engine)
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.engines) - 1
	engine := r.engines[last]
	r.engines = r.engines[:last]
	r.at[engine] = -1
	return engine
}

// changed puts an engine where it belongs now.
func (r *ranking) changed(engine int) {
	if i := r.at[engine]; i >= 0 {
		heap.Fix(r, i)
	}
}

// first returns the best engine that suits, or -1.
func (r *ranking) first(suits func(engine int) bool) int {
	if r.Len() > 0 && suits(r.engines[0]) {
		return r.engines[0]
	}
	var tried []int
	found := -1
	for len(tried) < rankTries && found < 0 && r.Len() > 0 {
		best, _ := heap.Pop(r).(int)
		tried = append(tried, best)
		if suits(best) {
			found = best
		}
	}
	if found < 0 {
		found = r.scan(suits)
	}
	for _, engine := range tried {
		heap.Push(r, engine)
	}
	return found
}

// scan looks at all engines for the best that suits.
func (r *ranking) scan(suits func(engine int) bool) int {
	best := -1
	for _, engine := range r.engines {
		if !suits(engine) {
			continue
		}
		if best < 0 || r.before(engine, best) {
			best = engine
		}
	}
	return best
}
