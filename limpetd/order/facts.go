package order

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// facts gathers what the plan depends on, with the rows as drafted.
func (l *loop) facts(d *draft, now time.Time) place.Facts {
	f := place.Facts{
		Now:        now,
		Document:   l.document,
		DataCentre: l.duty.config.DataCentre,
		Demand:     l.duty.deps.Demand.Demand(),
		Saturated:  l.models >= l.shares.limits.AtOnce,
	}
	for _, v := range l.vms {
		if v.Kind == store.KindEngine && v.DataCentre == f.DataCentre {
			f.Engines = append(f.Engines, l.engineFacts(d, v, now))
		}
	}
	f.Remotes = l.remotes(now)
	return f
}

// engineFacts returns what placement knows of an engine.
func (l *loop) engineFacts(d *draft, v store.VM, now time.Time) place.Engine {
	k := l.known[v.ID]
	row, ok := d.row(v.ID)
	e := place.Engine{
		VM:              v.ID,
		Pool:            v.Pool,
		MemoryMB:        k.memoryMB(),
		Usable:          ok && k.usable(now) && k.serves(now) && v.State == store.StateLive && !k.report.Leaving,
		TokensPerSecond: k.tokens,
		Load:            k.load(),
	}
	for _, c := range row.Charges {
		e.Slots = append(e.Slots, place.Slot{
			Slot: c.Slot, MemoryMB: c.MemoryMB, State: l.state(k, c, now), Since: time.UnixMilli(c.At),
		})
	}
	for key, until := range l.refuses {
		if key.engine == v.ID && now.Before(until) {
			e.Refuses = append(e.Refuses, key.slot.Model)
		}
	}
	slices.Sort(e.Refuses)
	return e
}

// state returns the state of a charged slot.
func (l *loop) state(k *knowledge, c ledger.Charge, now time.Time) place.State {
	switch {
	case c.Phase == ledger.PhaseUnloading:
		return place.Unloading
	case k.resident(c.Slot, now):
		return place.Resident
	case l.attempt(slotKey{k.vm.ID, c.Slot}).refusals >= refusedLimit:
		return place.Refused
	}
	return place.Loading
}

// unfinished tells whether a row waits for orders.
func (l *loop) unfinished(r ledger.Row, now time.Time) bool {
	k := l.known[r.Engine]
	if k == nil {
		return false
	}
	return slices.ContainsFunc(r.Charges, func(c ledger.Charge) bool {
		return c.Phase == ledger.PhaseUnloading || !k.resident(c.Slot, now)
	})
}
