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
	// holdersPerSlot is the maximum number of engines that SlotHolders returns for a
	// slot.
	holdersPerSlot = 2
	// remoteSlotTTL is how long a slot of an engine in another data centre is kept
	// after the last answer that contained the slot.
	remoteSlotTTL = 30 * time.Second
)

// SlotHolders returns the reports of up to holdersPerSlot fresh engines of this daemon's
// data centre for each slot, engines with room in their batch first. If no engine
// holds a slot in its version, SlotHolders returns engines that hold another version.
// Each report lists only the slots for which its engine was chosen.
func (w *Watch) SlotHolders(slots []envdoc.Slot) []engine.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var reports []engine.Report
	for _, slot := range slots {
		found := w.findHolders(now, func(s envdoc.Slot) bool { return s == slot })
		if len(found) == 0 {
			found = w.findHolders(now, func(s envdoc.Slot) bool { return s.Model == slot.Model && s.Adapter == slot.Adapter })
		}
		for _, r := range found {
			reports = mergeReport(reports, r)
		}
	}
	return reports
}

// ResidentSlots returns the slots that live engines of this daemon's data centre hold,
// without versions. complete reports whether the reports of all these engines are
// fresh. The caller may modify the map.
func (w *Watch) ResidentSlots() (slots map[envdoc.Slot]bool, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	slots, complete = make(map[envdoc.Slot]bool), true
	for _, s := range w.engines {
		if s.vm.DataCentre != w.config.DataCentre || s.vm.State != store.StateLive {
			continue
		}
		if !s.reported || s.health(now) != route.HealthFresh {
			complete = false
			continue
		}
		for _, slot := range s.report.Slots {
			slots[envdoc.Slot{Model: slot.Model, Adapter: slot.Adapter}] = true
		}
	}
	return slots, complete
}

// findHolders returns the reports of up to holdersPerSlot fresh engines of this
// daemon's data centre that serve requests from prompt to end and hold a slot for
// which match returns true. Each report lists only the first such slot. Engines with
// loadRank 0 come first; the order is otherwise random.
func (w *Watch) findHolders(now time.Time, match func(envdoc.Slot) bool) []engine.Report {
	var found []engine.Report
	for _, s := range w.engines {
		if !s.reported || s.vm.DataCentre != w.config.DataCentre || s.health(now) != route.HealthFresh {
			continue
		}
		if i := slices.IndexFunc(s.report.Slots, match); i >= 0 && s.report.Role.RunsBothPhases() {
			r := s.report
			r.Slots = s.report.Slots[i : i+1 : i+1]
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b engine.Report) int { return strings.Compare(a.VM, b.VM) })
	w.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b engine.Report) int { return loadRank(a) - loadRank(b) })
	return found[:min(len(found), holdersPerSlot)]
}

// loadRank returns 0 for an engine with room in its batch and no waiting requests,
// else 1.
func loadRank(r engine.Report) int {
	if r.Waiting == 0 && r.Running < r.BatchLimit {
		return 0
	}
	return 1
}

// mergeReport appends r to reports. If reports has a report of the same engine,
// mergeReport adds the slot of r to that report instead.
func mergeReport(reports []engine.Report, r engine.Report) []engine.Report {
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

// ReceiveRemoteReports applies the reports that a daemon of another data centre returned from
// SlotHolders, and updates the view. The slots of successive answers are merged, and
// each is kept for remoteSlotTTL.
func (w *Watch) ReceiveRemoteReports(reports []engine.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range reports {
		if s := w.engines[r.VM]; s != nil && s.vm.DataCentre != w.config.DataCentre {
			s.updateRemote(r, now)
		}
	}
	w.updateView(now)
}

// updateRemote applies a report that lists only requested slots. A report that
// lists all slots takes precedence until it becomes stale.
func (s *engineState) updateRemote(r engine.Report, now time.Time) {
	complete := s.reported && s.remoteSlots == nil
	if complete && now.Sub(s.receivedAt) <= staleAfter {
		return
	}
	isNew := !s.reported || newer(r, s.report)
	if !isNew && r.Instance != s.report.Instance {
		return
	}
	if s.remoteSlots == nil || r.Instance != s.report.Instance {
		s.remoteSlots = make(map[envdoc.Slot]time.Time)
	}
	for _, slot := range r.Slots {
		s.remoteSlots[slot] = now
	}
	if isNew {
		slots := s.remoteSlots
		s.update(r, now, false)
		s.remoteSlots = slots
	}
	s.expireRemoteSlots(now)
}

// expireRemoteSlots removes the slots older than remoteSlotTTL and updates the slots
// of the report to the remaining ones, in sorted order.
func (s *engineState) expireRemoteSlots(now time.Time) {
	var slots []envdoc.Slot
	for slot, at := range s.remoteSlots {
		if now.Sub(at) > remoteSlotTTL {
			delete(s.remoteSlots, slot)
			continue
		}
		slots = append(slots, slot)
	}
	slices.SortFunc(slots, func(a, b envdoc.Slot) int { return strings.Compare(a.String(), b.String()) })
	if !slices.Equal(slots, s.report.Slots) {
		s.report.Slots = slots
	}
}
