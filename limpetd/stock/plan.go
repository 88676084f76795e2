package stock

import (
	"cmp"
	"math"
	"slices"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// plan is the working state of Plan.
type plan struct {
	Input
	orders []Order
	// ordered are the IDs of the engines that have an order about a model in this plan.
	ordered map[string]bool
	// replicas counts, by model, the engines that hold the model, load it or have memory
	// freed for it. holding counts the engines that hold it.
	replicas, holding map[string]int
	// speeds is the sum of the speeds of the engines that replicas counts, by model.
	speeds map[string]float64
	// work is the work of each engine by ID, computed from the models that the engine holds
	// or loads, in the unit of ModelDemand.Work. meanWork is the work of all models divided
	// by the number of engines that are alive.
	work     map[string]float64
	meanWork float64
	// adapterMB is the memory of an engine that is kept free for adapters.
	adapterMB float64
	// storeLoads is the number of loads from the weight store that may still begin,
	// promisedLoads the number of those that memory was freed for already.
	storeLoads, promisedLoads int
}

// Plan returns the orders to send now, at most one about a model to each engine.
func Plan(f Input) []Order {
	p := &plan{Input: f, ordered: map[string]bool{}, replicas: map[string]int{}, holding: map[string]int{}, work: map[string]float64{}, speeds: map[string]float64{}, storeLoads: f.StoreLoads}
	p.count()
	p.placeAdapters()
	p.loadPromised()
	p.placeMissing()
	p.placeDemand()
	p.addStandbys()
	return p.orders
}

// count computes the replicas and the work from the input.
func (p *plan) count() {
	largest := 0.0
	for i := range p.Spec.Models {
		if len(p.Spec.Models[i].Adapters) > 0 {
			largest = max(largest, p.Spec.Models[i].AdapterMB)
		}
	}
	p.adapterMB = largest * float64(p.Spec.AdapterSlots)
	alive := 0
	for i := range p.Engines {
		e := &p.Engines[i]
		if !e.Alive {
			continue
		}
		alive++
		for m := range e.Models {
			if !e.Unloading[m] {
				p.replicas[m]++
				p.holding[m]++
				p.speeds[m] += e.speed()
			}
		}
		if e.Loading != "" {
			p.replicas[e.Loading]++
			p.speeds[e.Loading] += e.speed()
		}
		if e.ReservedFor != "" && e.ReservedFor != e.Loading {
			p.replicas[e.ReservedFor]++
			p.speeds[e.ReservedFor] += e.speed()
			if !e.InMemory[e.ReservedFor] && !e.OnDisk[e.ReservedFor] {
				p.promisedLoads++
			}
		}
	}
	total := 0.0
	for i := range p.Spec.Models {
		total += p.workOf(p.Spec.Models[i].Name)
	}
	p.meanWork = total / math.Max(float64(alive), 1)
	for i := range p.Engines {
		e := &p.Engines[i]
		for m := range e.Models {
			if !e.Unloading[m] {
				p.work[e.ID] += p.workPerReplica(m)
			}
		}
		if e.Loading != "" {
			p.work[e.ID] += p.workPerReplica(e.Loading)
		}
	}
}

// workOf returns the work of a model per second, in seconds of an engine's time.
func (p *plan) workOf(model string) float64 {
	if n := p.Demand[model]; n != nil {
		return n.Work
	}
	return 0
}

// workPerReplica returns the work of each replica of a model on an engine of the usual pace. Quick engines get more
// calls than slow ones.
func (p *plan) workPerReplica(model string) float64 {
	if p.speeds[model] <= 0 {
		return p.workOf(model)
	}
	return p.workOf(model) / p.speeds[model]
}

// loadPromised loads the models that memory was freed for.
func (p *plan) loadPromised() {
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.ReservedFor == "" {
			continue
		}
		m := p.Spec.Model(e.ReservedFor)
		if m == nil {
			continue
		}
		if o := p.placement(e, m, ReasonDemand); o != nil && len(o.victims) == 0 {
			p.replicas[m.Name]--
			p.speeds[m.Name] -= e.speed()
			if o.fromStore {
				p.promisedLoads--
			}
			p.orderLoad(o, m, ReasonDemand)
		}
	}
}

// placement is a possible placement of a model on an engine.
type placement struct {
	engine *Engine
	// victims are the models to unload first; empty if there is enough free memory.
	victims   []string
	fromStore bool
	cost      float64
}

// Parts of the cost of a placement, as fractions of the mean work of an engine.
const (
	// costDisk is the cost of a load from disk, costStore that of a load from the weight
	// store.
	costDisk  = 0.2
	costStore = 1.2
	// costVictim is the cost of each unloaded model, costLastReplica the cost in addition if
	// it is the model's last replica.
	costVictim = 0.5
	// costPace is the cost of an engine on which work takes twice as long as usual.
	costPace        = 2.0
	costLastReplica = 1.0
)

