package stock

import (
	"cmp"
	"slices"
	"time"
)

// adapters gives a place to each adapter that calls wait for: on an engine that holds
// its model, with the fewest adapters. An adapter that was not used for the longest
// time makes room.
func (p *plan) adapters() {
	if p.Spec.AdapterSlots <= 0 {
		return
	}
	added := map[string]int{}
	gone := map[string]map[string]bool{}
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		need := p.Demand[m.Name]
		if need == nil {
			continue
		}
		names := make([]string, 0, len(need.Adapters))
		for name, a := range need.Adapters {
			if a.Waiting > 0 && !p.held(m.Name, name) && slices.Contains(m.Adapters, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			p.place(m.Name, name, added, gone)
		}
	}
}

func (p *plan) held(model, adapter string) bool {
	for i := range p.Engines {
		if e := &p.Engines[i]; e.Alive && e.Models[model][adapter] {
			return true
		}
	}
	return false
}

// place orders a load of an adapter, after the unload of another if there is no room.
func (p *plan) place(model, adapter string, added map[string]int, gone map[string]map[string]bool) {
	var best *Engine
	for i := range p.Engines {
		e := &p.Engines[i]
		if _, ok := e.Models[model]; !ok || !e.Free || !e.Alive || added[e.ID] >= maxAdapterOrders {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(p.places(e)+added[e.ID], p.places(best)+added[best.ID]),
			cmp.Compare(p.work[e.ID], p.work[best.ID])) < 0 {
			best = e
		}
	}
	if best == nil {
		return
	}
	if p.places(best)+added[best.ID] >= p.Spec.AdapterSlots {
		victim, ok := p.oldest(best, gone[best.ID])
		if !ok {
			return
		}
		if gone[best.ID] == nil {
			gone[best.ID] = map[string]bool{}
		}
		gone[best.ID][victim.model+"/"+victim.adapter] = true
		p.orders = append(p.orders, Order{Engine: best.ID, Unload: true, Model: victim.model, Adapter: victim.adapter, Reason: ReasonRoom})
		added[best.ID]--
	}
	p.orders = append(p.orders, Order{Engine: best.ID, Model: model, Adapter: adapter, Reason: ReasonAsked})
	added[best.ID]++
}

// maxAdapterOrders bounds the adapters that one plan brings to an engine; four may be in
// transit to it at the same time.
const maxAdapterOrders = 4

// places counts the adapters that take a place on an engine.
func (p *plan) places(e *Engine) int {
	n := e.Coming
	for _, adapters := range e.Models {
		n += len(adapters)
	}
	return n
}

// adapterOf is an adapter on an engine.
type adapterOf struct {
	model, adapter string
	used           time.Time
}

// oldest returns the adapter on an engine that was not used for the longest time.
func (p *plan) oldest(e *Engine, gone map[string]bool) (adapterOf, bool) {
	var best adapterOf
	found := false
	for model, adapters := range e.Models {
		for name := range adapters {
			if gone[model+"/"+name] {
				continue
			}
			a := adapterOf{model: model, adapter: name}
			if n := p.Demand[model]; n != nil {
				if n.Adapters[name].Waiting > 0 {
					continue
				}
				a.used = n.Adapters[name].Used
			}
			if !found || a.used.Before(best.used) || a.used.Equal(best.used) && model+name < best.model+best.adapter {
				best, found = a, true
			}
		}
	}
	return best, found
}
