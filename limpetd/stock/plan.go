package stock

import (
	"cmp"
	"math"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// plan is a plan in the making.
type plan struct {
	Facts
	orders []Order
	// taken are the engines that got an order about a model in this plan.
	taken map[string]bool
	// replicas counts the engines that hold, load or have room for a model, holding
	// those that hold it.
	replicas, holding map[string]int
	// work is the work of each engine, from its models.
	work map[string]float64
	mean float64
	// reserve is the memory kept for adapters.
	reserve float64
	// loads are those from the weight store that may begin, owed those of them that
	// room was made for.
	loads, owed int
}

// Plan returns the orders to send now, at most one about a model to an engine.
func Plan(f Facts) []Order {
	p := &plan{Facts: f, taken: map[string]bool{}, replicas: map[string]int{}, holding: map[string]int{}, work: map[string]float64{}, loads: f.StoreLoads}
	p.count()
	p.adapters()
	p.promised()
	p.reachable()
	p.spread()
	p.hedge()
	return p.orders
}

// count derives replicas and work from the facts.
func (p *plan) count() {
	largest := 0.0
	for i := range p.Spec.Models {
		if len(p.Spec.Models[i].Adapters) > 0 {
			largest = max(largest, p.Spec.Models[i].AdapterMB)
		}
	}
	p.reserve = largest * float64(p.Spec.AdapterSlots)
	alive := 0
	for i := range p.Engines {
		e := &p.Engines[i]
		if !e.Alive {
			continue
		}
		alive++
		for m := range e.Models {
			if !e.Closing[m] {
				p.replicas[m]++
				p.holding[m]++
			}
		}
		if e.Loading != "" {
			p.replicas[e.Loading]++
		}
		if e.Promised != "" && e.Promised != e.Loading {
			p.replicas[e.Promised]++
			if !e.InMemory[e.Promised] && !e.OnDisk[e.Promised] {
				p.owed++
			}
		}
	}
	total := 0.0
	for i := range p.Spec.Models {
		total += p.workOf(p.Spec.Models[i].Name)
	}
	p.mean = total / math.Max(float64(alive), 1)
	for i := range p.Engines {
		e := &p.Engines[i]
		for m := range e.Models {
			if !e.Closing[m] {
				p.work[e.ID] += p.perReplica(m)
			}
		}
		if e.Loading != "" {
			p.work[e.ID] += p.perReplica(e.Loading)
		}
	}
}

func (p *plan) workOf(model string) float64 {
	if n := p.Demand[model]; n != nil {
		return n.Work
	}
	return 0
}

func (p *plan) perReplica(model string) float64 {
	return p.workOf(model) / math.Max(float64(p.replicas[model]), 1)
}

// promised loads the models that room was made for.
func (p *plan) promised() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Promised == "" {
			continue
		}
		m := p.Spec.Model(e.Promised)
		if m == nil {
			continue
		}
		if o := p.option(e, m, ReasonDemand); o != nil && len(o.victims) == 0 {
			p.replicas[m.Name]--
			if o.store {
				p.owed--
			}
			p.load(o, m, ReasonDemand)
		}
	}
}

// option is a way to give a model a place on an engine.
type option struct {
	engine *Engine
	// victims are unloaded first; empty if there is room.
	victims []string
	store   bool
	cost    float64
}

// Costs of an option, in parts of the mean work of an engine.
const (
	costDisk   = 0.2
	costStore  = 1.2
	costVictim = 0.5
	costLast   = 1.0
)

