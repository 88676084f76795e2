package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// turnInterval is the time between the starts of the turns of two successive data
// centres to place a model that no data centre holds.
const turnInterval = 20 * time.Second

// HeldModels reports for each model of a document, in the document's order, whether slots
// contain the model, and whether they contain the model with all its declared adapters.
// The slots have no versions, so that any version counts.
func HeldModels(doc *envdoc.Document, slots map[envdoc.Slot]bool) (models, complete []bool) {
	models, complete = make([]bool, len(doc.Models)), make([]bool, len(doc.Models))
	for i := range doc.Models {
		m := &doc.Models[i]
		models[i] = slots[envdoc.Slot{Model: m.Name}]
		complete[i] = models[i] && !slices.ContainsFunc(m.Adapters, func(a envdoc.Adapter) bool {
			return !slots[envdoc.Slot{Model: m.Name, Adapter: a.Name}]
		})
	}
	return models, complete
}

// priority returns the position of a data centre in the order in which data centres
// keep a model; 0 is the highest priority. The order starts at the model's home and
// continues by name, wrapping around. It depends on nothing but names, so that all data
// centres agree on the order at any time.
func (x *index) priority(k int, dataCentre string) int {
	return x.nameDistance(x.models[k].home, dataCentre)
}

// nameDistance returns the number of steps from one data centre to another in the
// order of names, wrapping around.
func (x *index) nameDistance(from, to string) int {
	start, _ := slices.BinarySearch(x.centreNames, from)
	end, _ := slices.BinarySearch(x.centreNames, to)
	return (end - start + len(x.centreNames)) % len(x.centreNames)
}

// MayUnload reports whether a data centre may unload a slot of a model because a data
// centre with a higher priority holds the model. For the slot of an adapter, the other
// data centre has to hold the model with all its adapters.
func (p *Planner) MayUnload(slot envdoc.Slot, dataCentre string, remotes []Remote) bool {
	if p.index == nil {
		return false
	}
	k, ok := p.index.byName[slot.Model]
	return ok && slices.ContainsFunc(remotes, func(r Remote) bool {
		names := r.Models
		if slot.Adapter != "" {
			names = r.WithAdapters
		}
		_, holds := slices.BinarySearch(names, slot.Model)
		return holds && p.index.priority(k, r.DataCentre) < p.index.priority(k, dataCentre)
	})
}

// recordMissing records since when no data centre is known to hold a model, or to hold
// it with all its adapters. While the slots of some data centre are unknown, no model
// counts as missing or incomplete.
func (s *planState) recordMissing() {
	unknown := s.anyRemoteUnknown()
	for k := range s.models {
		mv := &s.modelViews[k]
		s.recordSince(s.planner.missingSince, k, !unknown && !mv.heldRemotely && !s.heldLocally(k))
		s.recordSince(s.planner.incompleteSince, k, !unknown && !mv.completeRemotely && !s.heldComplete(k))
	}
}

// recordSince sets or removes the time since when a model is missing or incomplete.
func (s *planState) recordSince(since map[string]time.Time, k int, missing bool) {
	name := s.models[k].Name
	_, recorded := since[name]
	switch {
	case !missing:
		delete(since, name)
	case !recorded:
		since[name] = s.input.Now
	}
}

// hasTurn reports whether this data centre has its turn to place a model that is
// missing or incomplete in all data centres, and to evict other models for it. The data
// centre that the model is assigned to has its turn at once; the others follow by name
// at intervals of turnInterval.
func (s *planState) hasTurn(missingSince map[string]time.Time, k int) bool {
	position := s.nameDistance(s.models[k].assignedCentre, s.input.DataCentre)
	since, recorded := missingSince[s.models[k].Name]
	return position == 0 || (recorded && s.input.Now.Sub(since) >= turnInterval*time.Duration(position))
}

// heldComplete reports whether this data centre holds or loads a model with all its
// adapters.
func (s *planState) heldComplete(k int) bool {
	for j := range s.modelViews[k].adapters {
		if !s.adapterHeld(k, j) {
			return false
		}
	}
	return s.heldLocally(k)
}

// evictRedundant unloads models that a data centre with a higher priority also holds,
// to free memory for a model or adapter that no data centre holds. It chooses the
// engine where the fewest models have to go, and returns false when no engine can free
// enough.
func (s *planState) evictRedundant(w wantedMemory) bool {
	var best []int
	engine := -1
	for i := range s.engines {
		shortMB, ok := s.shortfallMB(w, i)
		if !ok {
			continue
		}
		if v := s.redundantModels(i, w.model, shortMB); len(v) > 0 && (engine < 0 || len(v) < len(best)) {
			best, engine = v, i
		}
	}
	for _, c := range best {
		h, _ := slotOn(s.modelViews[c].current, engine)
		s.unloadReplica(c, h, RuleMakeRoom, 0, 0)
	}
	return engine >= 0
}

// redundantOn reports whether a data centre with a higher priority also holds a model,
// with all its adapters if the engine holds any of them.
func (s *planState) redundantOn(k, engine int) bool {
	mv := &s.modelViews[k]
	lists := append(slices.Clone(mv.adapters), mv.oldAdapters)
	noAdapters := !slices.ContainsFunc(lists, func(hs []heldSlot) bool { return anySlotOn(hs, engine) })
	return mv.completeAtHigher || (noAdapters && mv.heldAtHigher)
}

// redundantModels returns redundant models on an engine, other than k, that free shortMB
// of memory, or nil. It takes the largest models first, so that few have to go.
func (s *planState) redundantModels(engine, k int, shortMB int64) []int {
	e := &s.engines[engine]
	candidates := slices.Clone(e.models)
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(s.models[b].MemoryMB, s.models[a].MemoryMB) })
	var victims []int
	for _, c := range candidates {
		if shortMB <= 0 {
			break
		}
		h, ok := slotOn(s.modelViews[c].current, engine)
		if !ok || c == k || h.state != Resident || !s.redundantOn(c, engine) {
			continue
		}
		victims = append(victims, c)
		shortMB -= h.memoryMB
	}
	if shortMB > 0 {
		return nil
	}
	return victims
}
