package sched

import (
	"math"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Waiter is a call that waits for a server.
type Waiter struct {
	Call *Call
	// Until is when the call is refused if it got no server by then.
	Until time.Time
}

// expectationShare is the part of the route's expectation after which a waiting call can
// no longer be answered in time.
const expectationShare = 0.85

// minWait is how long a call waits for room even if its answer will be late: about half of
// the silence after which callers give up, so that the answer can still begin.
const minWait = 1100 * time.Millisecond

// onTimeLimit returns how long after its arrival a call can still be sent and be answered
// in time.
func onTimeLimit(c *Call) time.Duration {
	return time.Duration(expectationShare * float64(c.Route.Expectation))
}

// Late reports whether a call can no longer be answered within its route's expectation.
func Late(c *Call, now time.Time) bool {
	return now.Sub(c.Arrived) > onTimeLimit(c)
}

// SortWaiters sorts waiters in the order in which they get servers: calls that continue an answer before the others, calls
// that can still be answered in time before late ones, calls whose objective leaves little time before those that can
// wait, then by priority, then by the time at which their objective ends.
//
// In a burst, calls that are already late wait behind the others, so that they don't make
// the others late too.
func SortWaiters(list []*Waiter, now time.Time) {
	slices.SortStableFunc(list, func(a, b *Waiter) int { return before(a.Call, b.Call, now) })
}

// WaitUntil returns until when a call waits for room at an engine: as long as it can be
// answered in time, and at least for minWait, behind calls that can. After that the call
// is refused with a time to return, while its caller still has time to do so. A stream
// that has begun waits until its caller gives up.
func WaitUntil(c *Call) time.Time {
	if c.Resumes() {
		return HoldUntil(c)
	}
	until := c.Arrived.Add(max(onTimeLimit(c), minWait))
	if latest := HoldUntil(c); latest.Before(until) {
		return latest
	}
	return until
}

// WaitsForReservation reports whether a call waits if no engine has time for the call. A
// call with the shortest expectation of its service does not: engines prefill other prompts
// for longer than the call could wait, and calls that arrive meanwhile reserve the engines'
// time first.
//
// Under lasting overload such callers are refused immediately with a time to return,
// rather than after a wait without a result.
func WaitsForReservation(c *Call, d Requirements) bool {
	return c.Resumes() || c.Route.Expectation > d.ShortestExpectation
}

// sendRateWindow is the time constant of the rate at which a daemon sends calls to a model.
const sendRateWindow = time.Second

// sendRate is the exponentially decaying rate of calls sent to a model, in calls per second.
type sendRate struct {
	rate float64
	at   time.Time
}

// current returns the rate, decayed to now.
func (s *sendRate) current(now time.Time) float64 {
	return s.rate * math.Exp(-now.Sub(s.at).Seconds()/sendRateWindow.Seconds())
}

// recordSend adds a call to the send rate of its model.
func (b *Balancer) recordSend(c *Call, now time.Time) {
	key := c.Service + "/" + c.Model
	s := b.sendRate[key]
	if s == nil {
		s = &sendRate{}
		b.sendRate[key] = s
	}
	s.rate = s.current(now) + 1/sendRateWindow.Seconds()
	s.at = now
}

// WorthWaiting reports whether a call should wait for room behind a number of other calls
// of its model: whether its turn comes before it is refused. It assumes the rate at which
// this daemon sends calls now or, if that is higher, this daemon's part of the rate at
// which the engines can prefill prompts.
//
// Under lasting overload, callers that would wait without a result are refused immediately with
// a time to return.
func (b *Balancer) WorthWaiting(c *Call, ahead int, now time.Time) bool {
	rate := 0.0
	if s := b.sendRate[c.Service+"/"+c.Model]; s != nil {
		rate = s.current(now)
	}
	engines := 0
	for _, s := range b.byService[c.Service] {
		if s.entry.State == layout.Ready && b.HoldsModel(s.entry, c.Model, c.Adapter) {
			engines++
		}
	}
	if b.timePerPending > 0 {
		rate = max(rate, float64(engines)/b.timePerPending.Seconds()/float64(b.daemons))
	}
	return rate*WaitUntil(c).Sub(now).Seconds() >= float64(ahead+1)
}
