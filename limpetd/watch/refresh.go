package watch

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	// cachePeriod is the least time between two collections of the holders of
	// prefixes.
	cachePeriod = time.Second
	// extraReaders is the number of daemons that read an engine without news,
	// besides those chosen.
	extraReaders = 3
	// pairedDaemons is the number of daemons of a data centre up to which two
	// read each engine. Beyond it one does, and tells so many others that a
	// second reader costs more than a late takeover.
	pairedDaemons = 26
)

// refresh takes the VM list if it changed, renews the view and returns the engines that are
// due to be read.
func (w *Watch) refresh(now time.Time) []store.VM {
	vms := w.deps.VMs.VMs()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(vms, w.vms) {
		w.vms = slices.Clone(vms)
		w.takeVMs(vms, now)
		w.choose(vms)
	}
	w.renew(now)
	return w.dueEngines(now)
}

// renew makes a new view.
func (w *Watch) renew(now time.Time) {
	w.view.Store(route.NewView(w.config.DataCentre, w.list(now), w.cache(now), w.view.Load()))
}

// takeVMs adds new engines and forgets those that are no longer listed.
func (w *Watch) takeVMs(vms []store.VM, now time.Time) {
	listed := make(map[string]bool, len(w.engines))
	for _, vm := range vms {
		if vm.Kind != store.KindEngine {
			continue
		}
		listed[vm.ID] = true
		s := w.engines[vm.ID]
		if s == nil {
			s = &state{listed: now}
			w.engines[vm.ID] = s
		}
		s.vm = vm
	}
	w.order = w.order[:0]
	for id := range w.engines {
		if !listed[id] {
			delete(w.engines, id)
			continue
		}
		w.order = append(w.order, id)
	}
	sort.Strings(w.order)
}

// choose finds the engines that this daemon reads.
func (w *Watch) choose(vms []store.VM) {
	var daemons []string
	for _, vm := range vms {
		if vm.Kind == store.KindEntry && vm.DataCentre == w.config.DataCentre && vm.State == store.StateLive {
			daemons = append(daemons, vm.ID)
		}
	}
	w.daemons = len(daemons)
	chosen := newReaders(daemons)
	clear(w.mine)
	for id, s := range w.engines {
		if s.vm.DataCentre == w.config.DataCentre && chosen.has(id, w.config.VM) {
			w.mine[id] = true
		}
	}
}

// engineReaders chooses the daemons that read an engine.
type engineReaders struct {
	table *rendezvous.Rendezvous
	// paired tells that each engine has a second reader.
	paired bool
}

// newReaders chooses among daemons; all of them when there are none.
func newReaders(daemons []string) engineReaders {
	if len(daemons) == 0 {
		return engineReaders{}
	}
	return engineReaders{table: rendezvous.New(daemons, xxhash.Sum64String), paired: len(daemons) <= pairedDaemons}
}

// has tells whether daemon reads engine. Two independent choices may fall on the
// same daemon.
func (r engineReaders) has(engine, daemon string) bool {
	if r.table == nil {
		return true
	}
	return r.table.Lookup(engine) == daemon || r.paired && r.table.Lookup("second/"+engine) == daemon
}

// list returns the engines for the view.
func (w *Watch) list(now time.Time) []route.Engine {
	engines := make([]route.Engine, 0, len(w.engines))
	for _, id := range w.order {
		s := w.engines[id]
		if !s.known {
			continue
		}
		if s.farSlots != nil {
			s.listFar(now)
		}
		engines = append(engines, route.Engine{
			VM:         id,
			Address:    s.vm.Address,
			DataCentre: s.vm.DataCentre,
			Health:     s.health(now),
			Report:     s.report,
			At:         s.at,
			PromptRate: s.promptRate,
		})
	}
	return engines
}

// cache returns the holders of each prefix, or nil when they have not changed or
// were collected a moment ago.
func (w *Watch) cache(now time.Time) route.Cache {
	if now.Sub(w.cacheBuilt) < cachePeriod {
		return nil
	}
	changed := false
	for _, s := range w.engines {
		changed = changed || s.cache.changed
	}
	if !changed {
		return nil
	}
	w.cacheBuilt = now
	c := make(route.Cache)
	for _, id := range w.order {
		s := w.engines[id]
		s.cache.changed = false
		for p := range s.cache.prefixes {
			c[p] = append(c[p], id)
		}
	}
	return c
}

// dueEngines returns the engines that are due and marks them as being read.
func (w *Watch) dueEngines(now time.Time) []store.VM {
	var due []store.VM
	for _, id := range w.order {
		s := w.engines[id]
		if !w.mine[id] {
			// Others read it; their reports tell whether it works.
			s.failures = 0
		}
		if s.reading || now.Before(s.due) {
			continue
		}
		s.due = now.Add(w.period - time.Duration(w.random.Int64N(int64(w.period/4)+1)))
		s.helping = !w.mine[id] && w.helps(s, now)
		if !w.mine[id] && !s.helping {
			continue
		}
		s.reading = true
		due = append(due, s.vm)
	}
	return due
}

// helps tells whether this daemon reads an engine that others are chosen for,
// because there is no news of it. It goes on while its own reads are the newest.
func (w *Watch) helps(s *state, now time.Time) bool {
	if s.helping && s.read && s.health(now) == route.HealthFresh {
		return true
	}
	if s.vm.DataCentre != w.config.DataCentre || s.health(now) != route.HealthStale {
		return false
	}
	if now.Sub(s.listed) < staleAfter {
		return false
	}
	return w.random.IntN(max(w.daemons, 1)) < extraReaders
}
