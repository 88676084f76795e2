package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// slotOf returns the slot that a call requests.
func slotOf(c *Call) envdoc.Slot {
	r := &c.Request.Route
	return envdoc.Slot{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}

// recordWanted records that the state wants engines of other data centres for a call,
// given the result of route.Choose. Such engines are not wanted if an engine of this
// data centre has room in time, or if the call is deferred and can wait for a known
// engine.
func (s *State) recordWanted(now time.Time, c *Call, choice route.Choice, verdict route.Verdict) {
	near := verdict == route.VerdictChosen && choice.DataCentre == s.view.DataCentre
	if near && c.Request.Route.LeavesMargin(choice.Estimate, now) {
		return
	}
	if verdict != route.VerdictNone && s.effectiveClass(now, c) == route.ClassDeferred {
		return
	}
	s.wanted[slotOf(c)] = true
}

// WantedSlots returns the slots for which calls found no room in this data centre since the
// last call of WantedSlots.
func (s *State) WantedSlots() []envdoc.Slot {
	var slots []envdoc.Slot
	for slot := range s.wanted {
		slots = append(slots, slot)
	}
	clear(s.wanted)
	return slots
}

// SetPendingSlots sets the slots for which other data centres were asked and the answer is
// pending. Calls for these slots wait as long as their expected time allows.
func (s *State) SetPendingSlots(slots map[envdoc.Slot]bool) {
	s.pendingSlots = slots
}