// give orders a load of model at the best engine, or the unload that makes room for it.
// It reports whether an order was given.
func (p *plan) give(m *layout.Model, why Reason) bool {
	var best *option
	for i := range p.Engines {
		o := p.option(&p.Engines[i], m, why)
		if o != nil && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	if best == nil {
		return false
	}
	p.taken[best.engine.ID] = true
	if len(best.victims) > 0 {
		v := best.victims[0]
		if best.store {
			p.owed++
		}
		p.orders = append(p.orders, Order{Engine: best.engine.ID, Unload: true, Model: v, For: m.Name, Reason: ReasonRoom})
		p.replicas[v]--
		p.holding[v]--
		// The load follows when the memory is free; its place counts already.
		p.replicas[m.Name]++
		return true
	}
	p.load(best, m, why)
	return true
}

// load orders a load where there is room.
func (p *plan) load(o *option, m *layout.Model, why Reason) {
	p.taken[o.engine.ID] = true
	if o.store {
		p.loads--
	}
	p.orders = append(p.orders, Order{Engine: o.engine.ID, Model: m.Name, FromStore: o.store, Reason: why})
	p.replicas[m.Name]++
	p.work[o.engine.ID] += p.perReplica(m.Name)
}

// option returns how model could get a place on an engine, or nil.
func (p *plan) option(e *Engine, m *layout.Model, why Reason) *option {
	if !e.Free || !e.Alive || p.taken[e.ID] || e.Loading != "" || e.Promised != "" && e.Promised != m.Name {
		return nil
	}
	if _, ok := e.Models[m.Name]; ok {
		return nil
	}
	o := &option{engine: e}
	switch {
	case e.InMemory[m.Name]:
	case e.OnDisk[m.Name]:
		o.cost += costDisk
	default:
		o.cost += costStore
		o.store = true
	}
	if o.store && (p.loads <= 0 || e.Promised != m.Name && p.loads <= p.owed) {
		return nil
	}
	if p.mean > 0 {
		o.cost += p.work[e.ID] / p.mean
	}
	free := p.Spec.MemoryMB - p.reserve - p.used(e)
	if free >= m.MemoryMB {
		return o
	}
	if why == ReasonReachable || why == ReasonHedge || why == ReasonDemand && p.Now.Sub(e.Moved) < dwell {
		return nil
	}
	victims := p.victims(e, m, m.MemoryMB-free)
	if victims == nil {
		return nil
	}
	o.victims = victims
	o.cost += costVictim * float64(len(victims))
	for _, v := range victims {
		if p.mean > 0 {
			o.cost += p.perReplica(v) / p.mean
		}
		if p.holding[v] < 2 {
			o.cost += costLast
		}
	}
	return o
}

func (p *plan) used(e *Engine) float64 {
	used := 0.0
	for name := range e.Models {
		if m := p.Spec.Model(name); m != nil {
			used += m.MemoryMB
		}
	}
	return used
}

// inUse tells whether a model was asked for lately.
func (p *plan) inUse(model string) bool {
	n := p.Demand[model]
	return n != nil && !n.Used.IsZero() && p.Now.Sub(n.Used) < recent
}

// victims returns models of an engine that make room, those with the least work first;
// nil if they can't be spared.
func (p *plan) victims(e *Engine, m *layout.Model, room float64) []string {
	var list []string
	for name := range e.Models {
		if !e.Closing[name] && p.spare(name, m.Name) {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(min(p.holding[b], 2), min(p.holding[a], 2)), cmp.Compare(p.perReplica(a), p.perReplica(b)), cmp.Compare(a, b))
	})
	for i, name := range list {
		spec := p.Spec.Model(name)
		if spec == nil {
			continue
		}
		if room -= spec.MemoryMB; room <= 0 {
			return list[:i+1]
		}
	}
	return nil
}

// spare tells whether a replica of model may go for the sake of another, which needs it
// far more. The last one goes only if nobody asks for the model, and only for one that
// calls wait for: an idle model is often the next that rises. Before any demand was seen all
// replicas stay: they are where the operator wants them.
func (p *plan) spare(model, other string) bool {
	n := p.holding[model]
	switch {
	case p.mean <= 0:
		return false
	case n < 2:
		return !p.inUse(model) && p.replicas[other] == 0
	case p.replicas[other] == 0 && p.workOf(model) <= p.mean*float64(n-1):
		return true
	}
	return score(p.workOf(model), n-1)*gainFactor < score(p.workOf(other), max(p.replicas[other], 1))
}
