package route

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// Health classifies whether an engine may be chosen.
type Health int

// The states of health. A stale engine has not reported for a while and is used only if no
// fresh engine holds the slot. Broken and leaving engines are not used.
const (
	HealthFresh Health = iota
	HealthStale
	HealthBroken
	HealthLeaving
)

// Engine is the last report of an engine, with the address and health that are known for it.
type Engine struct {
	VM         string
	Address    string
	DataCentre string
	Health     Health
	// Report is the last report of the engine; the engine's state may have changed since.
	Report engine.Report
	// MeasuredAt is when the report was measured, by this daemon's clock.
	MeasuredAt time.Time
	// PromptRate is the speed of prompt processing in tokens per second; 0 if unknown.
	PromptRate float64
}

// Cache maps the hash of each prompt prefix to the VMs of the engines that hold the prefix in
// their caches. It is a hint: an engine may have evicted the prefix since.
type Cache map[uint64][]string

// View is an immutable snapshot of the engines. Engines are sorted by VM; the number of an
// engine is its index in this order.
type View struct {
	DataCentre string
	Engines    []Engine
	index      *index
	holders    map[uint64]holders
}

// maxHolders limits the engines that are kept for a prefix.
const maxHolders = 4

// holders lists the numbers of engines that hold a prefix.
type holders struct {
	engines [maxHolders]int32
	count   int
}

// index maps slots to candidates. Views with the same engines and slots share an index.
type index struct {
	numbers    map[string]int32
	exact      map[envdoc.Slot]*candidates
	anyVersion map[unversionedSlot]*candidates
}

// unversionedSlot identifies a model or adapter in any version.
type unversionedSlot struct {
	model, adapter string
}

// candidates are the engines that hold a slot, in the daemon's own data centre and in others.
type candidates struct {
	local  []candidate
	remote []candidate
}

// candidate is an engine and the slot from which it would answer.
type candidate struct {
	engine int32
	slot   envdoc.Slot
}

// NewView returns the view of a daemon in dataCentre. The view takes ownership of engines
// and sorts them. It shares the index of previous, which may be nil, if the engines still
// hold the same slots. If cache is nil and the engines are the same, it keeps the cache of
// previous.
func NewView(dataCentre string, engines []Engine, cache Cache, previous *View) *View {
	sort.Slice(engines, func(i, j int) bool { return engines[i].VM < engines[j].VM })
	v := &View{DataCentre: dataCentre, Engines: engines}
	if previous != nil && previous.DataCentre == dataCentre && sameIndexInputs(previous.Engines, engines) {
		v.index = previous.index
	} else {
		v.index = newIndex(dataCentre, engines)
	}
	if cache == nil && v.SameEngines(previous) {
		v.holders = previous.holders
	} else {
		v.holders = v.numberHolders(cache)
	}
	return v
}

// Number returns the number of the engine on a VM, or -1 if the view has none there.
func (v *View) Number(vm string) int {
	if n, ok := v.index.numbers[vm]; ok {
		return int(n)
	}
	return -1
}

// SameEngines reports whether v and o give the same numbers to the same engines.
func (v *View) SameEngines(o *View) bool {
	return o != nil && (v.index == o.index || sameVMs(v.Engines, o.Engines))
}

// HasHolder reports whether a usable engine holds the model or adapter in any version.
func (v *View) HasHolder(model, adapter string) bool {
	c := v.index.anyVersion[unversionedSlot{model, adapter}]
	return c != nil && len(c.local)+len(c.remote) > 0
}

// AppendHolders appends the numbers of the usable engines that hold the slot of r to list,
// also of those that are ejected or have no room.
func (v *View) AppendHolders(r *Request, list []int) []int {
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

// numberHolders converts the VMs of a cache to engine numbers. It drops VMs that are not in
// the view.
func (v *View) numberHolders(cache Cache) map[uint64]holders {
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

// newIndex builds the index of the usable engines' slots.
func newIndex(dataCentre string, engines []Engine) *index {
	x := &index{
		numbers:    make(map[string]int32, len(engines)),
		exact:      make(map[envdoc.Slot]*candidates),
		anyVersion: make(map[unversionedSlot]*candidates),
	}
	for i := range engines {
		x.numbers[engines[i].VM] = int32(i)
	}
	x.add(dataCentre, engines, HealthFresh)
	x.add(dataCentre, engines, HealthStale)
	return x
}

// add adds the engines with the given health to the candidates of the slots for which no
// engine of a better health is listed. Engines whose role does not answer whole requests are
// left out.
func (x *index) add(dataCentre string, engines []Engine, health Health) {
	target := x
	if len(x.exact) > 0 {
		target = &index{exact: make(map[envdoc.Slot]*candidates), anyVersion: make(map[unversionedSlot]*candidates)}
	}
	for i := range engines {
		e := &engines[i]
		if e.Health != health || !e.Report.Role.RunsBothPhases() {
			continue
		}
		local := e.DataCentre == dataCentre
		for _, s := range e.Report.Slots {
			c := candidate{engine: int32(i), slot: s}
			if target == x || x.exact[s] == nil {
				target.exact[s] = target.exact[s].with(c, local)
			}
			if n := (unversionedSlot{s.Model, s.Adapter}); target == x || x.anyVersion[n] == nil {
				target.anyVersion[n] = target.anyVersion[n].with(c, local)
			}
		}
	}
	if target == x {
		return
	}
	maps.Copy(x.exact, target.exact)
	maps.Copy(x.anyVersion, target.anyVersion)
}

// with returns cs, or new candidates if cs is nil, with c added.
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

// sameIndexInputs reports whether two engine lists result in the same index.
func sameIndexInputs(a, b []Engine) bool {
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

// sameArray reports whether two lists share their array, which is cheaper than comparing them.
func sameArray(a, b []envdoc.Slot) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// sameVMs reports whether two lists have the same VMs in the same order.
func sameVMs(a, b []Engine) bool {
	return slices.EqualFunc(a, b, func(x, y Engine) bool { return x.VM == y.VM })
}
