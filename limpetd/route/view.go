package route

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Health is how far an engine can be relied on.
type Health int

// The states of health. A stale engine has not reported for a while and is
// used only when no fresh one holds the slot. A broken or leaving engine is not
// used.
const (
	HealthFresh Health = iota
	HealthStale
	HealthBroken
	HealthLeaving
)

// Engine is what is known of an engine.
type Engine struct {
	VM         string
	Address    string
	DataCentre string
	Health     Health
	// Report is the last report; it lags.
	Report engine.Report
	// At is the time of the measurement in this daemon's clock.
	At time.Time
	// PromptRate is the speed of prompt processing in tokens a second.
	PromptRate float64
}

// Cache tells which engines hold a prompt prefix. It is a hint.
type Cache map[uint64][]string

// View is an immutable picture of the engines. Its engines are in the order of
// their VMs; an engine's number is its place in this order.
type View struct {
	DataCentre string
	Engines    []Engine
	index      *index
	holders    map[uint64]holders
}

// maxHolders is the number of engines remembered for a prefix.
const maxHolders = 4

// holders are the numbers of engines that hold a prefix.
type holders struct {
	engines [maxHolders]int32
	count   int
}

// index finds candidates. Views with the same engines and slots share it.
type index struct {
	numbers map[string]int32
	exact   map[envdoc.Slot]*candidates
	named   map[name]*candidates
}

// name names a model or adapter in any version.
type name struct {
	model, adapter string
}

// candidates are the engines that hold a slot.
type candidates struct {
	local  []candidate
	remote []candidate
}

// candidate is an engine with the slot that it would answer from.
type candidate struct {
	engine int32
	slot   envdoc.Slot
}

// NewView returns the view of a daemon in dataCentre. It takes over engines. It
// shares the index of previous, which may be nil, when the engines still hold
// the same slots. A nil cache keeps the cache of previous, if the engines are the
// same.
func NewView(dataCentre string, engines []Engine, cache Cache, previous *View) *View {
	sort.Slice(engines, func(i, j int) bool { return engines[i].VM < engines[j].VM })
	v := &View{DataCentre: dataCentre, Engines: engines}
	if previous != nil && previous.DataCentre == dataCentre && sameSlots(previous.Engines, engines) {
		v.index = previous.index
	} else {
		v.index = newIndex(dataCentre, engines)
	}
	if cache == nil && v.SameEngines(previous) {
		v.holders = previous.holders
	} else {
		v.holders = v.number(cache)
	}
	return v
}

// Number returns the number of an engine, or -1.
func (v *View) Number(vm string) int {
	if n, ok := v.index.numbers[vm]; ok {
		return int(n)
	}
	return -1
}

// SameEngines tells whether v and o number the same engines.
func (v *View) SameEngines(o *View) bool {
	return o != nil && (v.index == o.index || sameVMs(v.Engines, o.Engines))
}

// Holds tells whether any usable engine holds the model or adapter.
func (v *View) Holds(model, adapter string) bool {
	c := v.index.named[name{model, adapter}]
	return c != nil && len(c.local)+len(c.remote) > 0
}

// Holders appends to list the numbers of the engines that could answer r.
func (v *View) Holders(r *Request, list []int) []int {
	cs := v.find(r)
	if cs == nil {
		return list
	}
	for i := range cs.local {
		list = append(list, int(cs.local[i].engine))
	}
	for i := range cs.remote {
		list = append(list, int(cs.remote[i].engine))
	}
	return list
}

// number replaces VMs by engine numbers.
func (v *View) number(cache Cache) map[uint64]holders {
	m := make(map[uint64]holders, len(cache))
	for prefix, vms := range cache {
		var h holders
		for _, vm := range vms {
			if n := v.Number(vm); n >= 0 && h.count < maxHolders {
				h.engines[h.count] = int32(n)
				h.count++
			}
		}
		m[prefix] = h
	}
	return m
}

// newIndex indexes the slots of the usable engines.
func newIndex(dataCentre string, engines []Engine) *index {
	x := &index{
		numbers: make(map[string]int32, len(engines)),
		exact:   make(map[envdoc.Slot]*candidates),
		named:   make(map[name]*candidates),
	}
	for i := range engines {
		x.numbers[engines[i].VM] = int32(i)
	}
	x.add(dataCentre, engines, HealthFresh)
	x.add(dataCentre, engines, HealthStale)
	return x
}

// add adds the engines of one health to the lists that have none yet of a
// better health.
func (x *index) add(dataCentre string, engines []Engine, health Health) {
	to := x
	if len(x.exact) > 0 {
		to = &index{exact: make(map[envdoc.Slot]*candidates), named: make(map[name]*candidates)}
	}
	for i := range engines {
		e := &engines[i]
		if e.Health != health || !e.Report.Role.Whole() {
			continue
		}
		local := e.DataCentre == dataCentre
		for _, s := range e.Report.Slots {
			c := candidate{engine: int32(i), slot: s}
			if to == x || x.exact[s] == nil {
				to.exact[s] = to.exact[s].with(c, local)
			}
			if n := (name{s.Model, s.Adapter}); to == x || x.named[n] == nil {
				to.named[n] = to.named[n].with(c, local)
			}
		}
	}
	if to == x {
		return
	}
	maps.Copy(x.exact, to.exact)
	maps.Copy(x.named, to.named)
}

// with returns the candidates with c added.
func (cs *candidates) with(c candidate, local bool) *candidates {
	if cs == nil {
		cs = &candidates{}
	}
	if local {
		cs.local = append(cs.local, c)
	} else {
		cs.remote = append(cs.remote, c)
	}
	return cs
}

// sameSlots tells whether two lists give the same index.
func sameSlots(a, b []Engine) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := &a[i], &b[i]
		if x.VM != y.VM || x.Health != y.Health || x.DataCentre != y.DataCentre || x.Report.Role != y.Report.Role {
			return false
		}
		if !sameArray(x.Report.Slots, y.Report.Slots) && !slices.Equal(x.Report.Slots, y.Report.Slots) {
			return false
		}
	}
	return true
}

// sameArray tells quickly that two lists are equal because they are one.
func sameArray(a, b []envdoc.Slot) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// sameVMs tells whether two lists have the same VMs in the same order.
func sameVMs(a, b []Engine) bool {
	return slices.EqualFunc(a, b, func(x, y Engine) bool { return x.VM == y.VM })
}
