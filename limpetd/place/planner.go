package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// replicaLoad is the part of an engine's capacity that one replica is
	// expected to carry before another is wanted.
	replicaLoad = 0.8
	// relocateLimit bounds the relocations begun in a plan.
	relocateLimit = 4
	// relocateTimeout ends the wait for a relocated model.
	relocateTimeout = 5 * time.Minute
)

// Planner plans for one data centre. It is not safe for concurrent use.
type Planner struct {
	index   *index
	demands demands
	// loaded is when a model last got a replica for demand.
	loaded map[string]time.Time
	// lacking is since when no data centre is known to hold a model.
	lacking map[string]time.Time
	// partial is since when none is known to hold it with all adapters.
	partial map[string]time.Time
	// relocations are the models that wait for another to move away.
	relocations map[string]relocation
	// promises are the models that get memory freed for them, by engine.
	promises map[string]promise
	// steps counts the engines and replicas that the last plan looked at.
	steps int
}

// promise is memory on an engine that is freed for a model's demand.
type promise struct {
	model string
	at    time.Time
}

// relocation is the models that move off an engine to make room.
type relocation struct {
	victims []string
	at      time.Time
}

// NewPlanner returns a planner that has seen no demand.
func NewPlanner() *Planner {
	return &Planner{
		demands:     demands{needs: map[demandKey]*need{}},
		loaded:      map[string]time.Time{},
		lacking:     map[string]time.Time{},
		partial:     map[string]time.Time{},
		relocations: map[string]relocation{},
		promises:    map[string]promise{},
	}
}

// Clone returns a planner with the same memory.
func (p *Planner) Clone() *Planner {
	return &Planner{
		index:       p.index,
		demands:     p.demands.clone(),
		loaded:      maps.Clone(p.loaded),
		lacking:     maps.Clone(p.lacking),
		partial:     maps.Clone(p.partial),
		relocations: maps.Clone(p.relocations),
		promises:    maps.Clone(p.promises),
	}
}

// Plan returns the moves to make at f.Now. The moves of a plan don't wait for
// each other; moves that have to wait come in a later plan.
func (p *Planner) Plan(f Facts) Plan {
	p.demands.update(f.Demand, f.Now)
	p.refresh(f)
	v := newView(p.index, f, &p.demands)
	v.project()
	s := &stage{view: v, planner: p, pressed: map[string]bool{}, tight: map[string]bool{}, scarce: map[string]bool{}, unsettled: map[string]bool{}}
	s.dropStrays()
	s.dropRefused()
	s.reach()
	s.adapters()
	s.breakOld()
	s.keepPromises()
	s.spread()
	s.spreadAdapters()
	p.steps = v.steps
	return v.plan
}

// refresh derives the index anew when the document or the data centres changed.
func (p *Planner) refresh(f Facts) {
	centres := centresOf(f)
	if p.index != nil && p.index.document == f.Document && slices.EqualFunc(p.index.centres, centres, centre.equal) {
		return
	}
	earlier := p.index
	p.index = newIndex(f.Document, f.DataCentre, centres)
	if earlier != nil && earlier.document == f.Document && slices.Equal(earlier.names, p.index.names) {
		return
	}
	p.relocations = map[string]relocation{}
	p.lacking = map[string]time.Time{}
	p.partial = map[string]time.Time{}
}

// stage is a plan in the making.
type stage struct {
	*view
	planner *Planner
	// pressed are the pools in which a declared slot waits for memory; they
	// get no loads for demand.
	pressed map[string]bool
	// tight are the pools in which spread models would leave others without room.
	tight map[string]bool
	// scarce are the pools that have no room for all models here.
	scarce map[string]bool
	// unsettled are the pools in which a model lacks in all data centres whose
	// turns are not over.
	unsettled   map[string]bool
	relocations int
}

// minLocal is the number of replicas that a model needs in this data centre: its
// part among the data centres that have engines of its pool.
func (s *stage) minLocal(k int) int {
	centres := s.centresOf[s.models[k].Pool]
	return max(1, (s.models[k].MinReplicas+centres-1)/max(1, centres))
}

// wanted is the number of replicas that minimum and demand ask for.
func (s *stage) wanted(k int) int {
	mv := &s.views[k]
	capacity := s.capacity(s.models[k].Pool)
	if capacity == 0 {
		return s.minLocal(k)
	}
	return max(s.minLocal(k), int(math.Ceil(mv.demand/(replicaLoad*capacity))))
}

// capacity is that of the first usable engine of a pool.
func (s *stage) capacity(pool string) float64 {
	for i := range s.engines {
		if s.engines[i].Usable && s.engines[i].Pool == pool {
			return s.engines[i].TokensPerSecond
		}
	}
	return 0
}

