package rbench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// sqrt returns the root of a number that may be a little below zero.
func sqrt(x float64) float64 { return math.Sqrt(max(x, 0)) }

// tickPeriod is the time between two steps of a router with waiting requests.
const tickPeriod = 20 * time.Millisecond

// limpet routes with the decisions of the packages route and admit.
type limpet struct {
	states  []*admit.State
	seen    []*route.View
	ticking []bool
	views   []*route.View
}

var _ router = (*limpet)(nil)

// newLimpet returns the routers of a world.
func newLimpet(w *world, seed uint64) *limpet {
	l := &limpet{seen: make([]*route.View, w.routers), ticking: make([]bool, w.routers)}
	for n := range w.routers {
		s := admit.NewState(vmName(1000+n), rand.New(rand.NewPCG(seed, uint64(n))))
		s.SetDocument(document())
		s.SetDaemons(w.routers)
		l.states = append(l.states, s)
	}
	return l
}

// view keeps the views for the routers, which take them when they need them.
func (l *limpet) view(_ *simulation, views []*route.View) {
	l.views = views
}

// state returns the state of a router with the newest view.
func (l *limpet) state(s *simulation, number int) *admit.State {
	v := l.views[number%len(l.views)]
	if l.seen[number] != v {
		l.seen[number] = v
		l.states[number].SetView(s.now, v)
	}
	return l.states[number]
}

// arrive offers a request.
func (l *limpet) arrive(s *simulation, j *job) {
	slot := s.world.slots[j.slot]
	r := admit.Request{
		Priority: j.priority.name,
		Attempt:  j.sends,
		Deadline: j.arrived.Add(j.priority.firstToken),
		Route: route.Request{
			Model: slot.Model, Adapter: slot.Adapter, Version: slot.Version,
			Rank: j.priority.rank, PromptTokens: j.prompt, Prefixes: j.chain,
			Expected: j.arrived.Add(j.priority.firstToken), Exclude: j.failed,
		},
	}
	c := l.state(s, j.router).Offer(s.now, r)
	j.memo = c
	c.Memo = j
	l.settle(s, c)
	l.keepTicking(s, j.router)
}

// settle sends a granted request and ends a refused one.
func (l *limpet) settle(s *simulation, c *admit.Call) {
	j := c.Memo.(*job)
	switch {
	case c.Granted():
		s.send(j, s.views[0].Number(c.Choice.VM))
	case c.Err != nil:
		j.ended = true
	}
}

// keepTicking asks for a tick while requests wait.
func (l *limpet) keepTicking(s *simulation, number int) {
	if !l.ticking[number] && l.states[number].Waiting() > 0 {
		l.ticking[number] = true
		s.after(tickPeriod, event{kind: eventTick, router: number})
	}
}

// tick decides waiting requests.
func (l *limpet) tick(s *simulation, number int) {
	l.ticking[number] = false
	l.step(s, number)
	l.keepTicking(s, number)
}

// step decides waiting requests.
func (l *limpet) step(s *simulation, number int) {
	for _, c := range l.state(s, number).Step(s.now) {
		l.settle(s, c)
	}
}

// firstToken tells the state.
func (l *limpet) firstToken(s *simulation, j *job) {
	l.states[j.router].FirstToken(s.now, j.memo.(*admit.Call))
}

// ended tells the state.
func (l *limpet) ended(s *simulation, j *job, failed bool) {
	o := admit.OutcomeAnswered
	if failed {
		o = admit.OutcomeFailed
	}
	l.states[j.router].Release(s.now, j.memo.(*admit.Call), o)
	if l.states[j.router].Waiting() > 0 {
		l.step(s, j.router)
	}
}

// plain routes each request at once by a simple rule, in any data centre, and
// sends a failed one again.
type plain struct {
	pick   func(p *plain, j *job, holders []int) int
	random *rand.Rand
	views  []*route.View
	// next is the place of the next engine in turn, by slot and router.
	next map[[2]int]int
	// sent are the times of the sends of each router to each engine.
	sent map[[2]int][]time.Time
}

var _ router = (*plain)(nil)

// newPlain returns routers with a rule.
func newPlain(seed uint64, pick func(p *plain, j *job, holders []int) int) *plain {
	return &plain{
		pick:   pick,
		random: rand.New(rand.NewPCG(seed, 1)),
		next:   make(map[[2]int]int),
		sent:   make(map[[2]int][]time.Time),
	}
}

// arrive sends a request.
func (p *plain) arrive(s *simulation, j *job) {
	n := p.pick(p, j, s.world.holders[j.slot])
	key := [2]int{j.router, n}
	p.sent[key] = append(p.sent[key], s.now)
	s.send(j, n)
}

// view takes the reports and forgets the sends that they count.
func (p *plain) view(_ *simulation, views []*route.View) {
	p.views = views
	at := views[0].Engines[0].At
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

// tick is never asked for.
func (p *plain) tick(*simulation, int) {}

// firstToken has no effect.
func (p *plain) firstToken(*simulation, *job) {}

// ended has no effect.
func (p *plain) ended(*simulation, *job, bool) {}

// load returns the reported load of an engine with the sends of a router since.
func (p *plain) load(j *job, n int) int {
	r := &p.views[0].Engines[n].Report
	return r.Running + r.Waiting + len(p.sent[[2]int{j.router, n}])
}

// roundRobin takes the engines in turn.
func roundRobin(p *plain, j *job, holders []int) int {
	key := [2]int{j.router, j.slot}
	p.next[key]++
	return holders[(p.next[key]+j.router)%len(holders)]
}

// leastLoaded takes the engine with the least load.
func leastLoaded(p *plain, j *job, holders []int) int {
	best, ties := holders[0], 0
	for _, n := range holders {
		switch d := p.load(j, n) - p.load(j, best); {
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

// twoChoices takes the less loaded of two random engines.
func twoChoices(p *plain, j *job, holders []int) int {
	a := holders[p.random.IntN(len(holders))]
	b := holders[p.random.IntN(len(holders))]
	if p.load(j, b) < p.load(j, a) {
		return b
	}
	return a
}
