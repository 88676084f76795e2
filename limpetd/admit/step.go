package admit

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// stallTime is the time without a first token after which an urgent call
	// counts as a failure of its engine, if that is also stallFactor times the
	// estimate.
	stallTime   = 3 * time.Second
	stallFactor = 4
	// estimateError is the error of estimates that does not count as slowness.
	estimateError = 50 * time.Millisecond
)

// Step decides waiting calls and returns those decided. It is called when room
// was given back, the view changed, or some time has passed.
func (s *State) Step(now time.Time) []*Call {
	s.findStalled(now)
	decided := s.release(now)
	decided = s.shed(now, decided)
	decided = s.stepClass(now, route.ClassUrgent, decided, always)
	decided = s.stepClass(now, route.ClassDeferred, decided, pressing)
	decided = s.stepClass(now, route.ClassNormal, decided, always)
	decided = s.stepClass(now, route.ClassDeferred, decided, always)
	for t, l := range s.lines {
		if l.len() == 0 {
			delete(s.lines, t)
		}
	}
	return decided
}

// release lets retries go whose wait is over, and returns those decided at once.
func (s *State) release(now time.Time) []*Call {
	var decided []*Call
	kept := s.delayed[:0]
	for _, c := range s.delayed {
		if now.Before(c.notBefore) {
			kept = append(kept, c)
			continue
		}
		s.waiting[c.class]--
		c.notBefore = time.Time{}
		s.enter(now, c)
		if c.status != statusWaiting {
			decided = append(decided, c)
		}
	}
	clear(s.delayed[len(kept):])
	s.delayed = kept
	return decided
}

// shed refuses the calls that cannot meet their expectation any more. The first
// of a line are those with the earliest expectation.
func (s *State) shed(now time.Time, decided []*Call) []*Call {
	for _, l := range s.lines {
		for class := range l.waiting {
			h := &l.waiting[class]
			for len(*h) > 0 && now.After((*h)[0].latest) {
				c := heap.Pop(h).(*Call)
				s.waiting[class]--
				s.refuse(c, code.ShedDeadline, s.expectedWait(now, c), "the expectation cannot be met")
				decided = append(decided, c)
			}
		}
	}
	return decided
}

// stepClass tries the waiting calls of a class that pass, those that go first
// before others. A line whose first call does not pass or finds no room is left.
func (s *State) stepClass(now time.Time, class route.Class, decided []*Call, passes func(time.Time, *Call) bool) []*Call {
	if s.waiting[class] == 0 {
		return decided
	}
	var heads []*Call
	for _, l := range s.lines {
		if len(l.waiting[class]) > 0 {
			heads = append(heads, l.waiting[class][0])
		}
	}
	sort.Slice(heads, func(i, j int) bool { return heads[i].before(heads[j]) })
	for len(heads) > 0 {
		c := heads[0]
		heads = heads[1:]
		if !passes(now, c) || !s.try(now, c) {
			continue
		}
		h := &s.line(c).waiting[class]
		heap.Remove(h, c.place)
		s.waiting[class]--
		decided = append(decided, c)
		if len(*h) > 0 {
			heads = insert(heads, (*h)[0])
		}
	}
	return decided
}

// insert puts a call into its place in a sorted list.
func insert(heads []*Call, c *Call) []*Call {
	i := sort.Search(len(heads), func(i int) bool { return c.before(heads[i]) })
	return slices.Insert(heads, i, c)
}

// Cancel takes a waiting call back.
func (s *State) Cancel(c *Call) {
	if c.status != statusWaiting {
		return
	}
	c.status = statusEnded
	s.waiting[c.class]--
	if !c.notBefore.IsZero() {
		for i, d := range s.delayed {
			if d == c {
				s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
				return
			}
		}
	}
	heap.Remove(&s.line(c).waiting[c.class], c.place)
}

// FirstToken notes that the first token of a granted call came.
func (s *State) FirstToken(now time.Time, c *Call) {
	if c.status != statusGranted || c.first {
		return
	}
	b := c.backend
	b.firstToken(c)
	b.outlier.answered()
	if b.number < 0 {
		return
	}
	took := now.Sub(c.sent)
	e := &s.view.Engines[b.number]
	ratio := took.Seconds() / (c.Choice.Estimate + estimateError).Seconds()
	b.slowness.add(min(max(ratio*c.slowness, 1), maxSlowness), sampleWeight)
	if c.class != route.ClassDeferred {
		b.adapt(now, took, c.Request.Route.Expected.Sub(c.arrived), e)
	}
	s.renew(now, b.number)
}

// Release notes that a granted call ended.
func (s *State) Release(now time.Time, c *Call, o Outcome) {
	if c.status != statusGranted {
		return
	}
	c.status, c.ended = statusEnded, now
	b := c.backend
	b.end(c)
	switch o {
	case OutcomeAnswered:
		b.outlier.answered()
		b.hold.add(now.Sub(c.sent).Seconds(), sampleWeight)
	case OutcomeFailed:
		s.failed(now, b)
	}
	s.renew(now, b.number)
}

// failed notes a failure of an engine and ejects it, unless too many are ejected.
func (s *State) failed(now time.Time, b *backend) {
	if !b.outlier.failed(now) || b.number < 0 {
		return
	}
	ejected := 0
	for _, other := range s.numbered {
		if other.outlier.ejected(now) {
			ejected++
		}
	}
	if mayEject(ejected, len(s.numbered)) {
		b.outlier.eject(now)
	}
}

// findStalled counts urgent calls without a first token as failures of their
// engines, unless most other engines of the model stall too, and lets engines back
// whose ejection is over.
func (s *State) findStalled(now time.Time) {
	stalls := make([]bool, len(s.numbered))
	for i, b := range s.numbered {
		stalls[i] = b.stalls(now)
	}
	for i, b := range s.numbered {
		if stalls[i] {
			s.countStalled(now, b, stalls)
		}
		if s.own[i].Ejected || b.outlier.times > 0 {
			s.renew(now, i)
		}
	}
}

// countStalled counts the stalled calls of an engine that were not counted.
func (s *State) countStalled(now time.Time, b *backend, stalls []bool) {
	for _, c := range b.flight {
		if c.stalled || !c.stalls(now) {
			continue
		}
		if s.othersStall(c, stalls) {
			return
		}
		c.stalled = true
		s.failed(now, b)
	}
}

// othersStall tells whether more than half of the other engines that could answer
// a call stall too, so that its engine is not to blame.
func (s *State) othersStall(c *Call, stalls []bool) bool {
	s.holders = s.view.Holders(&c.Request.Route, s.holders[:0])
	others, slow := 0, 0
	for _, n := range s.holders {
		if n == c.backend.number {
			continue
		}
		others++
		slow += number(stalls[n])
	}
	return 2*slow > others
}

// Ejected returns the VMs of the engines that are ejected, in order.
func (s *State) Ejected(now time.Time) []string {
	var vms []string
	for _, b := range s.numbered {
		if b.outlier.ejected(now) {
			vms = append(vms, b.vm)
		}
	}
	return vms
}

// Waiting returns the number of calls that wait.
func (s *State) Waiting() int {
	n := 0
	for _, w := range s.waiting {
		n += w
	}
	return n
}

// Demand returns the demand at this daemon.
func (s *State) Demand(now time.Time) []member.ModelDemand {
	queued := make(map[target]int, len(s.lines))
	for t, l := range s.lines {
		queued[t] = l.len()
	}
	return s.demand.list(now, queued)
}
