package place

import "time"

const (
	// highLoad is the part of an engine's capacity above which it is relieved.
	highLoad = 0.8
	// targetLoad is the part up to which an engine takes load from others.
	targetLoad = 0.7
	// moveCost is the cost of a model's load or unload, in parts of an
	// engine's capacity, before the document's weight.
	moveCost = 0.03
	// adapterCost is that of an adapter.
	adapterCost = 0.003
	// hysteresis is how much a gain has to exceed its cost.
	hysteresis = 1.25
	// baseDwell is the least time between loads of a model for demand, at
	// equal weights.
	baseDwell = time.Minute
	// reliefLimit bounds the engines relieved in a plan.
	reliefLimit = 8
)

// weights returns the weights of attainment and moves; a document that states
// none weighs both alike.
func (s *stage) weights() (attainment, moves float64) {
	w := s.facts.Document.Weights
	if w.Attainment <= 0 && w.Moves <= 0 {
		return 1, 1
	}
	return w.Attainment, w.Moves
}

// dwell is the time between demand loads of a model.
func (s *stage) dwell() time.Duration {
	attainment, moves := s.weights()
	return time.Duration(float64(baseDwell) * 2 * moves / (attainment + moves))
}

// project expects the demand of each model on its replicas, those with fewest
// replicas first, in proportion to the room that their engines have left.
func (v *view) project() {
	const rounds = 4
	for n := 1; n <= rounds; n++ {
		for k := range v.views {
			replicas := max(1, count(v.views[k].current, Resident, Loading))
			if replicas == n || (n == rounds && replicas > n) {
				v.projectModel(k)
			}
		}
	}
}

// projectModel adds a model's demand to its engines.
func (v *view) projectModel(k int) {
	mv := &v.views[k]
	hosts := mv.current
	if count(hosts, Resident, Loading) == 0 {
		hosts = mv.old
	}
	total := 0.0
	for _, h := range hosts {
		v.steps++
		if h.state != Unloading {
			total += v.room(h.engine)
		}
	}
	for _, h := range hosts {
		if h.state != Unloading && total > 0 {
			v.engines[h.engine].load += mv.demand * v.room(h.engine) / total
		}
	}
}

// room is the capacity that an engine has left, at least a tenth of all.
func (v *view) room(engine int) float64 {
	e := &v.engines[engine]
	return max(e.TokensPerSecond-e.load, e.TokensPerSecond/10)
}

// spread adds replicas for models on overloaded engines while the gain exceeds
// the cost.
func (s *stage) spread() {
	if s.facts.Saturated {
		return
	}
	done := map[int]bool{}
	for range reliefLimit {
		e := s.hottest(done)
		if e < 0 {
			return
		}
		done[e] = true
		s.relieve(e)
	}
}

// hottest returns the usable engine with the highest load above highLoad.
func (s *stage) hottest(done map[int]bool) int {
	best, high := -1, highLoad
	for i := range s.engines {
		s.steps++
		e := &s.engines[i]
		if !e.Usable || done[i] || e.TokensPerSecond <= 0 || s.pressed[e.Pool] {
			continue
		}
		if u := e.utilisation(); u > high {
			best, high = i, u
		}
	}
	return best
}

// utilisation is the expected part of the capacity in use.
func (e *engineView) utilisation() float64 {
	return e.load / e.TokensPerSecond
}

// relieve adds a replica for one of the models on an engine: the one that takes
// most load off it.
func (s *stage) relieve(engine int) {
	e := &s.engines[engine]
	excess := e.load - targetLoad*e.TokensPerSecond
	var best relief
	for _, k := range e.models {
		s.steps++
		if r := s.reliefOf(k, e, excess); r.gain-r.cost > best.gain-best.cost {
			best = r
		}
	}
	if best.gain <= hysteresis*best.cost || best.gain == 0 {
		return
	}
	s.carryOut(best)
}

// relief is a replica that could be added.
type relief struct {
	model  int
	engine int
	// swap tells that surplus replicas have to go first.
	swap       bool
	gain, cost float64
	// tokens is the load that moves, in tokens a second.
	tokens float64
}

// reliefOf returns the best replica to add for a model.
func (s *stage) reliefOf(k int, from *engineView, excess float64) relief {
	mv := &s.views[k]
	replicas := count(mv.current, Resident, Loading)
	if replicas == 0 || count(mv.current, Loading) > 0 || count(mv.old, Resident) > 0 || s.promised(k) {
		return relief{}
	}
	if last, ok := s.planner.loaded[s.models[k].Name]; ok && !mv.burst && s.facts.Now.Sub(last) < s.dwell() {
		return relief{}
	}
	share := mv.demand / float64(replicas+1)
	attainment, moves := s.weights()
	r := relief{model: k, engine: s.choose(k, s.models[k].MemoryMB+s.reserve(k))}
	r.cost = moves * moveCost
	if r.engine < 0 {
		v := s.bestVictims(want{model: k}, s.cold(share))
		if v == nil {
			return relief{}
		}
		r.engine, r.swap = v.engine, true
		r.cost = moves * moveCost * float64(1+len(v.models))
	}
	target := &s.engines[r.engine]
	r.tokens = min(share, excess, (from.load-target.load)/2)
	if r.tokens <= 0 {
		return relief{}
	}
	r.gain = attainment * r.tokens / target.TokensPerSecond
	return r
}