// dropStrays unloads what the document no longer declares.
func (s *stage) dropStrays() {
	for _, h := range s.strays {
		if h.state == Resident {
			s.unload(s.strays, h, RuleUndeclared, 0, 0)
		}
	}
}

// dropRefused gives up the charges of loads that an engine refuses.
func (s *stage) dropRefused() {
	if !anyRefused(s.facts.Engines) {
		return
	}
	for k := range s.views {
		mv := &s.views[k]
		for _, hs := range mv.adapters {
			s.dropRefusedOf(hs)
		}
		s.dropRefusedOf(mv.oldAdapters)
		s.dropRefusedOf(mv.current)
		s.dropRefusedOf(mv.old)
	}
}

// dropRefusedOf gives up the refused ones of some holders.
func (s *stage) dropRefusedOf(holders []holder) {
	for i := range holders {
		if holders[i].state == Refused {
			s.unload(holders, holders[i], RuleRefused, 0, 0)
		}
	}
}

// anyRefused tells whether an engine refuses a load.
func anyRefused(engines []Engine) bool {
	for i := range engines {
		if slices.ContainsFunc(engines[i].Slots, func(l Slot) bool { return l.State == Refused }) {
			return true
		}
	}
	return false
}

// reach places the models that lack replicas: first those that no data centre
// has, then those that this one lacks, then by minimum, then changed versions.
func (s *stage) reach() {
	s.noteLacking()
	s.noteTight()
	for _, k := range s.order {
		if !s.views[k].remote && !s.held(k) && s.mayKeep(k, s.planner.lacking) {
			s.place(k, RuleReachable)
		}
	}
	for _, k := range s.order {
		if s.views[k].remote && !s.held(k) && s.mayCopy(k) {
			s.place(k, RuleReachable)
		}
	}
	for _, k := range s.order {
		mv := &s.views[k]
		have := count(mv.current, Loading, Resident) + count(mv.old, Loading, Resident)
		if have > 0 && have < s.minLocal(k) {
			s.place(k, RuleReplicas)
		}
	}
	for _, k := range s.order {
		s.changeVersion(k)
	}
}

// held tells whether the data centre holds or loads the model in any version.
func (s *stage) held(k int) bool {
	mv := &s.views[k]
	return count(mv.current, Loading, Resident)+count(mv.old, Resident) > 0
}

// changeVersion loads the declared version beside older ones, one at a time.
func (s *stage) changeVersion(k int) {
	mv := &s.views[k]
	old := count(mv.old, Resident)
	if old == 0 || count(mv.current, Loading) > 0 {
		return
	}
	resident := count(mv.current, Resident)
	if resident >= s.wanted(k) {
		return
	}
	if resident == 0 {
		s.place(k, RuleVersion)
		return
	}
	if e := s.choose(k, s.models[k].MemoryMB); e >= 0 {
		s.loadModel(k, e, RuleVersion, 0, 0)
	}
}

// place loads a model, or makes room for it.
func (s *stage) place(k int, rule Rule) {
	m := &s.models[k]
	e := s.choose(k, m.groupMB)
	if rule != RuleVersion && e < 0 {
		e = s.choose(k, m.MemoryMB)
	}
	if e >= 0 {
		s.loadModel(k, e, rule, 0, 0)
		delete(s.planner.relocations, m.Name)
		return
	}
	s.pressed[m.Pool] = true
	s.makeRoom(k, rule)
}

// choose returns the usable engine with room for a model that is loaded least
// and has the most memory free, or -1. In a tight pool it is the one with least
// room.
func (s *stage) choose(k int, memoryMB int64) int {
	suits := func(engine int) bool { return s.takes(k, engine, memoryMB) }
	pool := s.models[k].Pool
	if !s.tight[pool] {
		return s.ranked(pool).first(suits)
	}
	best := -1
	for i := range s.engines {
		if suits(i) && (best < 0 || s.engines[i].room() < s.engines[best].room()) {
			best = i
		}
	}
	return best
}

// takes tells whether an engine may load a model and has the room.
func (s *stage) takes(k, engine int, memoryMB int64) bool {
	s.steps++
	e, m := &s.engines[engine], &s.models[k]
	if !e.Usable || e.Pool != m.Pool || e.room() < memoryMB {
		return false
	}
	return !occupied(s.views[k].current, engine) && !slices.Contains(e.Refuses, m.Name)
}

// busy is the load in tenths of the capacity.
func (e *engineView) busy() int {
	if e.TokensPerSecond <= 0 {
		return 0
	}
	return int(10 * e.load / e.TokensPerSecond)
}
