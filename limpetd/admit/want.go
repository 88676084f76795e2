package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// slotOf returns the slot that a call asks for.
func slotOf(c *Call) envdoc.Slot {
	r := &c.Request.Route
	return envdoc.Slot{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}

// want notes that engines of other data centres are looked for, unless one of
// the own data centre has room in time, or the call is deferred and may wait for
// an engine that is known.
func (s *State) want(now time.Time, c *Call, choice route.Choice, verdict route.Verdict) {
	near := verdict == route.VerdictChosen && choice.DataCentre == s.view.DataCentre
	if near && c.Request.Route.Safe(choice.Estimate, now) {
		return
	}
	if verdict != route.VerdictNone && s.allowed(now, c) == route.ClassDeferred {
		return
	}
	s.wanted[slotOf(c)] = true
}

// Wanted returns the slots that calls found no room for in the own data centre
// since the last call of Wanted.
func (s *State) Wanted() []envdoc.Slot {
	var slots []envdoc.Slot
	for slot := range s.wanted {
		slots = append(slots, slot)
	}
	clear(s.wanted)
	return slots
}

// SetSought takes the slots for which other data centres have been asked and an
// answer is awaited. Calls for them wait, up to their expectation.
func (s *State) SetSought(slots map[envdoc.Slot]bool) {
	s.sought = slots
}