// addReplica orders a load of a model at the engine with the lowest cost, or the first unload
// of those that free memory for the load. It reports whether an order was added to the plan.
func (p *plan) addReplica(m *layout.Model, reason Reason) bool {
	var best *placement
	for i := range p.Engines {
		o := p.placement(&p.Engines[i], m, reason)
		if o != nil && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	if best == nil {
		return false
	}
	p.ordered[best.engine.ID] = true
	if len(best.victims) > 0 {
		v := best.victims[0]
		if best.fromStore {
			p.promisedLoads++
		}
		p.orders = append(p.orders, Order{Engine: best.engine.ID, Unload: true, Model: v, For: m.Name, Reason: ReasonEviction})
		p.replicas[v]--
		p.holding[v]--
		p.speeds[v] -= best.engine.speed()
		// The load is ordered once the memory is free; the replica counts from now on.
		p.replicas[m.Name]++
		p.speeds[m.Name] += best.engine.speed()
		return true
	}
	p.orderLoad(best, m, reason)
	return true
}

// orderLoad orders a load on an engine with enough free memory.
func (p *plan) orderLoad(o *placement, m *layout.Model, reason Reason) {
	p.ordered[o.engine.ID] = true
	if o.fromStore {
		p.storeLoads--
	}
	p.orders = append(p.orders, Order{Engine: o.engine.ID, Model: m.Name, FromStore: o.fromStore, Reason: reason})
	p.replicas[m.Name]++
	p.speeds[m.Name] += o.engine.speed()
	p.work[o.engine.ID] += p.workPerReplica(m.Name)
}

// placement returns how a model can be placed on an engine, or nil if it can't.
func (p *plan) placement(e *Engine, m *layout.Model, reason Reason) *placement {
	if !e.AcceptsOrders || !e.Alive || p.ordered[e.ID] || e.Loading != "" || e.ReservedFor != "" && e.ReservedFor != m.Name {
		return nil
	}
	if _, ok := e.Models[m.Name]; ok {
		return nil
	}
	o := &placement{engine: e}
	switch {
	case e.InMemory[m.Name]:
	case e.OnDisk[m.Name]:
		o.cost += costDisk
	default:
		o.cost += costStore
		o.fromStore = true
	}
	if o.fromStore && (p.storeLoads <= 0 || e.ReservedFor != m.Name && p.storeLoads <= p.promisedLoads) {
		return nil
	}
	if p.meanWork > 0 {
		o.cost += p.work[e.ID]/p.meanWork + costPace*(1/e.speed()-1)
	}
	free := p.Spec.MemoryMB - p.adapterMB - p.usedMB(e)
	if free >= m.MemoryMB {
		return o
	}
	if reason == ReasonMissing || reason == ReasonStandby || reason == ReasonDemand && p.Now.Sub(e.ModelsChangedAt) < minDwell {
		return nil
	}
	victims := p.victims(e, m, m.MemoryMB-free)
	if victims == nil {
		return nil
	}
	o.victims = victims
	o.cost += costVictim * float64(len(victims))
	for _, v := range victims {
		if p.meanWork > 0 {
			o.cost += p.workPerReplica(v) / p.meanWork
		}
		if p.holding[v] < 2 {
			o.cost += costLastReplica
		}
	}
	return o
}

// usedMB returns the memory that the weights of an engine's models use.
func (p *plan) usedMB(e *Engine) float64 {
	usedMB := 0.0
	for name := range e.Models {
		if m := p.Spec.Model(name); m != nil {
			usedMB += m.MemoryMB
		}
	}
	return usedMB
}

// inUse reports whether a model was requested within recentUse.
func (p *plan) inUse(model string) bool {
	n := p.Demand[model]
	return n != nil && !n.LastRequested.IsZero() && p.Now.Sub(n.LastRequested) < recentUse
}

// victims returns the models to unload from an engine to free neededMB for model m: models
// with other replicas before last replicas, then those with the least work per replica. It
// returns nil if the models that can be evicted don't free enough memory.
func (p *plan) victims(e *Engine, m *layout.Model, neededMB float64) []string {
	var list []string
	for name := range e.Models {
		if !e.Unloading[name] && p.canEvict(name, m.Name) {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(min(p.holding[b], 2), min(p.holding[a], 2)), cmp.Compare(p.workPerReplica(a), p.workPerReplica(b)), cmp.Compare(a, b))
	})
	for i, name := range list {
		spec := p.Spec.Model(name)
		if spec == nil {
			continue
		}
		if neededMB -= spec.MemoryMB; neededMB <= 0 {
			return list[:i+1]
		}
	}
	return nil
}

// canEvict reports whether a replica of a model may be unloaded in favour of another model.
// The replicaScore of the other model must exceed, by gainFactor, that of the model with one
// replica less. A model without any replica may also displace a replica if the work of the
// displaced model is then at most meanWork per replica. The last replica is unloaded only if the
// model is not in use, and only for a model without any replica, because demand often rises
// next for a model that is idle now. While there is no demand all replicas stay, because the
// operator placed them.
func (p *plan) canEvict(model, other string) bool {
	n := p.holding[model]
	switch {
	case p.meanWork <= 0:
		return false
	case n < 2:
		return !p.inUse(model) && p.replicas[other] == 0
	case p.replicas[other] == 0 && p.workOf(model) <= p.meanWork*float64(n-1):
		return true
	}
	return replicaScore(p.workOf(model), n-1)*gainFactor < replicaScore(p.workOf(other), max(p.replicas[other], 1))
}
