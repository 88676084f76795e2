package place

import "time"

const (
	// highUtilisation is the fraction of an engine's capacity in use above which the
	// planner adds replicas elsewhere to relieve the engine.
	highUtilisation = 0.8
	// targetUtilisation is the fraction of an engine's capacity down to which the engine
	// is relieved. It also limits the load that a pending load is expected to bring.
	targetUtilisation = 0.7
	// moveCost is the cost of a load or unload of a model, as a fraction of an engine's
	// capacity, before the multiplication by the document's weight.
	moveCost = 0.03
	// adapterCost is the cost of a load of an adapter, in the same unit.
	adapterCost = 0.003
	// minGainRatio is the ratio of gain to cost that a move for demand has to exceed.
	minGainRatio = 1.25
	// baseDwellTime is the least time between two loads of a model for demand when
	// the document weighs attainment and moves equally.
	baseDwellTime = time.Minute
	// maxRelievedEngines limits the engines that one plan relieves.
	maxRelievedEngines = 8
)

// weights returns the document's weights of attainment and moves, or equal weights if
// the document sets neither.
func (s *planState) weights() (attainment, moves float64) {
	w := s.input.Document.Weights
	if w.Attainment <= 0 && w.Moves <= 0 {
		return 1, 1
	}
	return w.Attainment, w.Moves
}

// dwellTime returns the least time between two loads of a model for demand, unless the
// demand is a burst. It is also the least time that a replica stays before the demand
// for another model may evict the replica.
func (s *planState) dwellTime() time.Duration {
	attainment, moves := s.weights()
	return time.Duration(float64(baseDwellTime) * 2 * moves / (attainment + moves))
}

// projectLoads distributes the demand of each model over the engines with its replicas,
// in proportion to their spare capacity. Models with the fewest replicas come first, so
// that the demand of models with more replicas goes to the less loaded engines.
func (v *view) projectLoads() {
	const rounds = 4
	for n := 1; n <= rounds; n++ {
		for k := range v.modelViews {
			replicas := max(1, count(v.modelViews[k].current, Resident, Loading))
			if replicas == n || (n == rounds && replicas > n) {
				v.projectModelLoad(k)
			}
		}
	}
}

// projectModelLoad adds a model's demand to the expected load of its engines. While no
// replica of the declared version is resident or loading, the old versions serve.
func (v *view) projectModelLoad(k int) {
	mv := &v.modelViews[k]
	hosts := mv.current
	if count(hosts, Resident, Loading) == 0 {
		hosts = mv.old
	}
	total := 0.0
	for _, h := range hosts {
		v.steps++
		if h.state != Unloading {
			total += v.spareCapacity(h.engine)
		}
	}
	for _, h := range hosts {
		if h.state != Unloading && total > 0 {
			v.engines[h.engine].expectedLoad += mv.demand * v.spareCapacity(h.engine) / total
		}
	}
}

// spareCapacity returns the capacity that an engine has left, but at least a tenth of
// its whole capacity.
func (v *view) spareCapacity(engine int) float64 {
	e := &v.engines[engine]
	return max(e.TokensPerSecond-e.expectedLoad, e.TokensPerSecond/10)
}

// scaleUpModels adds replicas for models on overloaded engines where the gain exceeds
// the cost.
func (s *planState) scaleUpModels() {
	if s.input.Saturated {
		return
	}
	done := map[int]bool{}
	for range maxRelievedEngines {
		e := s.mostUtilised(done)
		if e < 0 {
			return
		}
		done[e] = true
		s.relieveEngine(e)
	}
}

// mostUtilised returns the usable engine with the highest utilisation above
// highUtilisation that is not in done, or -1.
func (s *planState) mostUtilised(done map[int]bool) int {
	best, highest := -1, highUtilisation
	for i := range s.engines {
		s.steps++
		e := &s.engines[i]
		if !e.Usable || done[i] || e.TokensPerSecond <= 0 || s.awaitingMemory[e.Pool] {
			continue
		}
		if u := e.utilisation(); u > highest {
			best, highest = i, u
		}
	}
	return best
}

