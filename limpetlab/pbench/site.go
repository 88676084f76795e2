package pbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

const (
	// goodLoad is the load up to which an engine meets all expectations.
	goodLoad = 0.9
	// queueTime is how long a request that finds no room stays queued.
	queueTime = 2.0
)

// site is a data centre.
type site struct {
	name    string
	doc     *envdocDocument
	engines []place.Engine
	policy  policy
	// loads are the model loads that wait for the weight store or run.
	loads []*loading
	// perSecond, atOnce and loadTime are the site's share of the store.
	perSecond float64
	atOnce    int
	loadTime  time.Duration
	credit    float64
	queued    []float64
	// held are the models that are resident, sorted.
	held       []string
	asked      float64
	met        float64
	moves      int
	modelMoves int
}

// loading is a load under way.
type loading struct {
	engine int
	slot   envdoc.Slot
	// done is when it ends; zero while it waits.
	done time.Time
}

// newSite returns an empty data centre.
func newSite(d deploy.Deployment, doc *envdocDocument, name string, p policy) *site {
	n := len(d.DataCentres)
	s := &site{
		name: name, doc: doc, policy: p,
		perSecond: d.Store.PerSecond / float64(n),
		atOnce:    max(1, d.Store.AtOnce/n),
		loadTime:  time.Duration(float64(d.Store.AtOnce) / d.Store.PerSecond * float64(time.Second)),
		queued:    make([]float64, len(doc.Models)),
	}
	for i := range d.Engines {
		s.engines = append(s.engines, place.Engine{
			VM: fmt.Sprintf("%s-engine-%d", name, i+1), Pool: d.EnginePool, MemoryMB: d.EngineMB,
			Usable: true, TokensPerSecond: engineTokens,
		})
	}
	return s
}

// holds tells whether a model was resident at the end of the last step.
func (s *site) holds(model string) bool {
	_, ok := slices.BinarySearch(s.held, model)
	return ok
}

// find returns the index of a slot in a state.
func find(e *place.Engine, slot envdoc.Slot, state place.State) (int, bool) {
	i := slices.IndexFunc(e.Slots, func(o place.Slot) bool { return o.Slot == slot && o.State == state })
	return i, i >= 0
}

// advance lets a step pass: loads go on, requests are served, the policy moves.
func (s *site) advance(now time.Time, rates []float64, sites []*site) {
	s.load(now)
	s.serve(rates)
	f := place.Facts{Now: now, Document: s.doc, DataCentre: s.name, Engines: s.engines, Demand: s.measured(rates)}
	f.Saturated = s.running() >= s.atOnce
	for _, o := range sites {
		if o != s {
			f.Remotes = append(f.Remotes, place.Remote{DataCentre: o.name, Models: o.held})
		}
	}
	for _, m := range s.policy.moves(f) {
		s.move(m, now)
	}
	s.held = s.resident()
}

// running counts the loads that run or wait.
func (s *site) running() int { return len(s.loads) }

// resident lists the models that are resident, sorted.
func (s *site) resident() []string {
	var names []string
	for i := range s.engines {
		for _, o := range s.engines[i].Slots {
			if o.Slot.Adapter == "" && o.State == place.Resident {
				names = append(names, o.Slot.Model)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// load starts loads as the weight store allows and ends those that are done.
// Unloads and adapters take less than a step.
func (s *site) load(now time.Time) {
	s.credit = min(s.credit+s.perSecond*step.Seconds(), float64(s.atOnce))
	active := 0
	var left []*loading
	for _, l := range s.loads {
		if !l.done.IsZero() && !now.Before(l.done) {
			if i, ok := find(&s.engines[l.engine], l.slot, place.Loading); ok {
				s.engines[l.engine].Slots[i].State = place.Resident
			}
			continue
		}
		left = append(left, l)
		if !l.done.IsZero() {
			active++
		}
	}
	for _, l := range left {
		if l.done.IsZero() && active < s.atOnce && s.credit >= 1 {
			l.done = now.Add(s.loadTime)
			s.credit--
			active++
		}
	}
	s.loads = left
	for i := range s.engines {
		e := &s.engines[i]
		e.Slots = slices.DeleteFunc(e.Slots, func(o place.Slot) bool { return o.State == place.Unloading })
		for j := range e.Slots {
			if e.Slots[j].Slot.Adapter != "" {
				e.Slots[j].State = place.Resident
			}
		}
	}
}

// move carries a move out if the memory allows it.
func (s *site) move(m place.Move, now time.Time) {
	i := slices.IndexFunc(s.engines, func(e place.Engine) bool { return e.VM == m.Engine })
	e := &s.engines[i]
	s.moves++
	if m.Slot.Adapter == "" {
		s.modelMoves++
	}
	if m.Kind == place.Unload {
		if j, ok := find(e, m.Slot, place.Resident); ok {
			e.Slots[j].State = place.Unloading
		}
		return
	}
	used := m.MemoryMB
	for _, o := range e.Slots {
		used += o.MemoryMB
	}
	if used > e.MemoryMB {
		panic(fmt.Sprintf("%s would hold %d MB", e.VM, used))
	}
	e.Slots = append(e.Slots, place.Slot{Slot: m.Slot, MemoryMB: m.MemoryMB, State: place.Loading, Since: now})
	if m.Slot.Adapter == "" {
		s.loads = append(s.loads, &loading{engine: i, slot: m.Slot})
	}
}

// measured is the demand as daemons see it.
func (s *site) measured(rates []float64) []member.ModelDemand {
	var list []member.ModelDemand
	for k, m := range s.doc.Models {
		own := rates[k]
		if n := len(m.Adapters); n > 0 {
			each := own * adapterShare / float64(n)
			own *= 1 - adapterShare
			for _, a := range m.Adapters {
				list = append(list, member.ModelDemand{Model: m.Name, Adapter: a.Name, PerSecond: each, TokensPerSecond: each * requestTokens})
			}
		}
		list = append(list, member.ModelDemand{Model: m.Name, PerSecond: own, TokensPerSecond: own * requestTokens, Queued: int(s.queued[k])})
	}
	return list
}
