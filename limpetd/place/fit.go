package place

import (
	"fmt"
	"slices"
	"strings"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// bin is the memory of an engine while models are packed.
type bin struct {
	free   int64
	models map[string]bool
}

// Fit tells whether the declared models and adapters, each at its minimum of
// replicas, fit the engines of their pools over all data centres. The error has
// code DocumentUnfit and names what doesn't fit. The packing is a heuristic: it
// may refuse a document that only a perfect packing would fit.
func Fit(doc *envdoc.Document, engines []store.VM) error {
	pools := map[string][]*envdoc.Model{}
	var names []string
	for i := range doc.Models {
		m := &doc.Models[i]
		if !slices.Contains(names, m.Pool) {
			names = append(names, m.Pool)
		}
		pools[m.Pool] = append(pools[m.Pool], m)
	}
	var unfit []string
	for _, pool := range names {
		unfit = append(unfit, fitPool(pool, pools[pool], engines)...)
	}
	if len(unfit) == 0 {
		return nil
	}
	return code.Errorf(code.DocumentUnfit, "%s", strings.Join(unfit, "; "))
}

// fitPool returns what does not fit a pool: with the engine that leaves least,
// or else with the one that has most room.
func fitPool(pool string, models []*envdoc.Model, engines []store.VM) []string {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b *envdoc.Model) int {
		x, y := groupMB(a), groupMB(b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	var unfit []string
	for _, tight := range []bool{true, false} {
		unfit = pack(pool, sorted, bins(pool, engines), tight)
		if len(unfit) == 0 {
			return nil
		}
	}
	return unfit
}

// bins returns the empty engines of a pool.
func bins(pool string, engines []store.VM) []bin {
	var list []bin
	for _, v := range engines {
		if v.Kind == store.KindEngine && v.Pool == pool {
			list = append(list, bin{free: v.MemoryMB, models: map[string]bool{}})
		}
	}
	return list
}

// groupMB is the memory of a model with its adapters.
func groupMB(m *envdoc.Model) int64 {
	sum := m.MemoryMB
	for _, a := range m.Adapters {
		sum += a.MemoryMB
	}
	return sum
}

// pack places models, the largest first, and returns what found no room.
func pack(pool string, models []*envdoc.Model, list []bin, tight bool) []string {
	var unfit []string
	for _, m := range models {
		unfit = append(unfit, packModel(pool, m, list, tight)...)
	}
	return unfit
}

// packModel places the replicas of a model: one with all adapters if that fits,
// else the adapters over as many replicas as they take.
func packModel(pool string, m *envdoc.Model, list []bin, tight bool) []string {
	placed := 0
	rest := slices.Clone(m.Adapters)
	for placed < max(1, m.MinReplicas) || len(rest) > 0 {
		want := m.MemoryMB
		for _, a := range rest {
			want += a.MemoryMB
		}
		b := find(list, m.Name, want, tight)
		if b == nil {
			least := m.MemoryMB
			if len(rest) > 0 {
				least += rest[0].MemoryMB
			}
			b = find(list, m.Name, least, false)
		}
		if b == nil {
			return []string{lacking(pool, m, placed, rest, len(list))}
		}
		b.models[m.Name] = true
		b.free -= m.MemoryMB
		placed++
		rest = slices.DeleteFunc(rest, func(a envdoc.Adapter) bool {
			if a.MemoryMB > b.free {
				return false
			}
			b.free -= a.MemoryMB
			return true
		})
	}
	return nil
}

// lacking says what of a model found no room.
func lacking(pool string, m *envdoc.Model, placed int, rest []envdoc.Adapter, engines int) string {
	if placed == 0 {
		return fmt.Sprintf("model %s (%d MB) fits none of the %d engines of pool %s", m.Name, m.MemoryMB, engines, pool)
	}
	if len(rest) > 0 {
		return fmt.Sprintf("adapter %s of model %s (%d MB) finds no room in pool %s", rest[0].Name, m.Name, rest[0].MemoryMB, pool)
	}
	return fmt.Sprintf("model %s finds room for %d of %d replicas in pool %s", m.Name, placed, m.MinReplicas, pool)
}

// find returns the engine with room that leaves least, or most, and does not hold
// the model yet.
func find(list []bin, model string, memoryMB int64, tight bool) *bin {
	var best *bin
	for i := range list {
		b := &list[i]
		if b.free < memoryMB || b.models[model] {
			continue
		}
		if best == nil || (tight && b.free < best.free) || (!tight && b.free > best.free) {
			best = b
		}
	}
	return best
}
