package place

import (
	"fmt"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// carry carries a plan out at once.
func carry(f *Facts, plan Plan) {
	for _, m := range plan.Moves {
		i := slices.IndexFunc(f.Engines, func(e Engine) bool { return e.VM == m.Engine })
		e := &f.Engines[i]
		if m.Kind == Load {
			e.Slots = append(e.Slots, Slot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: Resident, Since: f.Now})
			continue
		}
		e.Slots = slices.DeleteFunc(e.Slots, func(s Slot) bool { return s.Slot == m.Slot })
	}
}

// begin carries a plan out by halves: loads are under way, unloads are charged.
func begin(f *Facts, plan Plan) {
	for _, m := range plan.Moves {
		i := slices.IndexFunc(f.Engines, func(e Engine) bool { return e.VM == m.Engine })
		e := &f.Engines[i]
		if m.Kind == Load {
			e.Slots = append(e.Slots, Slot{Slot: m.Slot, MemoryMB: m.MemoryMB, Since: f.Now})
			continue
		}
		for j := range e.Slots {
			if e.Slots[j].Slot == m.Slot {
				e.Slots[j].State = Unloading
			}
		}
	}
}

// finish ends what begin left under way on an engine.
func finish(e *Engine) {
	e.Slots = slices.DeleteFunc(e.Slots, func(s Slot) bool { return s.State == Unloading })
	for j := range e.Slots {
		e.Slots[j].State = Resident
	}
}

// over returns the first engine whose charges exceed its memory.
func over(f Facts) string {
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

// reachable tells whether a model is resident in any version on a usable engine.
func reachable(f Facts, model string) bool {
	for _, e := range f.Engines {
		for _, s := range e.Slots {
			if e.Usable && s.Slot.Model == model && s.Slot.Adapter == "" && s.State == Resident {
				return true
			}
		}
	}
	return false
}

// resident counts the engines that hold a slot.
func resident(f Facts, slot envdoc.Slot) int {
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
