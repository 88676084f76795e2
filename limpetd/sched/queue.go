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
	// Until is when the call is refused.
	Until time.Time
}

// expectationShare is the part of the expectation after which a call that waits can no
// longer be answered in time.
const expectationShare = 0.85

// leastWait is how long a call waits for room though its answer will be late: half of the
// silence after which callers give up, so that the answer can still begin.
const leastWait = 1100 * time.Millisecond

// inTime is how long after its arrival a call can still be answered in time.
func inTime(c *Call) time.Duration {
	return time.Duration(expectationShare * float64(c.Route.Expectation))
}

// Late tells whether a call can no longer be answered within its expectation.
func Late(c *Call, now time.Time) bool {
	return now.Sub(c.Arrived) > inTime(c)
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
// told to return instead, while it has time to. A stream that was begun waits as long as its
// caller does.
func WaitUntil(c *Call) time.Time {
	if c.Resumes() {
		return HoldUntil(c)
	}
	until := c.Arrived.Add(max(inTime(c), leastWait))
	if most := HoldUntil(c); most.Before(until) {
		return most
	}
	return until
}

// Patient tells whether a call for which no engine has time waits until one has. One with
// the tightest expectation of its service does not: engines read prompts for longer than it
// could wait, and calls that come later do not let it in before it is late.
//
// It answers a load that lasts: callers are told at once when to return, rather than after
// they waited in vain.
func Patient(c *Call, d Demands) bool { return c.Resumes() || c.Route.Expectation > d.Tightest }

// sendWindow is the time constant of the rate at which a daemon sends calls to a model.
const sendWindow = time.Second

// sends is the smoothed rate of calls sent to a model.
type sends struct {
	rate float64
	at   time.Time
}

func (s *sends) current(now time.Time) float64 {
	return s.rate * math.Exp(-now.Sub(s.at).Seconds()/sendWindow.Seconds())
}

// dispatched notes a call that was sent to a model.
func (b *Book) dispatched(c *Call, now time.Time) {
	key := c.Service + "/" + c.Model
	s := b.sends[key]
	if s == nil {
		s = &sends{}
		b.sends[key] = s
	}
	s.rate = s.current(now) + 1/sendWindow.Seconds()
	s.at = now
}

// Worth tells whether a call should wait for room behind a number of others of its model:
// if at the rate at which calls are sent now its turn comes before it would be refused.
// Engines that all daemons together keep busy give each of them a part of their prompts.
//
// It answers a load that lasts, beyond what the engines can do: callers that would wait in
// vain are told at once when to return.
func (b *Book) Worth(c *Call, ahead int, now time.Time) bool {
	rate := 0.0
	if s := b.sends[c.Service+"/"+c.Model]; s != nil {
		rate = s.current(now)
	}
	engines := 0
	for _, s := range b.service[c.Service] {
		if s.entry.State == layout.Ready && b.Holds(s.entry, c.Model, c.Adapter) {
			engines++
		}
	}
	if b.prefill > 0 {
		rate = max(rate, float64(engines)/b.prefill.Seconds()/float64(b.daemons))
	}
	return rate*WaitUntil(c).Sub(now).Seconds() >= float64(ahead+1)
}
