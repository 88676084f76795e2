package admit

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/quota"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// maxWaiting is the maximum number of waiting calls of a class in a daemon.
	maxWaiting = 2000
	// noEngineWait is how long a call waits for some engine to hold its slot.
	noEngineWait = 500 * time.Millisecond
	// backlogTime is how long after a call last had to wait hasBacklog still reports
	// a backlog. During a backlog, a daemon sends calls only into its share of an
	// engine's room.
	backlogTime = 4 * time.Second
	// minAhead is the number of calls ahead in the queue from which an arriving call
	// is refused if its expected wait is too long.
	minAhead = 4
)

// State decides which calls are sent to which engines, and which calls are refused. It
// is a pure state machine: it starts no goroutines, performs no I/O and reads no clock.
// It is not safe for concurrent use.
type State struct {
	random *rand.Rand
	// salt is a hash of the daemon's name.
	salt uint64
	// daemons is the number of live daemons.
	daemons int

	// deferred maps each deferred priority to the time from arrival to the default
	// deadline of its calls.
	deferred   map[string]time.Duration
	demand     *demand
	budget     retryBudget
	firstSends meter

	view *route.View
	// own and byNumber are indexed by the number of an engine in the view, byVM by
	// the engine's VM.
	own      []route.LocalState
	byNumber []*backend
	byVM     map[string]*backend
	hints    *route.Hints
	// holders is a buffer that is reused between calls.
	holders []int

	// wanted are the slots for which calls found no room in this data centre since
	// the last call of WantedSlots, pendingSlots the slots for which an answer of other data
	// centres is pending.
	wanted, pendingSlots map[envdoc.Slot]bool

	queues map[target]*targetQueue
	// waiting counts the waiting calls by class, including delayed retries.
	waiting [classCount]int
	// waited is the time at which a call of each class last had to wait.
	waited [classCount]time.Time
	// delayed are the retries in backoff.
	delayed []*Call
	// sequence is the sequence number of the next call.
	sequence int
}

// NewState returns the state of a daemon. The daemon's name and the random source make
// the choices of different daemons differ.
func NewState(daemon string, random *rand.Rand) *State {
	return &State{
		random:   random,
		salt:     xxhash.Sum64String(daemon),
		daemons:  1,
		deferred: make(map[string]time.Duration),
		demand:   newDemand(),
		byVM:     make(map[string]*backend),
		hints:    route.NewHints(),
		wanted:   make(map[envdoc.Slot]bool),
		queues:   make(map[target]*targetQueue),
	}
}

// SetDocument sets the deferred priorities of an environment document.
func (s *State) SetDocument(doc *envdoc.Document) {
	clear(s.deferred)
	for _, p := range doc.Priorities {
		if p.Deferred {
			s.deferred[p.Name] = time.Duration(p.Deadline)
		}
	}
}

// SetDaemons sets the number of live daemons, including this one.
func (s *State) SetDaemons(n int) {
	s.daemons = max(n, 1)
}

// SetView sets a new view of the engines.
func (s *State) SetView(now time.Time, v *route.View) {
	same := v.SameEngines(s.view)
	s.view = v
	if !same {
		s.renumber(v)
	}
	for i, b := range s.byNumber {
		e := &v.Engines[i]
		if b.instance != "" && b.instance != e.Report.Instance {
			s.hints.Drop(i)
		}
		b.clampWindow(e)
		if now.Sub(b.reserveUpdatedAt) > reservePeriod {
			b.decayReserve(now)
		}
		b.recount(now, e.MeasuredAt)
		s.updateOwn(now, i)
	}
}

// renumber orders the backends like the view's engines, and drops backends that are not
// in the view.
func (s *State) renumber(v *route.View) {
	s.own = make([]route.LocalState, len(v.Engines))
	s.byNumber = make([]*backend, len(v.Engines))
	old := s.byVM
	s.byVM = make(map[string]*backend, len(v.Engines))
	for i := range v.Engines {
		vm := v.Engines[i].VM
		b := old[vm]
		if b == nil {
			b = &backend{vm: vm, salt: s.salt ^ xxhash.Sum64String(vm)}
		}
		b.number = i
		s.byVM[vm] = b
		s.byNumber[i] = b
		delete(old, vm)
	}
	for _, b := range old {
		b.number = -1
	}
	s.hints.Reset()
}

// updateOwn updates the input to route.Choose for an engine, given its number in the
// view. A negative number has no effect.
func (s *State) updateOwn(now time.Time, number int) {
	if number >= 0 {
		s.own[number] = s.byNumber[number].own(now, &s.view.Engines[number], s.daemons, s.budget.tokens >= 1)
	}
}

// Offer offers a request. The returned call is granted, refused or waiting; a waiting
// call is decided by a later Step.
func (s *State) Offer(now time.Time, r Request) *Call {
	c := &Call{Request: r, arrived: now, sequence: s.sequence}
	s.sequence++
	if r.Attempt > 0 {
		s.offerRetry(now, c)
		return c
	}
	t := target{r.Route.Model, r.Route.Adapter}
	s.demand.add(now, t, r.MaxTokens)
	s.admit(now, c)
	return c
}

// takeRetry takes a retry from the retry budget, or returns a refusal.
func (s *State) takeRetry(now time.Time, attempt int) error {
	if s.budget.take() {
		return nil
	}
	return refuse(code.RetryBudget, s.budget.timeToRetry(s.firstSends.perSecond(now)), "attempt %d exceeds the retry budget", attempt)
}

// recordFirstSend counts a first send, which adds to the retry budget.
func (s *State) recordFirstSend(now time.Time) {
	s.budget.recordFirstSend()
	s.firstSends.add(now, 1)
}

