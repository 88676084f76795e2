package place

import (
	"cmp"
	"slices"
)

// centre is a data centre with the engines that it is known to have.
type centre struct {
	name    string
	engines []Memory
}

// equal tells whether two are the same.
func (c centre) equal(o centre) bool {
	return c.name == o.name && slices.Equal(c.engines, o.engines)
}

// centresOf returns the data centres in the order of names.
func centresOf(f Facts) []centre {
	own := centre{name: f.DataCentre}
	for i := range f.Engines {
		own.engines = append(own.engines, Memory{f.Engines[i].Pool, f.Engines[i].MemoryMB})
	}
	centres := []centre{own}
	for _, r := range f.Remotes {
		centres = append(centres, centre{r.DataCentre, r.Engines})
	}
	slices.SortFunc(centres, func(a, b centre) int { return cmp.Compare(a.name, b.name) })
	return slices.CompactFunc(centres, func(a, b centre) bool { return a.name == b.name })
}

// shareOut chooses the data centre that places each model first, for the pools of
// which a data centre has no room for all models. It stays the home while the
// engines of a data centre are unknown, and where the homes have the room.
func (x *index) shareOut() {
	if len(x.centres) < 2 || slices.ContainsFunc(x.centres, func(c centre) bool { return len(c.engines) == 0 }) {
		return
	}
	pools := map[string][]int{}
	for k := range x.models {
		pools[x.models[k].Pool] = append(pools[x.models[k].Pool], k)
	}
	for pool, models := range pools {
		slices.SortFunc(models, x.bySize)
		if !x.everywhere(pool, models) {
			x.sharePool(pool, models)
		}
	}
}

// everywhere tells whether each data centre has room for all models of a pool.
func (x *index) everywhere(pool string, models []int) bool {
	for _, c := range x.centres {
		bins := binsOf([]centre{c}, pool)
		if len(bins) > 0 && len(x.pack(models, bins, false, false)) < len(models) && len(x.pack(models, bins, true, false)) < len(models) {
			return false
		}
	}
	return true
}

// sharePool keeps the models of a pool at home if there is room, or else in the
// data centres that an attempt to pack them gives that places most.
func (x *index) sharePool(pool string, models []int) {
	bins := binsOf(x.centres, pool)
	var best map[int]string
	for _, home := range []bool{true, false} {
		for _, tight := range []bool{false, true} {
			if placed := x.pack(models, bins, tight, home); best == nil || len(placed) > len(best) {
				best = placed
			}
		}
	}
	for k, name := range best {
		x.models[k].keeper = name
	}
}

// bin is the memory of an engine while models are packed.
type bin struct {
	centre string
	free   int64
}

// binsOf returns the empty engines of a pool.
func binsOf(centres []centre, pool string) []bin {
	var bins []bin
	for _, c := range centres {
		for _, e := range c.engines {
			if e.Pool == pool {
				bins = append(bins, bin{c.name, e.MemoryMB})
			}
		}
	}
	return bins
}

// pack places models with their adapters, in their order, on the engine with
// least or most room, at home first if so wished. It returns the data centres of
// those that found room.
func (x *index) pack(models []int, bins []bin, tight, home bool) map[int]string {
	bins = slices.Clone(bins)
	placed := map[int]string{}
	for _, k := range models {
		m := &x.models[k]
		best := -1
		for i, b := range bins {
			if b.free < m.groupMB {
				continue
			}
			if best < 0 || prefers(b, bins[best], m.home, tight, home) {
				best = i
			}
		}
		if best >= 0 {
			bins[best].free -= m.groupMB
			placed[k] = bins[best].centre
		}
	}
	return placed
}

// prefers tells whether b is the better engine for a model.
func prefers(b, o bin, name string, tight, home bool) bool {
	if home && (b.centre == name) != (o.centre == name) {
		return b.centre == name
	}
	if tight {
		return b.free < o.free
	}
	return b.free > o.free
}
