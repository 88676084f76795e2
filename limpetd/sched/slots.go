package sched

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// The lease holder reserves the slots of plain servers if there are more daemons than slots of the service, and more
	// than minSharingDaemons: a few daemons know the load of the servers well enough from their own calls.
	minSharingDaemons = 10
	// initialServiceTime is the service time of a call that is assumed before one was measured. The service time is
	// the time from the send to the answer.
	initialServiceTime = 60 * time.Millisecond
	// maxServiceTime bounds a service time, and with it the time for which the slot of a lost call counts as used.
	maxServiceTime = 2 * time.Second
	// serviceTimeWeight is the weight of the newest of the service times of a service.
	serviceTimeWeight = 0.02
	// busyPenalty is the part of a service time by which a server whose slots are all in use ranks behind an idle one:
	// at the same expected finish, the less used server leaves more room for wrong estimates.
	busyPenalty = 0.3
	// usualCalls is the number of calls per slot up to which the calls that daemons report at a server are no sign of
	// trouble: some of them are under way, and the reports are a quarter of a second old.
	usualCalls = 3
	// lateStart is how long a call that is already late may wait for a slot. A longer wait would delay calls that can
	// still be on time.
	lateStart = 10 * time.Millisecond
	// rejectedShare is the part of a server's service time for which no slot counts as free after the server has rejected
	// a call.
	rejectedShare = 0.3
	// marginUp is added to the margin of a server for each call that it rejects, marginDown is subtracted for each that it
	// answers: the margin is stable if a server rejects one call in ten. Servers that let calls wait get the next one
	// before the last one is expected to end. Their service times then include the wait, which keeps it short.
	marginUp   = 0.01
	marginDown = 0.001
	minMargin  = -0.1
	maxMargin  = 0.1
)

// slotPlan holds the slots of a plain server as the lease holder has granted them.
type slotPlan struct {
	// freeAt is when each slot is expected to be free.
	freeAt []time.Time
	// margin is the part by which a slot counts as used for longer than the service time; negative if for less.
	margin float64
}

// plainSlots is what the lease holder knows about a plain service.
type plainSlots struct {
	// mean is the smoothed service time of a server of the usual pace, in nanoseconds, of a number of samples.
	mean  float64
	count int
	// returnAt is when the last refused caller was told to return.
	returnAt time.Time
}

// slotsOf returns the number of slots of a server, known of its last report or its entry; 0 if neither states it.
func slotsOf(s *server) int {
	if s.reported.Slots > 0 {
		return s.reported.Slots
	}
	return max(s.entry.Slots, 0)
}

// SharesSlots reports whether the lease holder reserves the slots of a plain service: whether its servers report slots
// and there are more daemons than slots. Each daemon then gets so few answers that it does not know which slots are free.
// Services with brittle servers or limits of requests have their own rules.
func (b *Balancer) SharesSlots(service string) bool {
	if !b.settings.ReserveSlots || b.daemons <= minSharingDaemons {
		return false
	}
	total, known, servers, reports := 0, 0, 0, false
	for _, s := range b.byService[service] {
		if s.entry.State != layout.Ready {
			continue
		}
		if s.limit.active() || len(s.entry.Models) > 0 {
			return false
		}
		servers++
		if n := slotsOf(s); n > 0 {
			total += n
			known++
		}
		reports = reports || s.reported.Slots > 0
	}
	if !reports || b.daemons*known <= total*servers {
		return false
	}
	return !b.HasBrittle(service)
}

// SlotsFull returns the choice for a call for which the lease holder has found no slot in time. delay is the time
// until there is room, which differs between callers.
func (b *Balancer) SlotsFull(c *Call, delay time.Duration, now time.Time) Choice {
	return Choice{Verdict: Full, RetryAfter: max(min(delay, c.Deadline.Sub(now)/2), minRetryAfter)}
}

// slotWait returns how long after now a call to a plain server may wait for its slot and its answer: until it would be
// late or, without an expectation, for half of its time.
func slotWait(c *Call, within time.Duration, now time.Time) time.Duration {
	if c.Model == "" && c.Route.Expectation <= 0 {
		return c.Deadline.Sub(now) / 2
	}
	return within
}

// reserveSlot grants a call the slot of a plain server with which it is expected to be answered first. If all slots are
// in use, the call waits for the first one that becomes free, unless it would then be late. A refused caller is told
// when there will be room: the refused callers return one after the other, as fast as the servers answer.
func (b *Balancer) reserveSlot(a *ReservationRequest, list []*server, now time.Time) Reservation {
	var best *server
	var bestStart time.Time
	var bestTook time.Duration
	var bestScore float64
	slots, prefersNear := 0, b.prefersNear(a.Service, a.DataCentre)
	for _, s := range list {
		took, pace := b.serverTime(s, now)
		start, busy := now, 0
		freeAt := b.plan(s, took, now)
		slots += len(freeAt)
		first := freeAt[0]
		for _, at := range freeAt {
			if at.After(now) {
				busy++
			}
			if at.Before(first) {
				first = at
			}
		}
		if first.After(start) {
			start = first
		}
		start = start.Add(b.backlog(s, len(freeAt), took, now))
		score := float64(start.Sub(now)) + float64(took)*(1+busyPenalty*float64(busy)/float64(len(freeAt))+failurePenalty*s.failureRate)
		if prefersNear && !s.isNear(a, start.Sub(now)+took, a.MaxStartDelay) {
			score += float64(crossPenalty)
		}
		if b.mayTry(s, a, pace, now) && start.Sub(now)+took <= a.MaxStartDelay {
			score = 0
		}
		if best == nil || score < bestScore {
			best, bestStart, bestTook, bestScore = s, start, took, score
		}
	}
	wait := bestStart.Sub(now)
	if latest := max(a.MaxStartDelay-bestTook, lateStart); wait > latest {
		return Reservation{Verdict: Full, Delay: b.returnDelay(a.Service, wait-latest, bestTook/time.Duration(slots), now)}
	}
	best.slots.take(bestStart, bestTook)
	best.grantedAt = now
	return Reservation{Verdict: Chosen, Server: best.entry.ID, Delay: wait, Exclusive: true}
}

