package pbench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

// policy decides the moves of a data centre.
type policy interface {
	moves(f place.Facts) []place.Move
}

var (
	_ policy = (*planned)(nil)
	_ policy = (*replanned)(nil)
)

// newPolicy returns a policy by name.
func newPolicy(name string, m *demand) policy {
	switch name {
	case PolicyGreedy:
		return &replanned{period: greedyPeriod}
	case PolicyStatic:
		return &replanned{mean: m.base, fill: true}
	}
	return &planned{planner: place.NewPlanner()}
}

// planned is the planner of package place.
type planned struct{ planner *place.Planner }

func (p *planned) moves(f place.Facts) []place.Move { return p.planner.Plan(f).Moves }

const (
	// greedyPeriod is how often the greedy policy plans anew.
	greedyPeriod = time.Minute
	// replicaTokens is the demand that one replica is given.
	replicaTokens = 0.7 * engineTokens
)

// replanned places all models anew each period, by their demand of the moment:
// the most demanded first, on an engine that holds it and has room left, else on
// the one with the least demand. Without a period
// it does so once, by the mean demand.
type replanned struct {
	period time.Duration
	mean   []float64
	// fill gives each model as many replicas as there is memory for.
	fill   bool
	next   time.Time
	target [][]bool
	// free is the memory of each engine that is not taken.
	free []int64
}

func (p *replanned) moves(f place.Facts) []place.Move {
	if p.target == nil || (p.period > 0 && !f.Now.Before(p.next)) {
		p.next = f.Now.Add(p.period)
		p.target = p.place(f)
	}
	p.free = make([]int64, len(f.Engines))
	for i := range f.Engines {
		p.free[i] = f.Engines[i].MemoryMB
		for _, o := range f.Engines[i].Slots {
			p.free[i] -= o.MemoryMB
		}
	}
	var moves []place.Move
	for k := range f.Document.Models {
		moves = append(moves, p.unloads(f, k)...)
	}
	for k := range f.Document.Models {
		moves = append(moves, p.loads(f, k)...)
	}
	return moves
}

// tokens is the demand for a model.
func (p *replanned) tokens(f place.Facts, k int) float64 {
	if p.mean != nil {
		return p.mean[k] * requestTokens
	}
	sum := 0.0
	for _, d := range f.Demand {
		if d.Model == f.Document.Models[k].Name {
			sum += d.TokensPerSecond + float64(d.Queued)*requestTokens/10
		}
	}
	return sum
}

// place returns which engine is to hold which model.
func (p *replanned) place(f place.Facts) [][]bool {
	n := len(f.Engines)
	free, load := make([]int64, n), make([]float64, n)
	for i := range f.Engines {
		free[i] = f.Engines[i].MemoryMB
	}
	order := make([]int, len(f.Document.Models))
	target := make([][]bool, len(order))
	for k := range order {
		order[k], target[k] = k, make([]bool, n)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.tokens(f, b), p.tokens(f, a)) })
	for round := range n {
		for _, k := range order {
			tokens := p.tokens(f, k)
			replicas := max(1, int(math.Ceil(tokens/replicaTokens)))
			if p.fill {
				replicas = n
			}
			if round >= replicas {
				continue
			}
			m := &f.Document.Models[k]
			if e := p.choose(f, k, target[k], free, load); e >= 0 {
				target[k][e] = true
				free[e] -= groupMB(m)
				load[e] += tokens / float64(replicas)
			}
		}
	}
	return target
}

// choose returns the engine for a replica: one that holds the model and is not
// loaded yet, else the emptiest.
func (p *replanned) choose(f place.Facts, k int, held []bool, free []int64, load []float64) int {
	m := &f.Document.Models[k]
	for i := range f.Engines {
		fits := !held[i] && free[i] >= groupMB(m) && load[i] < replicaTokens
		if fits && holdsAny(&f.Engines[i], modelSlot(m)) {
			return i
		}
	}
	return emptiest(held, free, load, groupMB(m))
}

// emptiest returns the engine with the least load that has room.
func emptiest(held []bool, free []int64, load []float64, memoryMB int64) int {
	best := -1
	for i := range free {
		if held[i] || free[i] < memoryMB {
			continue
		}
		if best < 0 || load[i] < load[best] {
			best = i
		}
	}
	return best
}

// groupMB is the memory of a model with its adapters.
func groupMB(m *envdoc.Model) int64 {
	sum := m.MemoryMB
	for _, a := range m.Adapters {
		sum += a.MemoryMB
	}
	return sum
}

// unloads gives up replicas that are not in the target, but for the last one.
func (p *replanned) unloads(f place.Facts, k int) []place.Move {
	m := &f.Document.Models[k]
	resident := 0
	for i := range f.Engines {
		if _, ok := find(&f.Engines[i], modelSlot(m), place.Resident); ok {
			resident++
		}
	}
	var moves []place.Move
	for i := range f.Engines {
		e := &f.Engines[i]
		if _, ok := find(e, modelSlot(m), place.Resident); !ok || p.target[k][i] || resident < 2 {
			continue
		}
		resident--
		for _, o := range e.Slots {
			if o.Slot.Model == m.Name && o.State == place.Resident {
				moves = append(moves, place.Move{Kind: place.Unload, Engine: e.VM, Slot: o.Slot, MemoryMB: o.MemoryMB})
			}
		}
	}
	return moves
}

// loads adds the replicas that are in the target, with their adapters, where the
// memory is free.
func (p *replanned) loads(f place.Facts, k int) []place.Move {
	m := &f.Document.Models[k]
	var moves []place.Move
	for i := range f.Engines {
		e := &f.Engines[i]
		if !p.target[k][i] || holdsAny(e, modelSlot(m)) {
			continue
		}
		if p.free[i] < groupMB(m) {
			continue
		}
		p.free[i] -= groupMB(m)
		moves = append(moves, place.Move{Kind: place.Load, Engine: e.VM, Slot: modelSlot(m), MemoryMB: m.MemoryMB})
		for _, a := range m.Adapters {
			slot := envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version}
			moves = append(moves, place.Move{Kind: place.Load, Engine: e.VM, Slot: slot, MemoryMB: a.MemoryMB})
		}
	}
	return moves
}

func modelSlot(m *envdoc.Model) envdoc.Slot { return envdoc.Slot{Model: m.Name, Version: m.Version} }

// holdsAny tells whether an engine holds a slot in any state.
func holdsAny(e *place.Engine, slot envdoc.Slot) bool {
	return slices.ContainsFunc(e.Slots, func(o place.Slot) bool { return o.Slot == slot })
}