// reserve is the memory that a demand load leaves free on its engine. A burst
// may use it.
func (s *stage) reserve(k int) int64 {
	m := &s.models[k]
	if s.views[k].burst {
		return 0
	}
	largest := s.largestMB[m.Pool]
	spare := 0
	for i := range s.engines {
		e := &s.engines[i]
		if e.Usable && e.Pool == m.Pool && e.room() >= largest {
			spare++
		}
	}
	if spare > 1 {
		return 0
	}
	return largest
}

// cold allows to give up replicas that have dwelt and carry much less than the
// load that would take their place.
func (s *stage) cold(tokens float64) func(h holder, victim int) bool {
	return func(h holder, victim int) bool {
		mv := &s.views[victim]
		carried := mv.demand / float64(max(1, count(mv.current, Resident)))
		return s.facts.Now.Sub(h.since) >= s.dwell() && carried*2 < tokens
	}
}

// carryOut adds the moves of a relief.
func (s *stage) carryOut(r relief) {
	if r.swap {
		s.evict(want{model: r.model}, s.cold(r.tokens), RuleDemandSpace, r.gain, r.cost)
		p := promise{model: s.models[r.model].Name, at: s.facts.Now}
		s.planner.promises[s.engines[r.engine].VM] = p
		s.addLoad(r.engine, r.tokens)
		return
	}
	rule := RuleDemand
	if s.views[r.model].burst {
		rule = RuleBurst
	}
	s.loadModel(r.model, r.engine, rule, r.gain, r.cost)
	s.addLoad(r.engine, r.tokens)
	s.planner.loaded[s.models[r.model].Name] = s.facts.Now
}

// addLoad expects more load on an engine.
func (s *stage) addLoad(engine int, tokens float64) {
	s.engines[engine].load += tokens
	s.rerank(engine)
}

// promised tells whether memory is being freed for the model.
func (s *stage) promised(k int) bool {
	for _, p := range s.planner.promises {
		if p.model == s.models[k].Name {
			return true
		}
	}
	return false
}

// keepPromises loads models on engines where memory was freed for them.
func (s *stage) keepPromises() {
	for i := range s.engines {
		e := &s.engines[i]
		p, ok := s.planner.promises[e.VM]
		if !ok {
			continue
		}
		k, declared := s.byName[p.model]
		late := s.facts.Now.Sub(p.at) > relocateTimeout
		if !declared || late || !e.Usable || s.pressed[e.Pool] || occupied(s.views[k].current, i) {
			delete(s.planner.promises, e.VM)
			continue
		}
		if e.room() < s.models[k].MemoryMB {
			continue
		}
		delete(s.planner.promises, e.VM)
		attainment, moves := s.weights()
		tokens := min(s.views[k].demand/2, targetLoad*e.TokensPerSecond)
		s.loadModel(k, i, RuleDemand, attainment*tokens/max(e.TokensPerSecond, 1), moves*moveCost)
		s.planner.loaded[p.model] = s.facts.Now
	}
}

// spreadAdapters loads adapters on further replicas of their models where the
// demand for them is worth it.
func (s *stage) spreadAdapters() {
	attainment, moves := s.weights()
	for k := range s.models {
		mv := &s.views[k]
		if count(mv.current, Resident) < 2 || mv.demand == 0 {
			continue
		}
		for j := range mv.adapters {
			s.spreadAdapter(k, j, attainment, moves)
		}
	}
}

// spreadAdapter loads an adapter on the replicas that lack it.
func (s *stage) spreadAdapter(k, j int, attainment, moves float64) {
	m, mv := &s.models[k], &s.views[k]
	held, _ := s.planner.demands.of(m.Name, m.Adapters[j].Name)
	if held == 0 {
		return
	}
	for _, h := range mv.current {
		e := &s.engines[h.engine]
		if h.state != Resident || e.room() < m.Adapters[j].MemoryMB || occupied(mv.adapters[j], h.engine) || e.TokensPerSecond <= 0 {
			continue
		}
		share := held / float64(1+count(mv.adapters[j], Resident, Loading))
		gain, cost := attainment*share/e.TokensPerSecond, moves*adapterCost
		if gain > hysteresis*cost {
			s.loadAdapter(k, j, h.engine, RuleDemand, gain, cost)
		}
	}
}