// backlog returns how long a call would wait behind the calls that daemons have reported beyond what the slots explain.
// They pile up at a server that does not answer, which reports no service times.
func (b *Balancer) backlog(s *server, slots int, took time.Duration, now time.Time) time.Duration {
	if now.Sub(b.sharedAt) >= sharedMaxAge {
		return 0
	}
	return time.Duration(max(b.inFlight(s, now)/float64(slots)-usualCalls, 0) * float64(took))
}

// take uses the slot that is free first.
func (p *slotPlan) take(start time.Time, took time.Duration) {
	first := 0
	for i, at := range p.freeAt {
		if at.Before(p.freeAt[first]) {
			first = i
		}
	}
	p.freeAt[first] = start.Add(time.Duration(float64(took) * (1 + p.margin)))
}

// plan returns the times at which the slots of a server are expected to be free. A new lease holder takes the calls
// that all daemons have reported as granted, so that it doesn't grant their slots again.
func (b *Balancer) plan(s *server, took time.Duration, now time.Time) []time.Time {
	n := slotsOf(s)
	if n == 0 {
		n = b.usualSlots(s.entry.Service)
	}
	if s.slots == nil {
		s.slots = &slotPlan{}
		if now.Sub(b.sharedAt) < sharedMaxAge {
			for i := range min(s.others.Calls, n) {
				s.slots.freeAt = append(s.slots.freeAt, now.Add(took*time.Duration(i+1)/time.Duration(n+1)))
			}
		}
	}
	for len(s.slots.freeAt) < n {
		s.slots.freeAt = append(s.slots.freeAt, time.Time{})
	}
	s.slots.freeAt = s.slots.freeAt[:n]
	return s.slots.freeAt
}

// usualSlots returns the lowest number of slots that a server of a service states, at least 1.
func (b *Balancer) usualSlots(service string) int {
	lowest := 0
	for _, s := range b.byService[service] {
		if n := slotsOf(s); n > 0 && (lowest == 0 || n < lowest) {
			lowest = n
		}
	}
	return max(lowest, 1)
}

// returnDelay returns when the next refused caller of a service returns: after the others that were refused before, at
// the rate at which slots become free, and within maxRetryAfter.
func (b *Balancer) returnDelay(service string, delay, spacing time.Duration, now time.Time) time.Duration {
	p := b.plain(service)
	at := now.Add(delay)
	if p.returnAt.After(at) {
		at = p.returnAt
	}
	p.returnAt = at.Add(spacing)
	if latest := now.Add(maxRetryAfter); p.returnAt.After(latest) {
		p.returnAt = now.Add(delay)
	}
	return at.Sub(now)
}

// plain returns what is known about a plain service.
func (b *Balancer) plain(service string) *plainSlots {
	p := b.plainSlots[service]
	if p == nil {
		p = &plainSlots{}
		b.plainSlots[service] = p
	}
	return p
}

// serverTime returns the expected service time of a server, and its pace.
func (b *Balancer) serverTime(s *server, now time.Time) (time.Duration, float64) {
	p, pace := b.plain(s.entry.Service), s.pace.at(now)
	if p.count == 0 {
		return time.Duration(float64(initialServiceTime) * pace), pace
	}
	return time.Duration(p.mean * pace), pace
}

// recordPlain records the service time of a call to a plain server that the lease holder has granted or, without a
// time, that the server has rejected the call: it then has no free slot.
func (b *Balancer) recordPlain(sample Sample, now time.Time) {
	s := b.servers[sample.Server]
	if s == nil || s.entry.Service != sample.Service || sample.Took < 0 {
		return
	}
	b.reportPace(s, sample.Pace, now)
	if sample.Took > 0 {
		p, took := b.plain(sample.Service), float64(min(sample.Took, maxServiceTime))
		if p.count > 0 {
			s.pace.add(took/p.mean/s.pace.reported(now), now)
		}
		p.count++
		p.mean += max(serviceTimeWeight, 1/float64(p.count)) * (took/b.notePace(s, now) - p.mean)
		if s.slots != nil {
			s.slots.margin = max(s.slots.margin-marginDown, minMargin)
		}
		return
	}
	s.pace.recordRejection()
	took, _ := b.serverTime(s, now)
	until := now.Add(time.Duration(rejectedShare * float64(took)))
	for i, at := range b.plan(s, took, now) {
		if at.Before(until) {
			s.slots.freeAt[i] = until
		}
	}
	s.slots.margin = min(s.slots.margin+marginUp, maxMargin)
}
