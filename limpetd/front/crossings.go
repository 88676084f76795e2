package front

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// newCrossings returns the counters of calls that are sent to another data centre, by reason.
func newCrossings(s tally.Scope) map[sched.Crossing]tally.Counter {
	return map[sched.Crossing]tally.Counter{
		sched.NoneNear:     s.Counter("crossed_none_near"),
		sched.NearUnusable: s.Counter("crossed_near_unusable"),
		sched.NearBusy:     s.Counter("crossed_near_busy"),
	}
}

// countCrossing counts a call that is sent to another data centre. The caller must hold mu.
func (f *Front) countCrossing(c *call, choice sched.Choice, now time.Time) {
	if n := f.metrics.crossings[f.balancer.Crosses(&c.schedCall, choice.Server, now)]; n != nil {
		n.Inc(1)
	}
}
