package order

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// planFacts returns the input of a plan, with the rows of the draft.
func (l *loop) planFacts(d *draft, now time.Time) place.Facts {
	facts := place.Facts{
		Now:        now,
		Document:   l.document,
		DataCentre: l.duty.config.DataCentre,
		Demand:     l.duty.deps.Demand.Demand(),
		Saturated:  l.modelLoads >= l.budget.limits.AtOnce,
	}
	for _, v := range l.vms {
		if v.Kind == store.KindEngine && v.DataCentre == facts.DataCentre {
			facts.Engines = append(facts.Engines, l.engineFacts(d, v, now))
		}
	}
	facts.Remotes = l.remotes(now)
	return facts
}

// engineFacts returns the input of a plan for one engine.
func (l *loop) engineFacts(d *draft, v store.VM, now time.Time) place.Engine {
	view := l.engines[v.ID]
	row, ok := d.row(v.ID)
	facts := place.Engine{
		VM:              v.ID,
		Pool:            v.Pool,
		MemoryMB:        view.memoryMB(),
		Usable:          ok && view.usable(now) && view.servesWholeRequests(now) && v.State == store.StateLive && !view.report.Leaving,
		TokensPerSecond: view.tokensPerSecond,
		Load:            view.loadFactor(),
	}
	for _, c := range row.Charges {
		facts.Slots = append(facts.Slots, place.Slot{
			Slot: c.Slot, MemoryMB: c.MemoryMB, State: l.slotState(view, c, now), Since: time.UnixMilli(c.At),
		})
	}
	for key, until := range l.refusedUntil {
		if key.engine == v.ID && now.Before(until) {
			facts.Refuses = append(facts.Refuses, key.slot.Model)
		}
	}
	slices.Sort(facts.Refuses)
	return facts
}

// slotState returns the state of a charged slot.
func (l *loop) slotState(e *engineView, c ledger.Charge, now time.Time) place.State {
	switch {
	case c.Phase == ledger.PhaseUnloading:
		return place.Unloading
	case e.resident(c.Slot, now):
		return place.Resident
	case l.attemptsFor(slotKey{e.vm.ID, c.Slot}).refusals >= maxRefusals:
		return place.Refused
	}
	return place.Loading
}

// hasPendingOrders reports whether a row has a charge whose load or unload has not been
// confirmed.
func (l *loop) hasPendingOrders(r ledger.Row, now time.Time) bool {
	e := l.engines[r.Engine]
	if e == nil {
		return false
	}
	return slices.ContainsFunc(r.Charges, func(c ledger.Charge) bool {
		return c.Phase == ledger.PhaseUnloading || !e.resident(c.Slot, now)
	})
}
