package rbench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// clampedSqrt returns the square root of x, which may be slightly negative and then
// counts as 0.
func clampedSqrt(x float64) float64 { return math.Sqrt(max(x, 0)) }

// tickPeriod is the interval at which a router with waiting requests decides them
// again.
const tickPeriod = 20 * time.Millisecond

// limpetRouter is the policy that is measured: it routes with the packages route
// and admit. Slices are indexed by router, except views.
type limpetRouter struct {
	states []*admit.State
	// current is the view that was last passed to each state.
	current []*route.View
	// ticking indicates which routers have a scheduled tick.
	ticking []bool
	// views are the newest views, one per data centre.
	views []*route.View
}

var _ router = (*limpetRouter)(nil)

// newLimpetRouter returns the routers of a cluster, one admit.State per router.
func newLimpetRouter(c *cluster, seed uint64) *limpetRouter {
	l := &limpetRouter{current: make([]*route.View, c.routers), ticking: make([]bool, c.routers)}
	for n := range c.routers {
		s := admit.NewState(vmName(1000+n), rand.New(rand.NewPCG(seed, uint64(n))))
		s.SetDocument(document())
		s.SetDaemons(c.routers)
		l.states = append(l.states, s)
	}
	return l
}

// setViews stores the views. Each router passes its view to its state before the
// next decision.
func (l *limpetRouter) setViews(_ *simulation, views []*route.View) {
	l.views = views
}

// state returns the state of a router, updated to the newest view.
func (l *limpetRouter) state(s *simulation, number int) *admit.State {
	v := l.views[number%len(l.views)]
	if l.current[number] != v {
		l.current[number] = v
		l.states[number].SetView(s.now, v)
	}
	return l.states[number]
}

// route offers a request to the router's state.
func (l *limpetRouter) route(s *simulation, req *request) {
	slot := s.cluster.slots[req.slot]
	r := admit.Request{
		Priority: req.priority.name,
		Attempt:  req.sends,
		Deadline: req.arrived.Add(req.priority.firstToken),
		Route: route.Request{
			Model: slot.Model, Adapter: slot.Adapter, Version: slot.Version,
			Rank: req.priority.rank, PromptTokens: req.promptTokens, Prefixes: req.blockHashes,
			ExpectedBy: req.arrived.Add(req.priority.firstToken), Exclude: req.failedOn,
		},
	}
	c := l.state(s, req.router).Offer(s.now, r)
	req.routerState = c
	c.UserData = req
	l.applyDecision(s, c)
	l.keepTicking(s, req.router)
}

// applyDecision sends a granted request and ends a refused one. A request without
// a decision stays queued.
func (l *limpetRouter) applyDecision(s *simulation, c *admit.Call) {
	req := c.UserData.(*request)
	switch {
	case c.Granted():
		s.send(req, s.views[0].Number(c.Choice.VM))
	case c.Err != nil:
		req.ended = true
	}
}

// keepTicking schedules a tick if requests wait and none is scheduled.
func (l *limpetRouter) keepTicking(s *simulation, number int) {
	if !l.ticking[number] && l.states[number].Waiting() > 0 {
		l.ticking[number] = true
		s.scheduleAfter(tickPeriod, event{kind: eventTick, router: number})
	}
}

// tick decides waiting requests and schedules the next tick if some remain.
func (l *limpetRouter) tick(s *simulation, number int) {
	l.ticking[number] = false
	l.step(s, number)
	l.keepTicking(s, number)
}

// step decides the waiting requests of a router.
func (l *limpetRouter) step(s *simulation, number int) {
	for _, c := range l.state(s, number).Step(s.now) {
		l.applyDecision(s, c)
	}
}

// recordFirstToken reports the first token to the request's state.
func (l *limpetRouter) recordFirstToken(s *simulation, req *request) {
	l.states[req.router].FirstToken(s.now, req.routerState.(*admit.Call))
}

// recordEnd releases the request and then decides waiting requests.
func (l *limpetRouter) recordEnd(s *simulation, req *request, failed bool) {
	o := admit.OutcomeAnswered
	if failed {
		o = admit.OutcomeFailed
	}
	l.states[req.router].Release(s.now, req.routerState.(*admit.Call), o)
	if l.states[req.router].Waiting() > 0 {
		l.step(s, req.router)
	}
}

// baselineRouter sends each request at once to an engine that pick selects among
// the engines of all data centres. It sends failed requests again without a retry
// budget.
type baselineRouter struct {
	pick   func(p *baselineRouter, req *request, candidates []int) int
	random *rand.Rand
	views  []*route.View
	// next counts the round-robin picks by router and slot.
	next map[[2]int]int
	// sent holds the times of sends that no report includes yet, by router and
	// engine.
	sent map[[2]int][]time.Time
}

var _ router = (*baselineRouter)(nil)

// newBaselineRouter returns routers that select engines with pick.
func newBaselineRouter(seed uint64, pick func(p *baselineRouter, req *request, candidates []int) int) *baselineRouter {
	return &baselineRouter{
		pick:   pick,
		random: rand.New(rand.NewPCG(seed, 1)),
		next:   make(map[[2]int]int),
		sent:   make(map[[2]int][]time.Time),
	}
}

// route sends a request.
func (p *baselineRouter) route(s *simulation, req *request) {
	n := p.pick(p, req, s.cluster.enginesBySlot[req.slot])
	key := [2]int{req.router, n}
	p.sent[key] = append(p.sent[key], s.now)
	s.send(req, n)
}

// setViews stores the views and drops the sends that their reports include.
func (p *baselineRouter) setViews(_ *simulation, views []*route.View) {
	p.views = views
	at := views[0].Engines[0].MeasuredAt
	for key, times := range p.sent {
		kept := times[:0]
		for _, t := range times {
			if !t.Before(at) {
				kept = append(kept, t)
			}
		}
		p.sent[key] = kept
	}
}

// tick does nothing; the baselines schedule no ticks.
func (p *baselineRouter) tick(*simulation, int) {}

// recordFirstToken does nothing.
func (p *baselineRouter) recordFirstToken(*simulation, *request) {}

// recordEnd does nothing.
func (p *baselineRouter) recordEnd(*simulation, *request, bool) {}

// load returns the reported number of running and waiting requests of an engine,
// plus those that the request's router sent since the report.
func (p *baselineRouter) load(req *request, n int) int {
	r := &p.views[0].Engines[n].Report
	return r.Running + r.Waiting + len(p.sent[[2]int{req.router, n}])
}

// roundRobin selects the engines in turn.
func roundRobin(p *baselineRouter, req *request, candidates []int) int {
	key := [2]int{req.router, req.slot}
	p.next[key]++
	return candidates[(p.next[key]+req.router)%len(candidates)]
}

// leastLoaded selects the engine with the least load, at random among equals.
func leastLoaded(p *baselineRouter, req *request, candidates []int) int {
	best, ties := candidates[0], 0
	for _, n := range candidates {
		switch d := p.load(req, n) - p.load(req, best); {
		case d < 0:
			best, ties = n, 1
		case d == 0:
			ties++
			if p.random.IntN(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

// twoChoices selects the less loaded of two random engines.
func twoChoices(p *baselineRouter, req *request, candidates []int) int {
	a := candidates[p.random.IntN(len(candidates))]
	b := candidates[p.random.IntN(len(candidates))]
	if p.load(req, b) < p.load(req, a) {
		return b
	}
	return a
}
