package sched

import "time"

// maxRetryShare is the part of the time left to its caller that a retry delay may take: callers do not honour longer
// delays.
const maxRetryShare = 1.0 / 3

// minReturn is the least time after which a caller that is refused under a shortage is told to return.
const minReturn = demandWindow

// capacityIn estimates when a model has capacity for a refused call: when an engine's backlog has fallen to maxWait or,
// under a shortage, when the demand beyond what is granted is worked off. It returns 0 if calls are not ordered by value.
func (d *demand) capacityIn(wait, maxWait time.Duration) time.Duration {
	if !d.ordered {
		return 0
	}
	at := wait - maxWait
	if !d.isShort() || d.granted <= 0 {
		return at
	}
	asked := 0.0
	for _, w := range d.asked {
		asked += w
	}
	// A shortage lasts for seconds. Callers that return earlier are late already, and are refused again.
	at = max(at, minReturn)
	if excess := asked/d.granted - 1; excess > 0 {
		at = max(at, time.Duration(min(excess*float64(demandWindow), float64(maxRetryAfter))))
	}
	return min(at, maxRetryAfter)
}

// ChoiceWhenRefused returns the choice for a call for which the lease holder found no engine, with the time to return
// that it estimated.
func (b *Balancer) ChoiceWhenRefused(g Reservation, c *Call, now time.Time) Choice {
	if g.CapacityIn <= 0 {
		// The lease holder is of a build without estimates.
		return b.ChoiceWhenFull(c, now)
	}
	return Choice{Verdict: Full, RetryAfter: b.jitter(g.CapacityIn, c, now)}
}

// HasCapacityInTime reports whether the lease holder expects capacity for a call that found none before the call would be
// late. Such a call waits even if this daemon sends few calls to the model, as each of many daemons does.
func HasCapacityInTime(g Reservation, c *Call, now time.Time) bool {
	return g.CapacityIn > 0 && now.Add(g.CapacityIn).Before(c.Arrived.Add(onTimeLimit(c)))
}
