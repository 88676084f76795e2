package place

import (
	"cmp"
	"slices"
)

// centre is a data centre with its known engines.
type centre struct {
	name    string
	engines []EngineMemory
}

// equal reports whether two data centres have the same name and engines.
func (c centre) equal(o centre) bool {
	return c.name == o.name && slices.Equal(c.engines, o.engines)
}

// allCentres returns this data centre and the remote data centres, sorted by name.
func allCentres(f Input) []centre {
	own := centre{name: f.DataCentre}
	for i := range f.Engines {
		own.engines = append(own.engines, EngineMemory{f.Engines[i].Pool, f.Engines[i].MemoryMB})
	}
	centres := []centre{own}
	for _, r := range f.Remotes {
		centres = append(centres, centre{r.DataCentre, r.Engines})
	}
	slices.SortFunc(centres, func(a, b centre) int { return cmp.Compare(a.name, b.name) })
	return slices.CompactFunc(centres, func(a, b centre) bool { return a.name == b.name })
}

// assignCentres sets the data centre that has the first turn to place each model, for
// the pools of which some data centre lacks the memory for all models. It leaves the
// models assigned to their homes while the engines of a data centre are unknown, and
// in pools whose models all fit into their homes.
func (x *index) assignCentres() {
	if len(x.centres) < 2 || slices.ContainsFunc(x.centres, func(c centre) bool { return len(c.engines) == 0 }) {
		return
	}
	pools := map[string][]int{}
	for k := range x.models {
		pools[x.models[k].Pool] = append(pools[x.models[k].Pool], k)
	}
	for pool, models := range pools {
		slices.SortFunc(models, x.compareBySize)
		if !x.fitsEachCentre(pool, models) {
			x.assignPool(pool, models)
		}
	}
}

// fitsEachCentre reports whether each data centre with engines of a pool has enough
// memory for all models of the pool.
func (x *index) fitsEachCentre(pool string, models []int) bool {
	for _, c := range x.centres {
		bins := binsOf([]centre{c}, pool)
		if len(bins) > 0 && len(x.pack(models, bins, false, false)) < len(models) && len(x.pack(models, bins, true, false)) < len(models) {
			return false
		}
	}
	return true
}

// assignPool assigns the models of a pool to data centres. Of four ways to pack them,
// with or without preference for their homes and by worst or best fit, it takes the
// first that places the most models.
func (x *index) assignPool(pool string, models []int) {
	bins := binsOf(x.centres, pool)
	var best map[int]string
	for _, preferHome := range []bool{true, false} {
		for _, bestFit := range []bool{false, true} {
			if placed := x.pack(models, bins, bestFit, preferHome); best == nil || len(placed) > len(best) {
				best = placed
			}
		}
	}
	for k, name := range best {
		x.models[k].assignedCentre = name
	}
}

// bin is the free memory of an engine while models are packed.
type bin struct {
	centre string
	freeMB int64
}

// binsOf returns a bin with the whole memory of each engine of a pool.
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

// pack places models with their adapters, in the given order, each on the engine with
// the least (best fit) or the most free memory. With preferHome, engines in the home of
// the model come first. It returns the data centre of each model that found an engine
// with enough memory.
func (x *index) pack(models []int, bins []bin, bestFit, preferHome bool) map[int]string {
	bins = slices.Clone(bins)
	placed := map[int]string{}
	for _, k := range models {
		m := &x.models[k]
		best := -1
		for i, b := range bins {
			if b.freeMB < m.groupMB {
				continue
			}
			if best < 0 || prefers(b, bins[best], m.home, bestFit, preferHome) {
				best = i
			}
		}
		if best >= 0 {
			bins[best].freeMB -= m.groupMB
			placed[k] = bins[best].centre
		}
	}
	return placed
}

// prefers reports whether b is a better engine than o for a model with the given home.
func prefers(b, o bin, home string, bestFit, preferHome bool) bool {
	if preferHome && (b.centre == home) != (o.centre == home) {
		return b.centre == home
	}
	if bestFit {
		return b.freeMB < o.freeMB
	}
	return b.freeMB > o.freeMB
}
