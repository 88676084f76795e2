package stock

import (
	"math"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// reachable gives a place to models that no engine holds and nobody asks for, where there
// is room: the next ones that rise may be among them. Under load it is one at a time, as an
// engine that loads takes no other order for many seconds.
func (p *plan) reachable() {
	if p.mean > 0 && p.restoring() {
		return
	}
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		if p.replicas[m.Name] > 0 || p.asked(m.Name) {
			continue
		}
		if p.give(m, ReasonReachable) && p.mean > 0 {
			return
		}
	}
}

// restoring tells whether an engine loads a model that no other one holds.
func (p *plan) restoring() bool {
	for i := range p.Engines {
		if l := p.Engines[i].Loading; l != "" && p.holding[l] == 0 && p.workOf(l) == 0 {
			return true
		}
	}
	return false
}

// hedge gives a second replica to models that have one, where memory is free and while no
// busy model needs it. A model that rises, or whose engine is lost, has one ready then.
func (p *plan) hedge() {
	if p.pressed() {
		return
	}
	moves := p.loading()
	most := max(int(hedgeMoves*float64(len(p.Engines))), 1)
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		if p.mean > 0 && moves >= most {
			return
		}
		if p.replicas[m.Name] == 1 && p.give(m, ReasonHedge) {
			moves++
		}
	}
}

// loading counts the engines that load a model.
func (p *plan) loading() int {
	n := 0
	for i := range p.Engines {
		if p.Engines[i].Loading != "" {
			n++
		}
	}
	return n
}

// pressed tells whether the replicas of some model are busy.
func (p *plan) pressed() bool {
	for i := range p.Spec.Models {
		if p.perReplica(p.Spec.Models[i].Name) > busyShare {
			return true
		}
	}
	return false
}

// score tells how much a model needs another replica: its work over its replicas to a
// power above one. Replicas so grow slower than work, and models with little of it get
// more than their part: those are the ones that rise next.
func score(work float64, replicas int) float64 {
	if replicas <= 0 {
		return math.Inf(1)
	}
	return work / math.Pow(float64(replicas), hedgePower)
}

// asked tells whether calls ask for a model that no engine holds.
func (p *plan) asked(model string) bool {
	n := p.Demand[model]
	return p.replicas[model] == 0 && n != nil && (n.Waiting > 0 || p.inUse(model))
}

// value tells how much a model needs another replica now: first by the work that its
// replicas can't do, then by score. A model that nobody asks for has none.
func (p *plan) value(m *layout.Model) float64 {
	n, work := p.replicas[m.Name], p.workOf(m.Name)
	switch {
	case p.asked(m.Name):
		return work + askedValue
	case n == 0 || p.Now.Sub(p.Since) < observe || p.perReplica(m.Name) < busyShare:
		return 0
	}
	if excess := work - fullShare*float64(n); excess > 0 {
		return excess
	}
	return askedValue * score(work, n) / (1 + score(work, n))
}

// spread gives replicas to the models that need them most, in place of those that need
// theirs far less. Models that no engine holds and calls ask for are among them: each of
// them is served late without one, but a busy model without enough serves many calls late.
func (p *plan) spread() {
	moves := p.loading()
	most := max(int(maxMoves*float64(len(p.Engines))), 1)
	passed := map[string]bool{}
	for {
		var hot *layout.Model
		best := 0.0
		for i := range p.Spec.Models {
			m := &p.Spec.Models[i]
			if passed[m.Name] || moves >= most && !p.asked(m.Name) {
				continue
			}
			if v := p.value(m); v > best {
				hot, best = m, v
			}
		}
		if hot == nil {
			return
		}
		why := ReasonDemand
		if p.asked(hot.Name) {
			why = ReasonAsked
		}
		if p.give(hot, why) {
			moves++
		} else {
			passed[hot.Name] = true
		}
	}
}
