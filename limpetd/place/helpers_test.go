package place

import (
	"fmt"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// applyPlan applies the moves of a plan at once.
func applyPlan(f *Input, plan Plan) {
	for _, m := range plan.Moves {
		i := slices.IndexFunc(f.Engines, func(e Engine) bool { return e.VM == m.Engine })
		e := &f.Engines[i]
		if m.Kind == Load {
			e.Slots = append(e.Slots, ChargedSlot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: Resident, ChargedAt: f.Now})
			continue
		}
		e.Slots = slices.DeleteFunc(e.Slots, func(s ChargedSlot) bool { return s.Slot == m.Slot })
	}
}

// startPlan starts the moves of a plan: the slots are loading, or unloading and still
// charged.
func startPlan(f *Input, plan Plan) {
	for _, m := range plan.Moves {
		i := slices.IndexFunc(f.Engines, func(e Engine) bool { return e.VM == m.Engine })
		e := &f.Engines[i]
		if m.Kind == Load {
			e.Slots = append(e.Slots, ChargedSlot{Slot: m.Slot, MemoryMB: m.MemoryMB, ChargedAt: f.Now})
			continue
		}
		for j := range e.Slots {
			if e.Slots[j].Slot == m.Slot {
				e.Slots[j].State = Unloading
			}
		}
	}
}

// finishMoves finishes the started moves on an engine.
func finishMoves(e *Engine) {
	e.Slots = slices.DeleteFunc(e.Slots, func(s ChargedSlot) bool { return s.State == Unloading })
	for j := range e.Slots {
		e.Slots[j].State = Resident
	}
}

// overcommitted describes the first engine whose charges exceed its memory, or returns
// an empty string.
func overcommitted(f Input) string {
	for _, e := range f.Engines {
		sum := int64(0)
		for _, s := range e.Slots {
			sum += s.MemoryMB
		}
		if sum > e.MemoryMB {
			return fmt.Sprintf("%s charges %d of %d MB", e.VM, sum, e.MemoryMB)
		}
	}
	return ""
}

// reachable reports whether a model is resident in any version on a usable engine.
func reachable(f Input, model string) bool {
	for _, e := range f.Engines {
		for _, s := range e.Slots {
			if e.Usable && s.Slot.Model == model && s.Slot.Adapter == "" && s.State == Resident {
				return true
			}
		}
	}
	return false
}

// resident returns the number of engines on which a slot is resident.
func resident(f Input, slot envdoc.Slot) int {
	n := 0
	for _, e := range f.Engines {
		for _, s := range e.Slots {
			if s.Slot == slot && s.State == Resident {
				n++
			}
		}
	}
	return n
}
