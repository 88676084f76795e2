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
	// prefixHoldersPeriod is the minimum time between two rebuilds of the map from
	// prefixes to the engines that hold them.
	prefixHoldersPeriod = time.Second
	// extraReaders is the expected number of daemons that read a stale engine
	// besides its assigned readers.
	extraReaders = 3
	// maxPairedDaemons is the largest number of daemons in a data centre with which
	// each engine has two readers. With more daemons it has one: the reader passes
	// its reports on to so many daemons that a second reader costs more than a late
	// takeover.
	maxPairedDaemons = 26
)

// refresh applies the VM list if it changed, updates the view and returns the
// engines that are due to be read.
func (w *Watch) refresh(now time.Time) []store.VM {
	vms := w.deps.VMs.VMs()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(vms, w.vms) {
		w.vms = slices.Clone(vms)
		w.updateEngines(vms, now)
		w.assignEngines(vms)
	}
	w.updateView(now)
	return w.dueEngines(now)
}

// updateView builds and publishes a new view.
func (w *Watch) updateView(now time.Time) {
	w.view.Store(route.NewView(w.config.DataCentre, w.viewEngines(now), w.prefixHolders(now), w.view.Load()))
}

// updateEngines adds the engines that are new in the VM list and removes those that
// are no longer listed.
func (w *Watch) updateEngines(vms []store.VM, now time.Time) {
	listed := make(map[string]bool, len(w.engines))
	for _, vm := range vms {
		if vm.Kind != store.KindEngine {
			continue
		}
		listed[vm.ID] = true
		s := w.engines[vm.ID]
		if s == nil {
			s = &engineState{firstSeen: now}
			w.engines[vm.ID] = s
		}
		s.vm = vm
	}
	w.engineIDs = w.engineIDs[:0]
	for id := range w.engines {
		if !listed[id] {
			delete(w.engines, id)
			continue
		}
		w.engineIDs = append(w.engineIDs, id)
	}
	sort.Strings(w.engineIDs)
}

// assignEngines determines the engines of the data centre that this daemon reads.
func (w *Watch) assignEngines(vms []store.VM) {
	var daemons []string
	for _, vm := range vms {
		if vm.Kind == store.KindEntry && vm.DataCentre == w.config.DataCentre && vm.State == store.StateLive {
			daemons = append(daemons, vm.ID)
		}
	}
	w.daemonCount = len(daemons)
	assignment := newReaderAssignment(daemons)
	clear(w.assigned)
	for id, s := range w.engines {
		if s.vm.DataCentre == w.config.DataCentre && assignment.reads(id, w.config.VM) {
			w.assigned[id] = true
		}
	}
}

// readerAssignment assigns one or two daemons to each engine as its readers.
type readerAssignment struct {
	table *rendezvous.Rendezvous
	// paired indicates whether each engine has a second reader.
	paired bool
}

// newReaderAssignment returns the assignment of engines to daemons. If daemons is
// empty, every daemon is a reader of every engine.
func newReaderAssignment(daemons []string) readerAssignment {
	if len(daemons) == 0 {
		return readerAssignment{}
	}
	return readerAssignment{table: rendezvous.New(daemons, xxhash.Sum64String), paired: len(daemons) <= maxPairedDaemons}
}

// reads reports whether daemon is a reader of engine. The two readers are chosen
// independently and may be the same daemon.
func (r readerAssignment) reads(engine, daemon string) bool {
	if r.table == nil {
		return true
	}
	return r.table.Lookup(engine) == daemon || r.paired && r.table.Lookup("second/"+engine) == daemon
}

// viewEngines returns the engines that have reported, for the view.
func (w *Watch) viewEngines(now time.Time) []route.Engine {
	engines := make([]route.Engine, 0, len(w.engines))
	for _, id := range w.engineIDs {
		s := w.engines[id]
		if !s.reported {
			continue
		}
		if s.remoteSlots != nil {
			s.expireRemoteSlots(now)
		}
		engines = append(engines, route.Engine{
			VM:         id,
			Address:    s.vm.Address,
			DataCentre: s.vm.DataCentre,
			Health:     s.health(now),
			Report:     s.report,
			MeasuredAt: s.measuredAt,
			PromptRate: s.promptRate,
		})
	}
	return engines
}

// prefixHolders returns the engines that hold each prefix, or nil if no index has
// changed or the last rebuild is more recent than prefixHoldersPeriod.
func (w *Watch) prefixHolders(now time.Time) route.Cache {
	if now.Sub(w.prefixHoldersAt) < prefixHoldersPeriod {
		return nil
	}
	changed := false
	for _, s := range w.engines {
		changed = changed || s.prefixIndex.changed
	}
	if !changed {
		return nil
	}
	w.prefixHoldersAt = now
	c := make(route.Cache)
	for _, id := range w.engineIDs {
		s := w.engines[id]
		s.prefixIndex.changed = false
		for p := range s.prefixIndex.prefixes {
			c[p] = append(c[p], id)
		}
	}
	return c
}

// dueEngines returns the engines that this daemon is due to read and marks them as
// being read.
func (w *Watch) dueEngines(now time.Time) []store.VM {
	var due []store.VM
	for _, id := range w.engineIDs {
		s := w.engines[id]
		if !w.assigned[id] {
			// Other daemons read this engine; their reports show whether it works.
			s.failures = 0
		}
		if s.reading || now.Before(s.nextRead) {
			continue
		}
		s.nextRead = now.Add(w.period - time.Duration(w.random.Int64N(int64(w.period/4)+1)))
		s.takeover = !w.assigned[id] && w.shouldTakeOver(s, now)
		if !w.assigned[id] && !s.takeover {
			continue
		}
		s.reading = true
		due = append(due, s.vm)
	}
	return due
}

// shouldTakeOver reports whether this daemon reads an engine that is assigned to
// other daemons. If an engine of the data centre is stale, each daemon starts a
// takeover with probability extraReaders/daemonCount in each period, but not within
// staleAfter of the time when the VM list first contained the engine. A takeover
// continues while the newest report is fresh and was read by this daemon.
func (w *Watch) shouldTakeOver(s *engineState, now time.Time) bool {
	if s.takeover && s.readLocally && s.health(now) == route.HealthFresh {
		return true
	}
	if s.vm.DataCentre != w.config.DataCentre || s.health(now) != route.HealthStale {
		return false
	}
	if now.Sub(s.firstSeen) < staleAfter {
		return false
	}
	return w.random.IntN(max(w.daemonCount, 1)) < extraReaders
}
