package watch

import (
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// holdersEach is the number of engines that an answer names for a slot.
	holdersEach = 2
	// farKeep is how long a slot of an engine is kept that only an answer told.
	farKeep = 30 * time.Second
)

// Holders returns reports of a few engines of the own data centre that hold
// slots, those with room first. The reports list no other slots.
func (w *Watch) Holders(slots []envdoc.Slot) []engine.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var reports []engine.Report
	for _, slot := range slots {
		found := w.holding(now, func(s envdoc.Slot) bool { return s == slot })
		if len(found) == 0 {
			found = w.holding(now, func(s envdoc.Slot) bool { return s.Model == slot.Model && s.Adapter == slot.Adapter })
		}
		for _, r := range found {
			reports = join(reports, r)
		}
	}
	return reports
}

// Resident returns the slots that engines of the own data centre hold, without
// versions. It is complete if all live engines have reported lately. The map is
// the caller's.
func (w *Watch) Resident() (slots map[envdoc.Slot]bool, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	slots, complete = make(map[envdoc.Slot]bool), true
	for _, s := range w.engines {
		if s.vm.DataCentre != w.config.DataCentre || s.vm.State != store.StateLive {
			continue
		}
		if !s.known || s.health(now) != route.HealthFresh {
			complete = false
			continue
		}
		for _, slot := range s.report.Slots {
			slots[envdoc.Slot{Model: slot.Model, Adapter: slot.Adapter}] = true
		}
	}
	return slots, complete
}

// holding returns some of the fresh engines of the own data centre with a slot
// that fits, each with its first such slot.
func (w *Watch) holding(now time.Time, fits func(envdoc.Slot) bool) []engine.Report {
	var found []engine.Report
	for _, s := range w.engines {
		if !s.known || s.vm.DataCentre != w.config.DataCentre || s.health(now) != route.HealthFresh {
			continue
		}
		if i := slices.IndexFunc(s.report.Slots, fits); i >= 0 && s.report.Role.Whole() {
			r := s.report
			r.Slots = s.report.Slots[i : i+1 : i+1]
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b engine.Report) int { return strings.Compare(a.VM, b.VM) })
	w.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b engine.Report) int { return crowd(a) - crowd(b) })
	return found[:min(len(found), holdersEach)]
}

// crowd is 0 for an engine with room in its batch, else 1.
func crowd(r engine.Report) int {
	if r.Waiting == 0 && r.Running < r.BatchLimit {
		return 0
	}
	return 1
}

// join adds a report, or its slot to the report of the same engine.
func join(reports []engine.Report, r engine.Report) []engine.Report {
	for i := range reports {
		if reports[i].VM != r.VM {
			continue
		}
		if !slices.Contains(reports[i].Slots, r.Slots[0]) {
			reports[i].Slots = append(reports[i].Slots, r.Slots[0])
		}
		return reports
	}
	return append(reports, r)
}

// ReceiveFar takes the reports that a daemon of another data centre answered
// with, and renews the view. Their slots are kept for a few seconds, beside those
// of other answers.
func (w *Watch) ReceiveFar(reports []engine.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range reports {
		if s := w.engines[r.VM]; s != nil && s.vm.DataCentre != w.config.DataCentre {
			s.takeFar(r, now)
		}
	}
	w.renew(now)
}

// takeFar takes a report that lists only the slots that were asked for.
func (s *state) takeFar(r engine.Report, now time.Time) {
	whole := s.known && s.farSlots == nil
	if whole && now.Sub(s.received) <= staleAfter {
		return
	}
	fresh := !s.known || newer(r, s.report)
	if !fresh && r.Instance != s.report.Instance {
		return
	}
	if s.farSlots == nil || r.Instance != s.report.Instance {
		s.farSlots = make(map[envdoc.Slot]time.Time)
	}
	for _, slot := range r.Slots {
		s.farSlots[slot] = now
	}
	if fresh {
		seen := s.farSlots
		s.take(r, now, false)
		s.farSlots = seen
	}
	s.listFar(now)
}

// listFar forgets slots that were not told for a while, and lists the others.
func (s *state) listFar(now time.Time) {
	var slots []envdoc.Slot
	for slot, at := range s.farSlots {
		if now.Sub(at) > farKeep {
			delete(s.farSlots, slot)
			continue
		}
		slots = append(slots, slot)
	}
	slices.SortFunc(slots, func(a, b envdoc.Slot) int { return strings.Compare(a.String(), b.String()) })
	if !slices.Equal(slots, s.report.Slots) {
		s.report.Slots = slots
	}
}
