package place

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// declaredModel is a model of the document with the values that placement derives
// from the model.
type declaredModel struct {
	*envdoc.Model
	slot envdoc.Slot
	// groupMB is the memory of the model with all adapters.
	groupMB int64
	// adapterIndex maps the name of an adapter to its index in Adapters.
	adapterIndex map[string]int
	// home is the data centre with the highest priority for keeping the model.
	home string
	// assignedCentre is the data centre that has the first turn to place the model
	// when memory is scarce.
	assignedCentre string
}

// index holds the declared models of a document and the data derived from them and
// from the data centres.
type index struct {
	document *envdoc.Document
	centres  []centre
	// centreNames are the names of the data centres, sorted.
	centreNames []string
	models      []declaredModel
	byName      map[string]int
	// largestMB is the memory of the largest model of each pool, without adapters.
	largestMB map[string]int64
	// centreCounts is the number of data centres with engines of each pool.
	centreCounts map[string]int
	// order lists the models in the order of placement: the models that are assigned
	// to this data centre first, then by descending memory.
	order []int
}

// newIndex returns the index of a document for a data centre.
func newIndex(doc *envdoc.Document, dataCentre string, centres []centre) *index {
	x := &index{
		document:     doc,
		centres:      centres,
		models:       make([]declaredModel, len(doc.Models)),
		byName:       make(map[string]int, len(doc.Models)),
		largestMB:    map[string]int64{},
		centreCounts: map[string]int{},
		order:        make([]int, len(doc.Models)),
	}
	for _, c := range centres {
		x.centreNames = append(x.centreNames, c.name)
	}
	homes := rendezvous.New(x.centreNames, xxhash.Sum64String)
	for i := range doc.Models {
		m := &doc.Models[i]
		x.models[i] = newDeclaredModel(m, homes.Lookup(m.Name))
		x.byName[m.Name] = i
		x.largestMB[m.Pool] = max(x.largestMB[m.Pool], m.MemoryMB)
		x.order[i] = i
	}
	x.countCentres()
	x.assignCentres()
	slices.SortFunc(x.order, func(a, b int) int { return x.compare(a, b, dataCentre) })
	return x
}

// newDeclaredModel returns a model that is assigned to its home.
func newDeclaredModel(m *envdoc.Model, home string) declaredModel {
	d := declaredModel{
		Model:          m,
		slot:           envdoc.Slot{Model: m.Name, Version: m.Version},
		groupMB:        m.MemoryMB,
		adapterIndex:   make(map[string]int, len(m.Adapters)),
		home:           home,
		assignedCentre: home,
	}
	for j, a := range m.Adapters {
		d.groupMB += a.MemoryMB
		d.adapterIndex[a.Name] = j
	}
	return d
}

// countCentres counts the data centres with engines of each pool. A data centre
// whose engines are unknown counts for every pool.
func (x *index) countCentres() {
	for pool := range x.largestMB {
		for _, c := range x.centres {
			if len(c.engines) == 0 || slices.ContainsFunc(c.engines, func(m EngineMemory) bool { return m.Pool == pool }) {
				x.centreCounts[pool]++
			}
		}
	}
}

// compare orders models for placement in a data centre: the models assigned to it
// first, then by descending memory, then by name.
func (x *index) compare(a, b int, dataCentre string) int {
	m, o := x.models[a], x.models[b]
	if (m.assignedCentre == dataCentre) != (o.assignedCentre == dataCentre) {
		if m.assignedCentre == dataCentre {
			return -1
		}
		return 1
	}
	return x.compareBySize(a, b)
}

// compareBySize orders models by descending memory with adapters, then by name.
func (x *index) compareBySize(a, b int) int {
	m, o := x.models[a], x.models[b]
	if m.groupMB != o.groupMB {
		if m.groupMB > o.groupMB {
			return -1
		}
		return 1
	}
	return strings.Compare(m.Name, o.Name)
}

// adapterSlot returns the slot of a declared adapter, given its index.
func (d *declaredModel) adapterSlot(j int) envdoc.Slot {
	a := d.Adapters[j]
	return envdoc.Slot{Model: d.Name, Adapter: a.Name, Version: a.Version}
}
