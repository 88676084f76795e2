package order

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// planInput returns the input of a plan, with the rows of the draft.
func (l *loop) planInput(d *draft, now time.Time) place.Input {
	input := place.Input{
		Now:        now,
		Document:   l.document,
		DataCentre: l.controller.config.DataCentre,
		Demand:     l.controller.deps.Demand.Demand(),
		Saturated:  l.modelLoads >= l.budget.limits.AtOnce,
	}
	for _, v := range l.vms {
		if v.Kind == store.KindEngine && v.DataCentre == input.DataCentre {
			input.Engines = append(input.Engines, l.engineInput(d, v, now))
		}
	}
	input.Remotes = l.remotes(now)
	return input
}

// engineInput returns the input of a plan for one engine.
func (l *loop) engineInput(d *draft, v store.VM, now time.Time) place.Engine {
	view := l.engines[v.ID]
	row, ok := d.row(v.ID)
	input := place.Engine{
		VM:              v.ID,
		Pool:            v.Pool,
		MemoryMB:        view.memoryMB(),
		Usable:          ok && view.usable(now) && view.servesWholeRequests(now) && v.State == store.StateLive && !view.report.Leaving,
		TokensPerSecond: view.tokensPerSecond,
		Load:            view.loadFactor(),
	}
	for _, c := range row.Charges {
		input.Slots = append(input.Slots, place.ChargedSlot{
			Slot: c.Slot, MemoryMB: c.MemoryMB, State: l.slotState(view, c, now), ChargedAt: time.UnixMilli(c.At),
		})
	}
	for key, until := range l.refusedUntil {
		if key.engine == v.ID && now.Before(until) {
			input.RefusedModels = append(input.RefusedModels, key.slot.Model)
		}
	}
	slices.Sort(input.RefusedModels)
	return input
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