// utilisation returns the expected load as a fraction of the engine's capacity.
func (e *engineView) utilisation() float64 {
	return e.expectedLoad / e.TokensPerSecond
}

// relieveEngine adds a replica of one of the models on an engine: the model with the
// highest difference of gain and cost, if the gain exceeds minGainRatio times the cost.
func (s *planState) relieveEngine(engine int) {
	e := &s.engines[engine]
	excess := e.expectedLoad - targetUtilisation*e.TokensPerSecond
	var best scaleUp
	for _, k := range e.models {
		s.steps++
		if up := s.scaleUpOf(k, e, excess); up.gain-up.cost > best.gain-best.cost {
			best = up
		}
	}
	if best.gain <= minGainRatio*best.cost || best.gain == 0 {
		return
	}
	s.planScaleUp(best)
}

// scaleUp is a possible new replica of a model.
type scaleUp struct {
	model  int
	engine int
	// evictFirst is whether surplus replicas have to be unloaded first.
	evictFirst bool
	gain, cost float64
	// tokens is the load that the new replica takes over, in tokens per second.
	tokens float64
}

// scaleUpOf returns the best new replica of model k to relieve the engine from, whose
// load exceeds the target by excess tokens per second. The result is zero if a replica
// can't be added now or would take over no load.
func (s *planState) scaleUpOf(k int, from *engineView, excess float64) scaleUp {
	mv := &s.modelViews[k]
	replicas := count(mv.current, Resident, Loading)
	if replicas == 0 || count(mv.current, Loading) > 0 || count(mv.old, Resident) > 0 || s.hasPendingLoad(k) {
		return scaleUp{}
	}
	if last, ok := s.planner.lastDemandLoad[s.models[k].Name]; ok && !mv.burst && s.input.Now.Sub(last) < s.dwellTime() {
		return scaleUp{}
	}
	share := mv.demand / float64(replicas+1)
	attainment, moves := s.weights()
	up := scaleUp{model: k, engine: s.chooseEngine(k, s.models[k].MemoryMB+s.headroomMB(k))}
	up.cost = moves * moveCost
	if up.engine < 0 {
		v := s.bestVictims(wantedMemory{model: k}, s.lowDemand(share))
		if v == nil {
			return scaleUp{}
		}
		up.engine, up.evictFirst = v.engine, true
		up.cost = moves * moveCost * float64(1+len(v.models))
	}
	target := &s.engines[up.engine]
	up.tokens = min(share, excess, (from.expectedLoad-target.expectedLoad)/2)
	if up.tokens <= 0 {
		return scaleUp{}
	}
	up.gain = attainment * up.tokens / target.TokensPerSecond
	return up
}

// headroomMB returns the memory that a load for demand has to leave available on its
// engine, so that the largest model of the pool can still be placed: none if at least
// two engines have enough memory for that model, or if the demand is a burst.
func (s *planState) headroomMB(k int) int64 {
	m := &s.models[k]
	if s.modelViews[k].burst {
		return 0
	}
	largestMB := s.largestMB[m.Pool]
	enginesWithRoom := 0
	for i := range s.engines {
		e := &s.engines[i]
		if e.Usable && e.Pool == m.Pool && e.availableMB() >= largestMB {
			enginesWithRoom++
		}
	}
	if enginesWithRoom > 1 {
		return 0
	}
	return largestMB
}

// lowDemand returns a filter for evict. It allows the eviction of replicas that have
// stayed for the dwell time and serve less than half of the tokens per second that
// would take their place.
func (s *planState) lowDemand(tokens float64) func(h heldSlot, victim int) bool {
	return func(h heldSlot, victim int) bool {
		mv := &s.modelViews[victim]
		served := mv.demand / float64(max(1, count(mv.current, Resident)))
		return s.input.Now.Sub(h.since) >= s.dwellTime() && served*2 < tokens
	}
}