// offerRetry offers a call that was sent before. The call waits for its backoff, or is
// refused by the retry budget.
func (s *State) offerRetry(now time.Time, c *Call) {
	if !c.Request.PreviousUnreached {
		if err := s.takeRetry(now, c.Request.Attempt); err != nil {
			c.status, c.Err = statusRefused, err
			return
		}
	}
	c.notBefore = now.Add(retryWait(c.Request.Attempt, s.random))
	s.classify(c)
	s.waiting[c.class]++
	s.delayed = append(s.delayed, c)
}

// minFirstTokenTime returns the estimated time to the first token on an idle engine.
func (s *State) minFirstTokenTime(r *route.Request) time.Duration {
	if s.view == nil {
		return 0
	}
	return s.view.IdleEstimate(r)
}

// admit decides a call if that is possible immediately, and enqueues it otherwise.
func (s *State) admit(now time.Time, c *Call) {
	s.classify(c)
	if s.waiting[c.class] >= maxWaiting {
		s.refuse(c, code.QueueFull, s.expectedWait(now, c), "the queue is full: %d calls are waiting", s.waiting[c.class])
		return
	}
	q := s.targetQueue(c)
	ahead := q.ahead(c.class)
	if ahead == 0 && s.tryGrant(now, c) {
		return
	}
	if wait := s.expectedWait(now, c); ahead >= minAhead && c.class != route.ClassDeferred && now.Add(wait).After(c.shedAfter) {
		s.refuse(c, code.ShedDeadline, wait, "the expected wait of %s is too long", wait)
		return
	}
	s.enqueue(now, q, c)
}

// targetQueue returns the queue of a call's target and creates it if needed.
func (s *State) targetQueue(c *Call) *targetQueue {
	t := target{c.Request.Route.Model, c.Request.Route.Adapter}
	q := s.queues[t]
	if q == nil {
		q = &targetQueue{target: t}
		s.queues[t] = q
	}
	return q
}

// enqueue adds a call to its queue.
func (s *State) enqueue(now time.Time, q *targetQueue, c *Call) {
	if q.len() == 0 {
		q.waitingSince, q.granted = now, 0
	}
	c.waited = true
	s.waited[c.class] = now
	heap.Push(&q.waiting[c.class], c)
	s.waiting[c.class]++
}

// expectedWait returns the expected wait of a call at the end of its queue, or 0 if the
// rate of grants is unknown.
func (s *State) expectedWait(now time.Time, c *Call) time.Duration {
	q := s.targetQueue(c)
	perSecond, ok := q.grantRate(now)
	if !ok {
		return 0
	}
	return quota.CappedSeconds(float64(q.ahead(c.class)) / perSecond)
}

// refuse marks a call as refused, with an error and a retry-after.
func (s *State) refuse(c *Call, k code.Code, after time.Duration, format string, args ...any) {
	c.status = statusRefused
	c.Err = refuse(k, after, format, args...)
}

// tryGrant grants a call if an engine has room, or refuses it if no engine holds its
// slot after noEngineWait. It reports whether the call is decided.
func (s *State) tryGrant(now time.Time, c *Call) bool {
	if s.view == nil {
		return false
	}
	options := route.ChoiceOptions{Class: s.effectiveClass(now, c), Waited: c.waited || s.hasBacklog(now, c.class), Now: now}
	choice, verdict := route.Choose(s.view, s.own, s.hints, &c.Request.Route, options, s.random)
	s.recordWanted(now, c, choice, verdict)
	if verdict == route.VerdictNone && now.Sub(c.arrived) >= noEngineWait && !s.pendingSlots[slotOf(c)] {
		s.refuse(c, code.NoEngine, minRetryAfter, "no engine holds %s", slotOf(c))
		return true
	}
	if c.class == route.ClassUrgent && (verdict == route.VerdictFull || choice.Estimate > c.shedAfter.Sub(now)/4) {
		s.raiseReserves(now, c)
	}
	if verdict != route.VerdictChosen {
		return false
	}
	s.grant(now, c, choice)
	return true
}

// hasBacklog reports whether calls of a class or of a more urgent class are waiting, or
// had to wait less than backlogTime ago.
func (s *State) hasBacklog(now time.Time, class route.Class) bool {
	for i, n := range s.waiting[:class+1] {
		if n > 0 || now.Sub(s.waited[i]) < backlogTime {
			return true
		}
	}
	return false
}

// raiseReserves raises the reserve for urgent calls of the engines that can answer an
// urgent call.
func (s *State) raiseReserves(now time.Time, c *Call) {
	s.holders = s.view.AppendHolders(&c.Request.Route, s.holders[:0])
	for _, n := range s.holders {
		s.byNumber[n].raiseReserve(now)
	}
}

// effectiveClass returns the class whose room a call may use at now.
func (s *State) effectiveClass(now time.Time, c *Call) route.Class {
	if c.class == route.ClassDeferred && !now.Before(c.due) {
		return route.ClassNormal
	}
	return c.class
}

// grant marks a call as granted and sent to the chosen engine.
func (s *State) grant(now time.Time, c *Call, choice route.Choice) {
	b := s.byVM[choice.VM]
	c.Choice, c.status, c.sent, c.backend = choice, statusGranted, now, b
	c.slowness = max(b.slowness.value, 1)
	b.recordSend(c)
	s.hints.Sent(c.Request.Route.Prefixes, b.number)
	if c.Request.Attempt == 0 {
		s.recordFirstSend(now)
	}
	s.targetQueue(c).grant(now)
	s.updateOwn(now, b.number)
}

// ReceivePeerDemand stores the demand reported by a peer.
func (s *State) ReceivePeerDemand(now time.Time, daemon string, demand []member.ModelDemand) {
	s.demand.receive(now, daemon, demand)
}
