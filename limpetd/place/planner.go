package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// replicaUtilisation is the fraction of an engine's capacity that one replica
	// serves before the demand asks for another replica.
	replicaUtilisation = 0.8
	// maxRelocations limits the relocations that one plan starts.
	maxRelocations = 4
	// moveTimeout limits how long a model waits for memory from relocations or
	// unloads.
	moveTimeout = 5 * time.Minute
)

// Planner plans the loads and unloads of one data centre. It is not safe for
// concurrent use.
type Planner struct {
	index   *index
	demands demandTracker
	// lastDemandLoad is the time of the last replica added for demand, by model.
	lastDemandLoad map[string]time.Time
	// missingSince is the time since when no data centre is known to hold a model,
	// by model.
	missingSince map[string]time.Time
	// incompleteSince is the time since when no data centre is known to hold a
	// model with all its adapters, by model.
	incompleteSince map[string]time.Time
	// relocations are the started relocations, by the model that they free memory
	// for.
	relocations map[string]relocation
	// pendingLoads are the loads for demand that wait for unloads, by engine.
	pendingLoads map[string]pendingLoad
	// steps counts the engines and replicas that the last plan examined.
	steps int
}

// pendingLoad is a load for demand on an engine that first has to unload other
// replicas.
type pendingLoad struct {
	model     string
	plannedAt time.Time
}

// relocation lists the models that move off an engine to free memory.
type relocation struct {
	models    []string
	startedAt time.Time
}

// NewPlanner returns a planner without any recorded demand.
func NewPlanner() *Planner {
	return &Planner{
		demands:         demandTracker{estimates: map[demandKey]*demandEstimate{}},
		lastDemandLoad:  map[string]time.Time{},
		missingSince:    map[string]time.Time{},
		incompleteSince: map[string]time.Time{},
		relocations:     map[string]relocation{},
		pendingLoads:    map[string]pendingLoad{},
	}
}

// Clone returns an independent planner with the same recorded demand, times and
// pending moves.
func (p *Planner) Clone() *Planner {
	return &Planner{
		index:           p.index,
		demands:         p.demands.clone(),
		lastDemandLoad:  maps.Clone(p.lastDemandLoad),
		missingSince:    maps.Clone(p.missingSince),
		incompleteSince: maps.Clone(p.incompleteSince),
		relocations:     maps.Clone(p.relocations),
		pendingLoads:    maps.Clone(p.pendingLoads),
	}
}

// Plan returns the moves to start at f.Now. The moves of one plan don't depend on
// each other: a move that has to wait for another comes in a later plan.
func (p *Planner) Plan(f Input) Plan {
	p.demands.update(f.Demand, f.Now)
	p.refreshIndex(f)
	v := newView(p.index, f, &p.demands)
	v.projectLoads()
	s := &planState{view: v, planner: p, awaitingMemory: map[string]bool{}, bestFit: map[string]bool{}, scarce: map[string]bool{}, turnsPending: map[string]bool{}}
	s.unloadUndeclared()
	s.unloadRefused()
	s.placeModels()
	s.placeAdapters()
	s.unloadOldVersions()
	s.startPendingLoads()
	s.scaleUpModels()
	s.scaleUpAdapters()
	p.steps = v.steps
	return v.plan
}

// refreshIndex rebuilds the index when the document, the data centres or their
// engines changed. A new document or another set of data centres also discards the
// relocations and the times of missing models.
func (p *Planner) refreshIndex(f Input) {
	centres := allCentres(f)
	if p.index != nil && p.index.document == f.Document && slices.EqualFunc(p.index.centres, centres, centre.equal) {
		return
	}
	previous := p.index
	p.index = newIndex(f.Document, f.DataCentre, centres)
	if previous != nil && previous.document == f.Document && slices.Equal(previous.centreNames, p.index.centreNames) {
		return
	}
	p.relocations = map[string]relocation{}
	p.missingSince = map[string]time.Time{}
	p.incompleteSince = map[string]time.Time{}
}

// planState is the state of one call of Plan: the view of the data centre, which
// follows the moves planned so far, and the properties of the pools.
type planState struct {
	*view
	planner *Planner
	// awaitingMemory marks the pools in which a declared slot waits for memory.
	// These pools get no loads for demand.
	awaitingMemory map[string]bool
	// bestFit marks the pools in which models go to the engine with the least
	// available memory that suffices. Spreading them by load would leave no engine
	// with enough memory for other models.
	bestFit map[string]bool
	// scarce marks the pools whose engines in this data centre can't hold all
	// declared models.
	scarce map[string]bool
	// turnsPending marks the pools with a model that is missing or incomplete in
	// all data centres, while some data centre has not had its turn to place the
	// model.
	turnsPending map[string]bool
	// relocationsStarted counts the relocations that this plan starts.
	relocationsStarted int
}

// minLocalReplicas returns the minimum of replicas of a model in this data centre:
// its MinReplicas divided by the number of data centres with engines of its pool,
// rounded up, and at least 1.
func (s *planState) minLocalReplicas(k int) int {
	centres := s.centreCounts[s.models[k].Pool]
	return max(1, (s.models[k].MinReplicas+centres-1)/max(1, centres))
}

// wantedReplicas returns the number of replicas that a model's demand requires, but at
// least the model's minimum.
func (s *planState) wantedReplicas(k int) int {
	mv := &s.modelViews[k]
	capacity := s.engineCapacity(s.models[k].Pool)
	if capacity == 0 {
		return s.minLocalReplicas(k)
	}
	return max(s.minLocalReplicas(k), int(math.Ceil(mv.demand/(replicaUtilisation*capacity))))
}

