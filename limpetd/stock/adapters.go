package stock

import (
	"cmp"
	"slices"
	"time"
)

// placeAdapters places each adapter that calls wait for on an engine that holds its model,
// on the one with the fewest adapters. If that engine has no free adapter slot, its least
// recently used adapter is evicted.
func (p *plan) placeAdapters() {
	if p.Spec.AdapterSlots <= 0 {
		return
	}
	added := map[string]int{}
	evicted := map[string]map[string]bool{}
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		need := p.Demand[m.Name]
		if need == nil {
			continue
		}
		names := make([]string, 0, len(need.Adapters))
		for name, a := range need.Adapters {
			if a.Waiting > 0 && !p.adapterLoaded(m.Name, name) && slices.Contains(m.Adapters, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			p.placeAdapter(m.Name, name, added, evicted)
		}
	}
}

// adapterLoaded reports whether an engine that is alive holds an adapter.
func (p *plan) adapterLoaded(model, adapter string) bool {
	for i := range p.Engines {
		if e := &p.Engines[i]; e.Alive && e.Models[model][adapter] {
			return true
		}
	}
	return false
}

// placeAdapter orders a load of an adapter, and before it an unload of another adapter if
// there is no free slot. added is the number of adapters that this plan adds to each engine,
// evicted holds by engine the adapters that it unloads, as MODEL/ADAPTER.
func (p *plan) placeAdapter(model, adapter string, added map[string]int, evicted map[string]map[string]bool) {
	var best *Engine
	for i := range p.Engines {
		e := &p.Engines[i]
		if _, ok := e.Models[model]; !ok || !e.AcceptsOrders || !e.Alive || added[e.ID] >= maxAddedAdapters {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(p.usedSlots(e)+added[e.ID], p.usedSlots(best)+added[best.ID]),
			cmp.Compare(p.work[e.ID], p.work[best.ID])) < 0 {
			best = e
		}
	}
	if best == nil {
		return
	}
	if p.usedSlots(best)+added[best.ID] >= p.Spec.AdapterSlots {
		victim, ok := p.leastRecentlyUsed(best, evicted[best.ID])
		if !ok {
			return
		}
		if evicted[best.ID] == nil {
			evicted[best.ID] = map[string]bool{}
		}
		evicted[best.ID][victim.model+"/"+victim.adapter] = true
		p.orders = append(p.orders, Order{Engine: best.ID, Unload: true, Model: victim.model, Adapter: victim.adapter, Reason: ReasonEviction})
		added[best.ID]--
	}
	p.orders = append(p.orders, Order{Engine: best.ID, Model: model, Adapter: adapter, Reason: ReasonRequested})
	added[best.ID]++
}

// maxAddedAdapters limits the adapters that a plan adds to an engine: an engine can have
// four adapters in transit at the same time.
const maxAddedAdapters = 4

// usedSlots returns the number of adapter slots of an engine that are in use.
func (p *plan) usedSlots(e *Engine) int {
	n := e.AdaptersInTransit
	for _, adapters := range e.Models {
		n += len(adapters)
	}
	return n
}

// loadedAdapter is an adapter that an engine holds, and when it was last requested.
type loadedAdapter struct {
	model, adapter string
	used           time.Time
}

// leastRecentlyUsed returns the adapter of an engine that was not requested for the longest
// time. It skips adapters that are evicted already and adapters that calls wait for.
func (p *plan) leastRecentlyUsed(e *Engine, evicted map[string]bool) (loadedAdapter, bool) {
	var best loadedAdapter
	found := false
	for model, adapters := range e.Models {
		for name := range adapters {
			if evicted[model+"/"+name] {
				continue
			}
			a := loadedAdapter{model: model, adapter: name}
			if n := p.Demand[model]; n != nil {
				if n.Adapters[name].Waiting > 0 {
					continue
				}
				a.used = n.Adapters[name].LastRequested
			}
			if !found || a.used.Before(best.used) || a.used.Equal(best.used) && model+name < best.model+best.adapter {
				best, found = a, true
			}
		}
	}
	return best, found
}
