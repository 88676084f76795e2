package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// minWait is the time that a call may wait even when its prompt takes longer
	// than the expected time to the first token.
	minWait = 250 * time.Millisecond
	// defaultFirstToken is the expected time to the first token of a call that
	// does not set one.
	defaultFirstToken = 30 * time.Second
)

// classify sets the class, due and shedAfter of a call.
func (s *State) classify(c *Call) {
	r := &c.Request.Route
	timeout, deferred := s.deferred[c.Request.Priority]
	switch {
	case deferred:
		c.class = route.ClassDeferred
		end := c.Request.Deadline
		if end.IsZero() {
			end = c.arrived.Add(timeout)
		}
		c.due, c.shedAfter = end.Add(-promoteTime(end.Sub(c.arrived))), end
		return
	case r.Rank == 0:
		c.class = route.ClassUrgent
	default:
		c.class = route.ClassNormal
	}
	c.due = r.ExpectedBy
	if c.due.IsZero() {
		c.due = c.arrived.Add(defaultFirstToken)
	}
	c.shedAfter = c.due.Add(-s.minFirstTokenTime(r))
	if least := c.arrived.Add(minWait); c.shedAfter.Before(least) {
		c.shedAfter = least
	}
}

const (
	// promoteFraction is the last fraction of the time between a deferred call's
	// arrival and deadline. In this time, at most maxPromoteTime, the call may use
	// the room of normal calls.
	promoteFraction = 0.25
	maxPromoteTime  = 30 * time.Minute
	// precedeFraction is the last fraction of the same time in which the call is
	// also tried before normal calls, at most maxPrecedeTime.
	precedeFraction = 0.05
	maxPrecedeTime  = 5 * time.Minute
)

// promoteTime returns how long before its deadline a deferred call may use the room
// of normal calls. total is the time from its arrival to its deadline.
func promoteTime(total time.Duration) time.Duration {
	return min(max(time.Duration(promoteFraction*float64(total)), 0), maxPromoteTime)
}

// precedeTime returns how long before its deadline a deferred call is tried before
// normal calls. total is the time from its arrival to its deadline.
func precedeTime(total time.Duration) time.Duration {
	return min(max(time.Duration(precedeFraction*float64(total)), 0), maxPrecedeTime)
}

// always makes every call eligible in stepClass.
func always(time.Time, *Call) bool { return true }

// precedesNormal reports whether a deferred call is so close to its deadline that it
// is tried before normal calls, in order not to miss the deadline.
func precedesNormal(now time.Time, c *Call) bool {
	return now.After(c.shedAfter.Add(-precedeTime(c.shedAfter.Sub(c.arrived))))
}
