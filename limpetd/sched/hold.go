package sched

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// adapterLoadTime is the usual time until a requested adapter can be used: an order,
	// a load of some ten milliseconds, and the report that the adapter is loaded.
	adapterLoadTime = 150 * time.Millisecond
	// orderDelay is the usual time until an order to load a model is sent.
	orderDelay = 300 * time.Millisecond
	// holdMargin is the part of the time until the caller gives up that is kept free for
	// the answer to begin.
	holdMargin = 400 * time.Millisecond
)

// LoadTime returns the expected time until the call's model or adapter, which no engine
// holds, can be used: the load time from the fastest source that an engine has, plus
// orderDelay. It returns adapterLoadTime if only the adapter must be loaded, and
// maxRetryAfter if the service does not declare the model.
func (b *Balancer) LoadTime(c *Call, s *layout.Service) time.Duration {
	if s == nil || s.Engines == nil {
		return maxRetryAfter
	}
	model := s.Engines.Model(c.Model)
	if model == nil {
		return maxRetryAfter
	}
	best := model.StoreLoad
	for _, e := range b.byService[c.Service] {
		if _, ok := e.entry.Models[c.Model]; ok && c.Adapter != "" {
			return adapterLoadTime
		}
		if slices.Contains(e.entry.InMemory, c.Model) {
			best = min(best, model.MemoryLoad)
		} else if slices.Contains(e.entry.OnDisk, c.Model) {
			best = min(best, model.DiskLoad)
		}
	}
	return best + orderDelay
}

// HoldUntil returns until when a call may be held before it is sent: until its deadline
// or until its caller gives up, whichever is earlier, less holdMargin.
func HoldUntil(c *Call) time.Time {
	until, since := c.Deadline, c.Arrived
	if !c.LastEventAt.IsZero() {
		since = c.LastEventAt
	}
	if abandon := c.Route.AbandonAfter; abandon > 0 && since.Add(abandon).Before(until) {
		until = since.Add(abandon)
	}
	return until.Add(-holdMargin)
}

// ShouldHold reports whether a call is held while its model is loaded, which matters for rarely
// used models. A call whose caller would give up before the load ends, after the time
// expected, is refused immediately, with the time to return.
func ShouldHold(c *Call, expected time.Duration, now time.Time) bool {
	return now.Add(expected).Before(HoldUntil(c))
}
