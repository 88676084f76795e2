package admit

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// maxWaiting is the number of waiting calls of a class in a daemon.
	maxWaiting = 2000
	// noEngineWait is how long a call waits for an engine to hold its slot.
	noEngineWait = 500 * time.Millisecond
	// backlogTime is how long after a call had to wait the daemon holds back.
	backlogTime = 4 * time.Second
	// minAhead is the number of calls ahead from which an arriving call is
	// refused by the expected wait.
	minAhead = 4
)

// State decides which calls are sent where, and which are refused. It is pure:
// it holds what it was told, starts nothing and asks no clock. It is not safe for
// concurrent use.
type State struct {
	random  *rand.Rand
	salt    uint64
	daemons int

	deferred map[string]time.Duration
	demand   *demand
	budget   retryBudget
	sends    meter

	view     *route.View
	own      []route.Own
	numbered []*backend
	backends map[string]*backend
	hints    *route.Hints
	// holders is reused between calls.
	holders []int

	// wanted are the slots for which engines of other data centres are looked
	// for since Wanted; sought those for which an answer is awaited.
	wanted, sought map[envdoc.Slot]bool

	lines   map[target]*line
	waiting [classes]int
	// waited is when a call of a class had to wait last.
	waited  [classes]time.Time
	delayed []*Call
	order   int
}

// NewState returns the state of a daemon. The daemon's name and the random
// source spread the choices of many daemons.
func NewState(daemon string, random *rand.Rand) *State {
	return &State{
		random:   random,
		salt:     xxhash.Sum64String(daemon),
		daemons:  1,
		deferred: make(map[string]time.Duration),
		demand:   newDemand(),
		backends: make(map[string]*backend),
		hints:    route.NewHints(),
		wanted:   make(map[envdoc.Slot]bool),
		lines:    make(map[target]*line),
	}
}

// SetDocument takes the priorities of a document.
func (s *State) SetDocument(doc *envdoc.Document) {
	clear(s.deferred)
	for _, p := range doc.Priorities {
		if p.Deferred {
			s.deferred[p.Name] = time.Duration(p.Deadline)
		}
	}
}

// SetDaemons takes the number of live daemons, this one included.
func (s *State) SetDaemons(n int) {
	s.daemons = max(n, 1)
}

// SetView takes a new view.
func (s *State) SetView(now time.Time, v *route.View) {
	same := v.SameEngines(s.view)
	s.view = v
	if !same {
		s.renumber(v)
	}
	for i, b := range s.numbered {
		e := &v.Engines[i]
		if b.instance != "" && b.instance != e.Report.Instance {
			s.hints.Drop(i)
		}
		b.begin(e)
		if now.Sub(b.reserveAt) > reservePeriod {
			b.lowerReserve(now)
		}
		b.recount(now, e.At)
		s.renew(now, i)
	}
}

// renumber puts the backends in the order of the view's engines, and forgets
// those that are not in it.
func (s *State) renumber(v *route.View) {
	s.own = make([]route.Own, len(v.Engines))
	s.numbered = make([]*backend, len(v.Engines))
	old := s.backends
	s.backends = make(map[string]*backend, len(v.Engines))
	for i := range v.Engines {
		vm := v.Engines[i].VM
		b := old[vm]
		if b == nil {
			b = &backend{vm: vm, salt: s.salt ^ xxhash.Sum64String(vm)}
		}
		b.number = i
		s.backends[vm] = b
		s.numbered[i] = b
		delete(old, vm)
	}
	for _, b := range old {
		b.number = -1
	}
	s.hints.Reset()
}

// renew computes what the choice needs to know of an engine.
func (s *State) renew(now time.Time, number int) {
	if number >= 0 {
		s.own[number] = s.numbered[number].own(now, &s.view.Engines[number], s.daemons, s.budget.tokens >= 1)
	}
}

// Offer takes a call. The call returned is granted, refused or waits; a waiting
// one is decided by a later Step.
func (s *State) Offer(now time.Time, r Request) *Call {
	c := &Call{Request: r, arrived: now, order: s.order}
	s.order++
	if r.Attempt > 0 {
		s.offerRetry(now, c)
		return c
	}
	t := target{r.Route.Model, r.Route.Adapter}
	s.demand.add(now, t, r.MaxTokens)
	s.enter(now, c)
	return c
}

// retry takes a retry out of the budget.
func (s *State) retry(now time.Time, attempt int) error {
	if s.budget.take() {
		return nil
	}
	return refuse(code.RetryBudget, s.budget.wait(s.sends.perSecond(now)), "attempt %d is over the retry budget", attempt)
}

// earn counts a first send.
func (s *State) earn(now time.Time) {
	s.budget.earn()
	s.sends.add(now, 1)
}

