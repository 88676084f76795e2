package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

const (
	// minWait is the time that a call may wait even when its expectation is too
	// short for its prompt.
	minWait = 250 * time.Millisecond
	// defaultFirstToken is the expectation of a call that has none.
	defaultFirstToken = 30 * time.Second
)

// classify sets the class of a call and its times.
func (s *State) classify(c *Call) {
	r := &c.Request.Route
	span, deferred := s.deferred[c.Request.Priority]
	switch {
	case deferred:
		c.class = route.ClassDeferred
		end := c.Request.Deadline
		if end.IsZero() {
			end = c.arrived.Add(span)
		}
		c.due, c.latest = end.Add(-riseTime(end.Sub(c.arrived))), end
		return
	case r.Rank == 0:
		c.class = route.ClassUrgent
	default:
		c.class = route.ClassNormal
	}
	c.due = r.Expected
	if c.due.IsZero() {
		c.due = c.arrived.Add(defaultFirstToken)
	}
	c.latest = c.due.Add(-s.shortest(r))
	if least := c.arrived.Add(minWait); c.latest.Before(least) {
		c.latest = least
	}
}

const (
	// risePart is the part of a deferred call's time before its deadline in
	// which it may use the room of normal calls; maxRise bounds it.
	risePart = 0.25
	maxRise  = 30 * time.Minute
	// pressPart is the part in which it goes before normal calls; maxPress
	// bounds it.
	pressPart = 0.05
	maxPress  = 5 * time.Minute
)

// riseTime returns how long before its deadline a deferred call rises.
func riseTime(span time.Duration) time.Duration {
	return min(max(time.Duration(risePart*float64(span)), 0), maxRise)
}

// pressTime returns how long before its deadline a deferred call presses.
func pressTime(span time.Duration) time.Duration {
	return min(max(time.Duration(pressPart*float64(span)), 0), maxPress)
}

// always passes each call.
func always(time.Time, *Call) bool { return true }

// pressing passes the deferred calls that go before normal ones, lest they miss
// their deadline.
func pressing(now time.Time, c *Call) bool {
	return now.After(c.latest.Add(-pressTime(c.latest.Sub(c.arrived))))
}