// engineCapacity returns the capacity of the first usable engine of a pool, in
// tokens per second, or 0 without a usable engine.
func (s *planState) engineCapacity(pool string) float64 {
	for i := range s.engines {
		if s.engines[i].Usable && s.engines[i].Pool == pool {
			return s.engines[i].TokensPerSecond
		}
	}
	return 0
}

// unloadUndeclared unloads the slots that the document no longer declares.
func (s *planState) unloadUndeclared() {
	for _, h := range s.undeclared {
		if h.state == Resident {
			s.planUnload(s.undeclared, h, RuleUndeclared, 0, 0)
		}
	}
}

// unloadRefused plans the unload of slots whose load an engine refuses, which frees
// the memory that is charged for them.
func (s *planState) unloadRefused() {
	if !anyRefused(s.input.Engines) {
		return
	}
	for k := range s.modelViews {
		mv := &s.modelViews[k]
		for _, hs := range mv.adapters {
			s.unloadRefusedIn(hs)
		}
		s.unloadRefusedIn(mv.oldAdapters)
		s.unloadRefusedIn(mv.current)
		s.unloadRefusedIn(mv.old)
	}
}

// unloadRefusedIn unloads the refused slots of a list.
func (s *planState) unloadRefusedIn(slots []heldSlot) {
	for i := range slots {
		if slots[i].state == Refused {
			s.planUnload(slots, slots[i], RuleRefused, 0, 0)
		}
	}
}

// anyRefused reports whether an engine refuses a load.
func anyRefused(engines []Engine) bool {
	for i := range engines {
		if slices.ContainsFunc(engines[i].Slots, func(l ChargedSlot) bool { return l.State == Refused }) {
			return true
		}
	}
	return false
}

// placeModels places the models that lack replicas, in this order: models that no
// data centre holds, models that this data centre doesn't hold, models below their
// minimum of replicas, and models whose declared version changed.
func (s *planState) placeModels() {
	s.recordMissing()
	s.classifyPools()
	for _, k := range s.order {
		if !s.modelViews[k].heldRemotely && !s.heldLocally(k) && s.mayPlaceMissing(k, s.planner.missingSince) {
			s.placeModel(k, RuleReachable)
		}
	}
	for _, k := range s.order {
		if s.modelViews[k].heldRemotely && !s.heldLocally(k) && s.mayPlaceHeldRemotely(k) {
			s.placeModel(k, RuleReachable)
		}
	}
	for _, k := range s.order {
		mv := &s.modelViews[k]
		have := count(mv.current, Loading, Resident) + count(mv.old, Loading, Resident)
		if have > 0 && have < s.minLocalReplicas(k) {
			s.placeModel(k, RuleReplicas)
		}
	}
	for _, k := range s.order {
		s.loadDeclaredVersion(k)
	}
}

// heldLocally reports whether this data centre has the model resident in any
// version, or loads the declared version.
func (s *planState) heldLocally(k int) bool {
	mv := &s.modelViews[k]
	return count(mv.current, Loading, Resident)+count(mv.old, Resident) > 0
}

// loadDeclaredVersion loads the declared version of a model that has resident
// replicas of other versions, one replica at a time.
func (s *planState) loadDeclaredVersion(k int) {
	mv := &s.modelViews[k]
	old := count(mv.old, Resident)
	if old == 0 || count(mv.current, Loading) > 0 {
		return
	}
	resident := count(mv.current, Resident)
	if resident >= s.wantedReplicas(k) {
		return
	}
	if resident == 0 {
		s.placeModel(k, RuleVersion)
		return
	}
	if e := s.chooseEngine(k, s.models[k].MemoryMB); e >= 0 {
		s.planModelLoad(k, e, RuleVersion, 0, 0)
	}
}

// placeModel loads a model on an engine, or frees memory for the model when no engine
// has enough. It prefers an engine with memory for the adapters, too. Except for a
// change of version, memory for the model alone suffices.
func (s *planState) placeModel(k int, rule Rule) {
	m := &s.models[k]
	e := s.chooseEngine(k, m.groupMB)
	if rule != RuleVersion && e < 0 {
		e = s.chooseEngine(k, m.MemoryMB)
	}
	if e >= 0 {
		s.planModelLoad(k, e, rule, 0, 0)
		delete(s.planner.relocations, m.Name)
		return
	}
	s.awaitingMemory[m.Pool] = true
	s.makeRoom(k, rule)
}

// chooseEngine returns the engine to load a model on, or -1 when no usable engine
// has memoryMB available. It prefers the lowest expected load, then the most available
// memory; in a best-fit pool, the least available memory.
func (s *planState) chooseEngine(k int, memoryMB int64) int {
	accepts := func(engine int) bool { return s.canLoad(k, engine, memoryMB) }
	pool := s.models[k].Pool
	if !s.bestFit[pool] {
		return s.poolRanking(pool).first(accepts)
	}
	best := -1
	for i := range s.engines {
		if accepts(i) && (best < 0 || s.engines[i].availableMB() < s.engines[best].availableMB()) {
			best = i
		}
	}
	return best
}

// canLoad reports whether an engine may load a model and has memoryMB available.
func (s *planState) canLoad(k, engine int, memoryMB int64) bool {
	s.steps++
	e, m := &s.engines[engine], &s.models[k]
	if !e.Usable || e.Pool != m.Pool || e.availableMB() < memoryMB {
		return false
	}
	return !anySlotOn(s.modelViews[k].current, engine) && !slices.Contains(e.RefusedModels, m.Name)
}

// loadTenths returns the expected load in tenths of the engine's capacity, rounded
// down.
func (e *engineView) loadTenths() int {
	if e.TokensPerSecond <= 0 {
		return 0
	}
	return int(10 * e.expectedLoad / e.TokensPerSecond)
}
