package pbench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/place"
)

// policy is a placement policy of a data centre.
type policy interface {
	// moves returns the moves of a step.
	moves(f place.Input) []place.Move
}

var (
	_ policy = (*plannerPolicy)(nil)
	_ policy = (*greedyPolicy)(nil)
)

// newPolicy returns a policy by name. Any other name than that of the greedy and
// the static policy returns the planner.
func newPolicy(name string, m *demand) policy {
	switch name {
	case PolicyGreedy:
		return &greedyPolicy{period: greedyPeriod}
	case PolicyStatic:
		return &greedyPolicy{meanRates: m.meanRates, fill: true}
	}
	return &plannerPolicy{planner: place.NewPlanner()}
}

// plannerPolicy is the planner of package place.
type plannerPolicy struct{ planner *place.Planner }

func (p *plannerPolicy) moves(f place.Input) []place.Move { return p.planner.Plan(f).Moves }

const (
	// greedyPeriod is the interval at which the greedy policy computes a new
	// placement.
	greedyPeriod = time.Minute
	// replicaTokensPerSecond is the demand that is assigned to one replica.
	replicaTokensPerSecond = 0.7 * engineTokensPerSecond
)

// greedyPolicy computes a new placement of all models each period from their
// current demand. It places the models in the order of falling demand, each on an
// engine that holds the model already and has capacity left, else on the engine
// with the least demand. Without a period it computes one placement from the mean
// demand, which is the static policy.
type greedyPolicy struct {
	period    time.Duration
	meanRates []float64
	// fill indicates whether each model gets as many replicas as fit into memory.
	fill     bool
	nextPlan time.Time
	// target indicates by model and engine where replicas are placed.
	target [][]bool
	// freeMB is the unused memory of each engine.
	freeMB []int64
}

func (p *greedyPolicy) moves(f place.Input) []place.Move {
	if p.target == nil || (p.period > 0 && !f.Now.Before(p.nextPlan)) {
		p.nextPlan = f.Now.Add(p.period)
		p.target = p.computeTarget(f)
	}
	p.freeMB = make([]int64, len(f.Engines))
	for i := range f.Engines {
		p.freeMB[i] = f.Engines[i].MemoryMB
		for _, o := range f.Engines[i].Slots {
			p.freeMB[i] -= o.MemoryMB
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

// tokensPerSecond returns the demand for model k and its adapters, which includes a
// tenth of the tokens of queued requests. With meanRates it returns the mean demand.
func (p *greedyPolicy) tokensPerSecond(f place.Input, k int) float64 {
	if p.meanRates != nil {
		return p.meanRates[k] * tokensPerRequest
	}
	sum := 0.0
	for _, d := range f.Demand {
		if d.Model == f.Document.Models[k].Name {
			sum += d.TokensPerSecond + float64(d.Queued)*tokensPerRequest/10
		}
	}
	return sum
}

// computeTarget returns by model and engine where replicas are placed. Each round
// places at most one replica of each model.
func (p *greedyPolicy) computeTarget(f place.Input) [][]bool {
	n := len(f.Engines)
	freeMB, load := make([]int64, n), make([]float64, n)
	for i := range f.Engines {
		freeMB[i] = f.Engines[i].MemoryMB
	}
	order := make([]int, len(f.Document.Models))
	target := make([][]bool, len(order))
	for k := range order {
		order[k], target[k] = k, make([]bool, n)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.tokensPerSecond(f, b), p.tokensPerSecond(f, a)) })
	for round := range n {
		for _, k := range order {
			tokensPerSecond := p.tokensPerSecond(f, k)
			replicas := max(1, int(math.Ceil(tokensPerSecond/replicaTokensPerSecond)))
			if p.fill {
				replicas = n
			}
			if round >= replicas {
				continue
			}
			m := &f.Document.Models[k]
			if e := p.chooseEngine(f, k, target[k], freeMB, load); e >= 0 {
				target[k][e] = true
				freeMB[e] -= totalMemoryMB(m)
				load[e] += tokensPerSecond / float64(replicas)
			}
		}
	}
	return target
}

// chooseEngine returns the engine for a new replica of model k, or -1 if no engine
// has the memory. It prefers an engine that holds the model and whose load is below
// that of one full replica, else it returns the engine with the least load.
func (p *greedyPolicy) chooseEngine(f place.Input, k int, targeted []bool, freeMB []int64, load []float64) int {
	m := &f.Document.Models[k]
	for i := range f.Engines {
		fits := !targeted[i] && freeMB[i] >= totalMemoryMB(m) && load[i] < replicaTokensPerSecond
		if fits && holdsInAnyState(&f.Engines[i], modelSlot(m)) {
			return i
		}
	}
	return leastLoadedEngine(targeted, freeMB, load, totalMemoryMB(m))
}

// leastLoadedEngine returns the engine with the least load among those that have
// enough memory and no replica yet, or -1.
func leastLoadedEngine(targeted []bool, freeMB []int64, load []float64, memoryMB int64) int {
	best := -1
	for i := range freeMB {
		if targeted[i] || freeMB[i] < memoryMB {
			continue
		}
		if best < 0 || load[i] < load[best] {
			best = i
		}
	}
	return best
}

// totalMemoryMB returns the memory of a model with all its adapters.
func totalMemoryMB(m *envdoc.Model) int64 {
	sum := m.MemoryMB
	for _, a := range m.Adapters {
		sum += a.MemoryMB
	}
	return sum
}

// unloads returns moves that unload the replicas of model k that are not in the
// target. They keep the last resident replica.
func (p *greedyPolicy) unloads(f place.Input, k int) []place.Move {
	m := &f.Document.Models[k]
	resident := 0
	for i := range f.Engines {
		if _, ok := findSlot(&f.Engines[i], modelSlot(m), place.Resident); ok {
			resident++
		}
	}
	var moves []place.Move
	for i := range f.Engines {
		e := &f.Engines[i]
		if _, ok := findSlot(e, modelSlot(m), place.Resident); !ok || p.target[k][i] || resident < 2 {
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

// loads returns moves that load the replicas of model k that are in the target and
// for which there is memory, with their adapters.
func (p *greedyPolicy) loads(f place.Input, k int) []place.Move {
	m := &f.Document.Models[k]
	var moves []place.Move
	for i := range f.Engines {
		e := &f.Engines[i]
		if !p.target[k][i] || holdsInAnyState(e, modelSlot(m)) {
			continue
		}
		if p.freeMB[i] < totalMemoryMB(m) {
			continue
		}
		p.freeMB[i] -= totalMemoryMB(m)
		moves = append(moves, place.Move{Kind: place.Load, Engine: e.VM, Slot: modelSlot(m), MemoryMB: m.MemoryMB})
		for _, a := range m.Adapters {
			slot := envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version}
			moves = append(moves, place.Move{Kind: place.Load, Engine: e.VM, Slot: slot, MemoryMB: a.MemoryMB})
		}
	}
	return moves
}

func modelSlot(m *envdoc.Model) envdoc.Slot { return envdoc.Slot{Model: m.Name, Version: m.Version} }

// holdsInAnyState reports whether an engine holds a slot in any state.
func holdsInAnyState(e *place.Engine, slot envdoc.Slot) bool {
	return slices.ContainsFunc(e.Slots, func(o place.ChargedSlot) bool { return o.Slot == slot })
}
