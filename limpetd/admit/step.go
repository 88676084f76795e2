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
	// stallTime is the time without a first token after which an urgent call is
	// stalled, which counts as a failure of its engine. The time must also exceed
	// stallFactor times the estimate.
	stallTime   = 3 * time.Second
	stallFactor = 4
	// estimateError is the error of an estimate that does not count as slowness.
	estimateError = 50 * time.Millisecond
)

// Step decides waiting calls and returns the calls it decided. It is called when room
// was freed, when the view changed, and periodically.
func (s *State) Step(now time.Time) []*Call {
	s.findStalled(now)
	decided := s.releaseDelayed(now)
	decided = s.shed(now, decided)
	decided = s.stepClass(now, route.ClassUrgent, decided, always)
	decided = s.stepClass(now, route.ClassDeferred, decided, precedesNormal)
	decided = s.stepClass(now, route.ClassNormal, decided, always)
	decided = s.stepClass(now, route.ClassDeferred, decided, always)
	for t, q := range s.queues {
		if q.len() == 0 {
			delete(s.queues, t)
		}
	}
	return decided
}

// releaseDelayed admits the retries whose backoff is over, and returns those that were
// granted or refused immediately.
func (s *State) releaseDelayed(now time.Time) []*Call {
	var decided []*Call
	kept := s.delayed[:0]
	for _, c := range s.delayed {
		if now.Before(c.notBefore) {
			kept = append(kept, c)
			continue
		}
		s.waiting[c.class]--
		c.notBefore = time.Time{}
		s.admit(now, c)
		if c.status != statusWaiting {
			decided = append(decided, c)
		}
	}
	clear(s.delayed[len(kept):])
	s.delayed = kept
	return decided
}

// shed refuses the calls that can no longer meet their expected time or deadline. It
// checks each queue from its first call, which is the most urgent of the queue.
func (s *State) shed(now time.Time, decided []*Call) []*Call {
	for _, q := range s.queues {
		for class := range q.waiting {
			h := &q.waiting[class]
			for len(*h) > 0 && now.After((*h)[0].shedAfter) {
				c := heap.Pop(h).(*Call)
				s.waiting[class]--
				s.refuse(c, code.ShedDeadline, s.expectedWait(now, c), "the expected time or the deadline of the call cannot be met")
				decided = append(decided, c)
			}
		}
	}
	return decided
}

// stepClass tries to grant the eligible calls of a class, in the order of Call.before
// over all queues. It skips the rest of a queue when the first call of the queue is not
// eligible or finds no room.
func (s *State) stepClass(now time.Time, class route.Class, decided []*Call, eligible func(time.Time, *Call) bool) []*Call {
	if s.waiting[class] == 0 {
		return decided
	}
	var heads []*Call
	for _, q := range s.queues {
		if len(q.waiting[class]) > 0 {
			heads = append(heads, q.waiting[class][0])
		}
	}
	sort.Slice(heads, func(i, j int) bool { return heads[i].before(heads[j]) })
	for len(heads) > 0 {
		c := heads[0]
		heads = heads[1:]
		if !eligible(now, c) || !s.tryGrant(now, c) {
			continue
		}
		h := &s.targetQueue(c).waiting[class]
		heap.Remove(h, c.heapIndex)
		s.waiting[class]--
		decided = append(decided, c)
		if len(*h) > 0 {
			heads = insertSorted(heads, (*h)[0])
		}
	}
	return decided
}

// insertSorted inserts a call into a sorted list.
func insertSorted(heads []*Call, c *Call) []*Call {
	i := sort.Search(len(heads), func(i int) bool { return c.before(heads[i]) })
	return slices.Insert(heads, i, c)
}

// Cancel removes a waiting call.
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
	heap.Remove(&s.targetQueue(c).waiting[c.class], c.heapIndex)
}

// FirstToken records the first token of a granted call.
func (s *State) FirstToken(now time.Time, c *Call) {
	if c.status != statusGranted || c.gotFirstToken {
		return
	}
	b := c.backend
	b.recordFirstToken(c)
	b.outlier.recordSuccess()
	if b.number < 0 {
		return
	}
	took := now.Sub(c.sent)
	e := &s.view.Engines[b.number]
	ratio := took.Seconds() / (c.Choice.Estimate + estimateError).Seconds()
	b.slowness.add(min(max(ratio*c.slowness, 1), maxSlowness), sampleWeight)
	if c.class != route.ClassDeferred {
		b.adaptWindow(now, took, c.Request.Route.ExpectedBy.Sub(c.arrived), e)
	}
	s.updateOwn(now, b.number)
}

// Release records the end of a granted call.
func (s *State) Release(now time.Time, c *Call, o Outcome) {
	if c.status != statusGranted {
		return
	}
	c.status, c.ended = statusEnded, now
	b := c.backend
	b.recordEnd(c)
	switch o {
	case OutcomeAnswered:
		b.outlier.recordSuccess()
		b.serviceTime.add(now.Sub(c.sent).Seconds(), sampleWeight)
	case OutcomeFailed:
		s.recordFailure(now, b)
	}
	s.updateOwn(now, b.number)
}

// recordFailure records a failure of an engine, and ejects the engine after enough
// failures unless too many engines are ejected.
func (s *State) recordFailure(now time.Time, b *backend) {
	if !b.outlier.recordFailure(now) || b.number < 0 {
		return
	}
	ejected := 0
	for _, other := range s.byNumber {
		if other.outlier.ejected(now) {
			ejected++
		}
	}
	if mayEject(ejected, len(s.byNumber)) {
		b.outlier.eject(now)
	}
}

// findStalled counts stalled calls as failures of their engines, unless most other
// engines of the model have stalled calls too. It also updates engines that are ejected
// or whose ejection has ended.
func (s *State) findStalled(now time.Time) {
	stalled := make([]bool, len(s.byNumber))
	for i, b := range s.byNumber {
		stalled[i] = b.stalled(now)
	}
	for i, b := range s.byNumber {
		if stalled[i] {
			s.countStalled(now, b, stalled)
		}
		if s.own[i].Ejected || b.outlier.ejections > 0 {
			s.updateOwn(now, i)
		}
	}
}

// countStalled counts each stalled call of an engine as a failure, once per call.
func (s *State) countStalled(now time.Time, b *backend, stalled []bool) {
	for _, c := range b.inFlight {
		if c.stallCounted || !c.stalled(now) {
			continue
		}
		if s.othersStalled(c, stalled) {
			return
		}
		c.stallCounted = true
		s.recordFailure(now, b)
	}
}

// othersStalled reports whether more than half of the other engines that can answer a
// call have stalled calls too, which indicates that the call's engine is not at fault.
func (s *State) othersStalled(c *Call, stalled []bool) bool {
	s.holders = s.view.AppendHolders(&c.Request.Route, s.holders[:0])
	others, slow := 0, 0
	for _, n := range s.holders {
		if n == c.backend.number {
			continue
		}
		others++
		slow += boolToInt(stalled[n])
	}
	return 2*slow > others
}

// Ejected returns the VMs of the ejected engines, in the order of the view.
func (s *State) Ejected(now time.Time) []string {
	var vms []string
	for _, b := range s.byNumber {
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
	queued := make(map[target]int, len(s.queues))
	for t, q := range s.queues {
		queued[t] = q.len()
	}
	return s.demand.list(now, queued)
}
