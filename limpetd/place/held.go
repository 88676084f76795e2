package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// turnTime is how long a data centre leaves a model that none holds to the one
// before it in the order of keeping.
const turnTime = 20 * time.Second

// Held returns for each model of a document, in its order, whether it is held in
// any version, and whether with all its declared adapters. Slots are without
// versions.
func Held(doc *envdoc.Document, slots map[envdoc.Slot]bool) (models, whole []bool) {
	models, whole = make([]bool, len(doc.Models)), make([]bool, len(doc.Models))
	for i := range doc.Models {
		m := &doc.Models[i]
		models[i] = slots[envdoc.Slot{Model: m.Name}]
		whole[i] = models[i] && !slices.ContainsFunc(m.Adapters, func(a envdoc.Adapter) bool {
			return !slots[envdoc.Slot{Model: m.Name, Adapter: a.Name}]
		})
	}
	return models, whole
}

// rank is the place of a data centre in the order in which data centres keep a
// model: its home first, then the ones that follow it by name. The order depends
// on nothing but names, so that all data centres agree on it at any time.
func (x *index) rank(k int, dataCentre string) int {
	return x.after(x.models[k].home, dataCentre)
}

// after counts the steps by name from one data centre to another.
func (x *index) after(from, to string) int {
	first, _ := slices.BinarySearch(x.names, from)
	own, _ := slices.BinarySearch(x.names, to)
	return (own - first + len(x.names)) % len(x.names)
}

// Yields tells whether a data centre that comes before this one in keeping a
// model holds it, so that this one may give up a slot of it. An adapter is given
// up only for a data centre that holds all of them.
func (p *Planner) Yields(slot envdoc.Slot, dataCentre string, remotes []Remote) bool {
	if p.index == nil {
		return false
	}
	k, ok := p.index.byName[slot.Model]
	return ok && slices.ContainsFunc(remotes, func(r Remote) bool {
		names := r.Models
		if slot.Adapter != "" {
			names = r.Whole
		}
		_, holds := slices.BinarySearch(names, slot.Model)
		return holds && p.index.rank(k, r.DataCentre) < p.index.rank(k, dataCentre)
	})
}

// noteLacking notes since when no data centre is known to hold a model, and to
// hold it with all adapters. While it is unknown what one holds, nothing counts
// as lacking.
func (s *stage) noteLacking() {
	unknown := s.unknown()
	for k := range s.models {
		mv := &s.views[k]
		s.note(s.planner.lacking, k, !unknown && !mv.remote && !s.held(k))
		s.note(s.planner.partial, k, !unknown && !mv.remoteWhole && !s.heldWhole(k))
	}
}

// note keeps since when a model lacks.
func (s *stage) note(since map[string]time.Time, k int, lacks bool) {
	name := s.models[k].Name
	_, noted := since[name]
	switch {
	case !lacks:
		delete(since, name)
	case !noted:
		since[name] = s.facts.Now
	}
}

// turn tells whether it is this data centre's turn to give models up for one
// that lacks in all data centres: at once where it is kept, later elsewhere.
func (s *stage) turn(lacking map[string]time.Time, k int) bool {
	rank := s.after(s.models[k].keeper, s.facts.DataCentre)
	since, noted := lacking[s.models[k].Name]
	return rank == 0 || (noted && s.facts.Now.Sub(since) >= turnTime*time.Duration(rank))
}

// heldWhole tells whether the data centre holds or loads the model with all
// adapters.
func (s *stage) heldWhole(k int) bool {
	for j := range s.views[k].adapters {
		if !s.adapterHeld(k, j) {
			return false
		}
	}
	return s.held(k)
}

// evictKept gives up models that another data centre keeps, so that what no data
// centre holds gets their place, on the engine where the fewest go.
func (s *stage) evictKept(w want) bool {
	var best []int
	engine := -1
	for i := range s.engines {
		short, ok := s.short(w, i)
		if !ok {
			continue
		}
		if v := s.keptOn(i, w.model, short); len(v) > 0 && (engine < 0 || len(v) < len(best)) {
			best, engine = v, i
		}
	}
	for _, c := range best {
		h, _ := on(s.views[c].current, engine)
		s.drop(c, h, RuleMakeRoom, 0, 0)
	}
	return engine >= 0
}

// kept tells whether another data centre keeps a model, and its adapters if the
// engine has any.
func (s *stage) kept(k, engine int) bool {
	mv := &s.views[k]
	lists := append(slices.Clone(mv.adapters), mv.oldAdapters)
	bare := !slices.ContainsFunc(lists, func(hs []holder) bool { return occupied(hs, engine) })
	return mv.keptWhole || (bare && mv.kept)
}

// keptOn returns the fewest models on an engine that another data centre keeps
// and that free the memory that k lacks there, or none.
func (s *stage) keptOn(engine, k int, short int64) []int {
	e := &s.engines[engine]
	candidates := slices.Clone(e.models)
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(s.models[b].MemoryMB, s.models[a].MemoryMB) })
	var victims []int
	for _, c := range candidates {
		if short <= 0 {
			break
		}
		h, ok := on(s.views[c].current, engine)
		if !ok || c == k || h.state != Resident || !s.kept(c, engine) {
			continue
		}
		victims = append(victims, c)
		short -= h.memory
	}
	if short > 0 {
		return nil
	}
	return victims
}
