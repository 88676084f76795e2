package place

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// declared is a model of the document with what placement derives from it.
type declared struct {
	*envdoc.Model
	slot envdoc.Slot
	// groupMB is the memory of the model with all adapters.
	groupMB  int64
	adapters map[string]int
	// home is the first in the order in which data centres keep the model.
	home string
	// keeper is the data centre that places it first when memory is short.
	keeper string
}

// index finds the declared models of a document by name.
type index struct {
	document *envdoc.Document
	centres  []centre
	// names are the data centres, sorted.
	names  []string
	models []declared
	byName map[string]int
	// largestMB is the largest model of each pool.
	largestMB map[string]int64
	// centresOf counts the data centres of a pool.
	centresOf map[string]int
	// order lists models by home and size, the data centre's own ones first.
	order []int
}

// newIndex derives the index of a document for a data centre.
func newIndex(doc *envdoc.Document, dataCentre string, centres []centre) *index {
	x := &index{
		document:  doc,
		centres:   centres,
		models:    make([]declared, len(doc.Models)),
		byName:    make(map[string]int, len(doc.Models)),
		largestMB: map[string]int64{},
		centresOf: map[string]int{},
		order:     make([]int, len(doc.Models)),
	}
	for _, c := range centres {
		x.names = append(x.names, c.name)
	}
	homes := rendezvous.New(x.names, xxhash.Sum64String)
	for i := range doc.Models {
		m := &doc.Models[i]
		x.models[i] = declare(m, homes.Lookup(m.Name))
		x.byName[m.Name] = i
		x.largestMB[m.Pool] = max(x.largestMB[m.Pool], m.MemoryMB)
		x.order[i] = i
	}
	x.countCentres()
	x.shareOut()
	slices.SortFunc(x.order, func(a, b int) int { return x.compare(a, b, dataCentre) })
	return x
}

// declare derives what placement needs of a model.
func declare(m *envdoc.Model, home string) declared {
	d := declared{
		Model:    m,
		slot:     envdoc.Slot{Model: m.Name, Version: m.Version},
		groupMB:  m.MemoryMB,
		adapters: make(map[string]int, len(m.Adapters)),
		home:     home,
		keeper:   home,
	}
	for j, a := range m.Adapters {
		d.groupMB += a.MemoryMB
		d.adapters[a.Name] = j
	}
	return d
}

// countCentres counts the data centres of each pool. One whose engines are
// unknown counts for all.
func (x *index) countCentres() {
	for pool := range x.largestMB {
		for _, c := range x.centres {
			if len(c.engines) == 0 || slices.ContainsFunc(c.engines, func(m Memory) bool { return m.Pool == pool }) {
				x.centresOf[pool]++
			}
		}
	}
}

// compare orders models: those kept here first, then large ones, then names.
func (x *index) compare(a, b int, dataCentre string) int {
	m, o := x.models[a], x.models[b]
	if (m.keeper == dataCentre) != (o.keeper == dataCentre) {
		if m.keeper == dataCentre {
			return -1
		}
		return 1
	}
	return x.bySize(a, b)
}

// bySize orders models: large ones first, then by name.
func (x *index) bySize(a, b int) int {
	m, o := x.models[a], x.models[b]
	if m.groupMB != o.groupMB {
		if m.groupMB > o.groupMB {
			return -1
		}
		return 1
	}
	return strings.Compare(m.Name, o.Name)
}

// adapterSlot returns the slot of a declared adapter.
func (d *declared) adapterSlot(j int) envdoc.Slot {
	a := d.Adapters[j]
	return envdoc.Slot{Model: d.Name, Adapter: a.Name, Version: a.Version}
}
