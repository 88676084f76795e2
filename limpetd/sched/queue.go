package sched

import (
	"slices"
	"time"
)

// Waiter is a call that waits for a server.
type Waiter struct {
	Call *Call
	// Until is when the call is refused.
	Until time.Time
}

// expectationShare is the part of the expectation after which a call that waits can no
// longer be answered in time.
const expectationShare = 0.85

// leastWait is how long a call waits for room though its answer will be late: half of the
// silence after which callers give up, so that the answer can still begin.
const leastWait = 1100 * time.Millisecond

// Late tells whether a call can no longer be answered within its expectation.
func Late(c *Call, now time.Time) bool {
	return now.Sub(c.Arrived) > time.Duration(expectationShare*float64(c.Route.Expectation))
}

// Order sorts waiters in the order in which they get servers: calls that can still be
// answered in time first, the more urgent first, then those that came first.
//
// It answers a burst: calls that are late already wait, so that they don't make the
// next ones late too.
func Order(list []*Waiter, now time.Time) {
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		if la, lb := Late(a.Call, now), Late(b.Call, now); la != lb {
			if lb {
				return -1
			}
			return 1
		}
		if a.Call.Route.Priority != b.Call.Route.Priority {
			return a.Call.Route.Priority - b.Call.Route.Priority
		}
		return a.Call.Arrived.Compare(b.Call.Arrived)
	})
}

// WaitUntil returns until when a call waits for room at an engine: as long as it can be
// answered in time, and a little longer behind those that can. After that its caller is
// told to return instead, while it has time to.
func WaitUntil(c *Call) time.Time {
	until := c.Arrived.Add(max(time.Duration(expectationShare*float64(c.Route.Expectation)), leastWait))
	if most := HoldUntil(c); most.Before(until) {
		return most
	}
	return until
}