// planScaleUp adds the moves for a new replica to the plan. If an eviction has to come
// first, it records a pending load instead of the load.
func (s *planState) planScaleUp(up scaleUp) {
	if up.evictFirst {
		s.evict(wantedMemory{model: up.model}, s.lowDemand(up.tokens), RuleDemandEviction, up.gain, up.cost)
		p := pendingLoad{model: s.models[up.model].Name, plannedAt: s.input.Now}
		s.planner.pendingLoads[s.engines[up.engine].VM] = p
		s.addExpectedLoad(up.engine, up.tokens)
		return
	}
	rule := RuleDemand
	if s.modelViews[up.model].burst {
		rule = RuleBurst
	}
	s.planModelLoad(up.model, up.engine, rule, up.gain, up.cost)
	s.addExpectedLoad(up.engine, up.tokens)
	s.planner.lastDemandLoad[s.models[up.model].Name] = s.input.Now
}

// addExpectedLoad adds to the expected load of an engine.
func (s *planState) addExpectedLoad(engine int, tokens float64) {
	s.engines[engine].expectedLoad += tokens
	s.updateRanking(engine)
}

// hasPendingLoad reports whether memory is being freed for a model's demand.
func (s *planState) hasPendingLoad(k int) bool {
	for _, p := range s.planner.pendingLoads {
		if p.model == s.models[k].Name {
			return true
		}
	}
	return false
}

// startPendingLoads loads models on engines where unloads have freed memory for them,
// and drops the pending loads that have become obsolete.
func (s *planState) startPendingLoads() {
	for i := range s.engines {
		e := &s.engines[i]
		p, ok := s.planner.pendingLoads[e.VM]
		if !ok {
			continue
		}
		k, declared := s.byName[p.model]
		late := s.input.Now.Sub(p.plannedAt) > moveTimeout
		if !declared || late || !e.Usable || s.awaitingMemory[e.Pool] || anySlotOn(s.modelViews[k].current, i) {
			delete(s.planner.pendingLoads, e.VM)
			continue
		}
		if e.availableMB() < s.models[k].MemoryMB {
			continue
		}
		delete(s.planner.pendingLoads, e.VM)
		attainment, moves := s.weights()
		tokens := min(s.modelViews[k].demand/2, targetUtilisation*e.TokensPerSecond)
		s.planModelLoad(k, i, RuleDemand, attainment*tokens/max(e.TokensPerSecond, 1), moves*moveCost)
		s.planner.lastDemandLoad[p.model] = s.input.Now
	}
}

// scaleUpAdapters loads adapters on further replicas of their models where the demand
// for the adapters justifies the cost.
func (s *planState) scaleUpAdapters() {
	attainment, moves := s.weights()
	for k := range s.models {
		mv := &s.modelViews[k]
		if count(mv.current, Resident) < 2 || mv.demand == 0 {
			continue
		}
		for j := range mv.adapters {
			s.scaleUpAdapter(k, j, attainment, moves)
		}
	}
}

// scaleUpAdapter loads an adapter on the resident replicas of its model that lack the
// adapter, as long as the gain exceeds the cost.
func (s *planState) scaleUpAdapter(k, j int, attainment, moves float64) {
	m, mv := &s.models[k], &s.modelViews[k]
	demand, _ := s.planner.demands.estimate(m.Name, m.Adapters[j].Name)
	if demand == 0 {
		return
	}
	for _, h := range mv.current {
		e := &s.engines[h.engine]
		if h.state != Resident || e.availableMB() < m.Adapters[j].MemoryMB || anySlotOn(mv.adapters[j], h.engine) || e.TokensPerSecond <= 0 {
			continue
		}
		share := demand / float64(1+count(mv.adapters[j], Resident, Loading))
		gain, cost := attainment*share/e.TokensPerSecond, moves*adapterCost
		if gain > minGainRatio*cost {
			s.planAdapterLoad(k, j, h.engine, RuleDemand, gain, cost)
		}
	}
}
