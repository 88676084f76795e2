package sched

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// adapterLoad is the usual time until an adapter that was asked for can be
	// used: an order and a load of some ten milliseconds, and word of it.
	adapterLoad = 150 * time.Millisecond
	// orderDelay is the usual time until an order for a model is sent.
	orderDelay = 300 * time.Millisecond
	// holdMargin is kept of the time after which a caller gives up, for the
	// answer to begin.
	holdMargin = 400 * time.Millisecond
)

// LoadTime returns how long it takes until a model or adapter that no engine holds
// can be used, at the engine that has the nearest copy.
func (b *Book) LoadTime(c *Call, s *layout.Service) time.Duration {
	if s == nil || s.Engines == nil {
		return returnMost
	}
	model := s.Engines.Model(c.Model)
	if model == nil {
		return returnMost
	}
	best := model.StoreLoad
	for _, e := range b.service[c.Service] {
		if _, ok := e.entry.Models[c.Model]; ok && c.Adapter != "" {
			return adapterLoad
		}
		if slices.Contains(e.entry.InMemory, c.Model) {
			best = min(best, model.MemoryLoad)
		} else if slices.Contains(e.entry.OnDisk, c.Model) {
			best = min(best, model.DiskLoad)
		}
	}
	return best + orderDelay
}

// HoldUntil returns until when a call may be held before it is sent.
func HoldUntil(c *Call) time.Time {
	until, since := c.Until, c.Arrived
	if c.Resumes() {
		since = c.Passed
	}
	if give := c.Route.Abandon; give > 0 && since.Add(give).Before(until) {
		until = since.Add(give)
	}
	return until.Add(-holdMargin)
}

// Hold tells whether a call is held while its model is loaded. It answers a load in
// which rare models are asked for: a caller that would give up before the load ends
// is told at once when to return instead.
func Hold(c *Call, expected time.Duration, now time.Time) bool {
	return now.Add(expected).Before(HoldUntil(c))
}