// offerRetry takes a call that was sent before.
func (s *State) offerRetry(now time.Time, c *Call) {
	if !c.Request.Unreached {
		if err := s.retry(now, c.Request.Attempt); err != nil {
			c.status, c.Err = statusRefused, err
			return
		}
	}
	c.notBefore = now.Add(retryWait(c.Request.Attempt, s.random))
	s.classify(c)
	s.waiting[c.class]++
	s.delayed = append(s.delayed, c)
}

// shortest returns the time to the first token on an idle engine.
func (s *State) shortest(r *route.Request) time.Duration {
	if s.view == nil {
		return 0
	}
	return s.view.Shortest(r)
}

// enter lets a call wait, or decides it at once when it can.
func (s *State) enter(now time.Time, c *Call) {
	s.classify(c)
	if s.waiting[c.class] >= maxWaiting {
		s.refuse(c, code.QueueFull, s.expectedWait(now, c), "%d calls wait", s.waiting[c.class])
		return
	}
	l := s.line(c)
	ahead := l.ahead(c.class)
	if ahead == 0 && s.try(now, c) {
		return
	}
	if wait := s.expectedWait(now, c); ahead >= minAhead && c.class != route.ClassDeferred && now.Add(wait).After(c.latest) {
		s.refuse(c, code.ShedDeadline, wait, "the expected wait of %s is too long", wait)
		return
	}
	s.wait(now, l, c)
}

// line returns the line of a call.
func (s *State) line(c *Call) *line {
	t := target{c.Request.Route.Model, c.Request.Route.Adapter}
	l := s.lines[t]
	if l == nil {
		l = &line{target: t}
		s.lines[t] = l
	}
	return l
}

// wait adds a call to its line.
func (s *State) wait(now time.Time, l *line, c *Call) {
	if l.len() == 0 {
		l.fullSince, l.granted = now, 0
	}
	c.waited = true
	s.waited[c.class] = now
	heap.Push(&l.waiting[c.class], c)
	s.waiting[c.class]++
}

// expectedWait returns the expected wait of a call behind those in its line.
func (s *State) expectedWait(now time.Time, c *Call) time.Duration {
	l := s.line(c)
	perSecond, ok := l.rate(now)
	if !ok {
		return 0
	}
	return seconds(float64(l.ahead(c.class)) / perSecond)
}

// refuse ends a call with an error.
func (s *State) refuse(c *Call, k code.Code, after time.Duration, format string, args ...any) {
	c.status = statusRefused
	c.Err = refuse(k, after, format, args...)
}

// try grants a call if an engine has room, and tells whether the call is
// decided.
func (s *State) try(now time.Time, c *Call) bool {
	if s.view == nil {
		return false
	}
	ask := route.Ask{Class: s.allowed(now, c), Waited: c.waited || s.backlog(now, c.class), Now: now}
	choice, verdict := route.Choose(s.view, s.own, s.hints, &c.Request.Route, ask, s.random)
	s.want(now, c, choice, verdict)
	if verdict == route.VerdictNone && now.Sub(c.arrived) >= noEngineWait && !s.sought[slotOf(c)] {
		s.refuse(c, code.NoEngine, minRetryAfter, "no engine holds %s", slotOf(c))
		return true
	}
	if c.class == route.ClassUrgent && (verdict == route.VerdictFull || choice.Estimate > c.latest.Sub(now)/4) {
		s.raiseReserves(now, c)
	}
	if verdict != route.VerdictChosen {
		return false
	}
	s.grant(now, c, choice)
	return true
}

// backlog tells whether calls of a class, or a more urgent one, wait or waited a
// moment ago.
func (s *State) backlog(now time.Time, class route.Class) bool {
	for i, n := range s.waiting[:class+1] {
		if n > 0 || now.Sub(s.waited[i]) < backlogTime {
			return true
		}
	}
	return false
}

// raiseReserves keeps more room for urgent calls in the engines that could take
// one.
func (s *State) raiseReserves(now time.Time, c *Call) {
	s.holders = s.view.Holders(&c.Request.Route, s.holders[:0])
	for _, n := range s.holders {
		s.numbered[n].raiseReserve(now)
	}
}

// allowed returns the class as which a call may enter an engine now.
func (s *State) allowed(now time.Time, c *Call) route.Class {
	if c.class == route.ClassDeferred && !now.Before(c.due) {
		return route.ClassNormal
	}
	return c.class
}

// grant notes that a call is sent.
func (s *State) grant(now time.Time, c *Call, choice route.Choice) {
	b := s.backends[choice.VM]
	c.Choice, c.status, c.sent, c.backend = choice, statusGranted, now, b
	c.slowness = max(b.slowness.value, 1)
	b.send(c)
	s.hints.Sent(c.Request.Route.Prefixes, b.number)
	if c.Request.Attempt == 0 {
		s.earn(now)
	}
	s.line(c).grant(now)
	s.renew(now, b.number)
}

// Receive takes the demand that a peer told.
func (s *State) Receive(now time.Time, daemon string, demand []member.ModelDemand) {
	s.demand.receive(now, daemon, demand)
}
