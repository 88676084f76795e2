package stock

import (
	"math"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// placeMissing places models that no engine holds and no call requests where memory is free,
// because demand may rise for them next. Under load it loads one model at a time, because
// an engine that loads a model accepts no other order for many seconds.
func (p *plan) placeMissing() {
	if p.meanWork > 0 && p.loadingMissing() {
		return
	}
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		if p.replicas[m.Name] > 0 || p.requested(m.Name) {
			continue
		}
		if p.addReplica(m, ReasonMissing) && p.meanWork > 0 {
			return
		}
	}
}

// loadingMissing reports whether an engine loads a model without demand that no other
// engine holds.
func (p *plan) loadingMissing() bool {
	for i := range p.Engines {
		if l := p.Engines[i].Loading; l != "" && p.holding[l] == 0 && p.workOf(l) == 0 {
			return true
		}
	}
	return false
}

// addStandbys adds a second replica to models that have a single one, where memory is free
// and while no busy model needs the memory. The standby serves calls at once if demand for
// the model rises or the engine with the other replica is lost.
func (p *plan) addStandbys() {
	if p.anyBusy() {
		return
	}
	moves := p.countLoading()
	limit := max(int(maxStandbyLoads*float64(len(p.Engines))), 1)
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		if p.meanWork > 0 && moves >= limit {
			return
		}
		if p.replicas[m.Name] == 1 && p.addReplica(m, ReasonStandby) {
			moves++
		}
	}
}

// countLoading returns the number of engines that load a model.
func (p *plan) countLoading() int {
	n := 0
	for i := range p.Engines {
		if p.Engines[i].Loading != "" {
			n++
		}
	}
	return n
}

// anyBusy reports whether the work per replica of any model exceeds busyWork.
func (p *plan) anyBusy() bool {
	for i := range p.Spec.Models {
		if p.workPerReplica(p.Spec.Models[i].Name) > busyWork {
			return true
		}
	}
	return false
}

// replicaScore returns how much a model needs another replica: its work divided by the number
// of its replicas to the power of replicaExponent. Because the exponent is above 1, the number
// of replicas grows more slowly than work, and models with little work get more than a
// proportional number: demand is likely to rise for them next.
func replicaScore(work float64, replicas int) float64 {
	if replicas <= 0 {
		return math.Inf(1)
	}
	return work / math.Pow(float64(replicas), replicaExponent)
}

// requested reports whether calls wait for a model, or requested it within recentUse, that no
// engine holds, loads or has memory freed for.
func (p *plan) requested(model string) bool {
	n := p.Demand[model]
	return p.replicas[model] == 0 && n != nil && (n.Waiting > 0 || p.inUse(model))
}

// benefit returns how much another replica of a model would help now: the work that the
// present replicas can't do or, if they can do it all, a smaller value that grows with
// replicaScore. It is 0 for a model that needs no other replica. The unit is that of
// ModelDemand.Work.
func (p *plan) benefit(m *layout.Model) float64 {
	n, work := p.replicas[m.Name], p.workOf(m.Name)
	switch {
	case p.requested(m.Name):
		return work + requestedBenefit
	case n == 0 || p.Now.Sub(p.Since) < observationTime || p.workPerReplica(m.Name) < busyWork:
		return 0
	}
	if excess := work - fullWork*p.speeds[m.Name]; excess > 0 {
		return excess
	}
	return requestedBenefit * replicaScore(work, n) / (1 + replicaScore(work, n))
}

// placeDemand adds replicas to the models with the highest benefit, in place of replicas
// that other models need far less. Requested models that no engine holds compete with busy
// models: without a replica such a model is served late, but a busy model with too few
// replicas serves many calls late.
func (p *plan) placeDemand() {
	moves := p.countLoading()
	limit := max(int(maxMoves*float64(len(p.Engines))), 1)
	skipped := map[string]bool{}
	for {
		var next *layout.Model
		best := 0.0
		for i := range p.Spec.Models {
			m := &p.Spec.Models[i]
			if skipped[m.Name] || moves >= limit && !p.requested(m.Name) {
				continue
			}
			if v := p.benefit(m); v > best {
				next, best = m, v
			}
		}
		if next == nil {
			return
		}
		reason := ReasonDemand
		if p.requested(next.Name) {
			reason = ReasonRequested
		}
		if p.addReplica(next, reason) {
			moves++
		} else {
			skipped[next.Name] = true
		}
	}
}
