package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// planState is the state from which the lease holder plans. Only the goroutine of
// planLoop uses it.
type planState struct {
	demand     demand
	engines    map[string]*engineState
	storeLoads loadLimiter
	loads      loadTable
	// leaving holds when a daemon reported that a server announced its leaving.
	leaving map[serverStart]time.Time
	fence   int64
	// startedAt is when the state was created, at the start of a lease.
	startedAt time.Time
	// adapters and unloading are those last published to this daemon's router.
	adapters, unloading map[string][]string
}

// engineState is the lease holder's record of an engine.
type engineState struct {
	server *layout.Server
	// synced indicates whether acceptedOrders and models are those of the engine,
	// from a report and the answers to orders since.
	synced            bool
	acceptedOrders    int64
	models            map[string]map[string]bool
	adaptersInTransit int
	// loading and unloadInFlight are the models that the engine is loading and unloading.
	loading, unloadInFlight string
	modelsChangedAt         time.Time
	// freedFor is the model that memory was freed for. The memory is kept for it until
	// freedUntil.
	freedFor         string
	freedUntil       time.Time
	inMemory, onDisk map[string]bool
	// inFlight indicates whether orders or a report request to the engine are in
	// flight. nextReportAt is the earliest time of the next report request.
	inFlight     bool
	nextReportAt time.Time
	// unreachableSince is zero while the engine is reachable.
	unreachableSince time.Time
	// pendingAdapters are the adapters that were ordered and can't be used yet, as
	// MODEL/ADAPTER.
	pendingAdapters map[string]bool
	// unloading are the models that daemons must stop using before they are unloaded.
	unloading map[string]bool
}

func newEngineState(s *layout.Server) *engineState {
	e := &engineState{server: s, models: map[string]map[string]bool{}, unloading: map[string]bool{}, pendingAdapters: map[string]bool{}}
	e.updateEntry(s)
	return e
}

// updateEntry records a new entry of the engine in the list of servers, which shows
// finished loads and unloads.
func (e *engineState) updateEntry(s *layout.Server) {
	e.server = s
	e.inMemory, e.onDisk = toSet(s.InMemory), toSet(s.OnDisk)
	if _, ok := s.Models[e.loading]; e.loading != "" && ok {
		e.models[e.loading] = map[string]bool{}
		e.loading = ""
	}
	if _, ok := s.Models[e.unloadInFlight]; e.unloadInFlight != "" && !ok {
		e.removeModel(e.unloadInFlight)
	}
	if !e.synced {
		e.setModels(s.Models)
	}
}

func (e *engineState) removeModel(model string) {
	delete(e.models, model)
	delete(e.unloading, model)
	if e.unloadInFlight == model {
		e.unloadInFlight = ""
	}
}

// setModels replaces the models that the engine holds.
func (e *engineState) setModels(models map[string]layout.HeldModel) {
	e.models = make(map[string]map[string]bool, len(models))
	for name, held := range models {
		e.models[name] = toSet(held.Adapters)
	}
}

func toSet(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, name := range list {
		out[name] = true
	}
	return out
}

// applyReport updates the state from a report of the engine. It ignores a report from
// before the last accepted order.
func (e *engineState) applyReport(r EngineReport, now time.Time) {
	e.unreachableSince = time.Time{}
	if r.AcceptedOrders < e.acceptedOrders {
		e.nextReportAt = now.Add(retryDelay)
		return
	}
	e.acceptedOrders = r.AcceptedOrders
	e.adaptersInTransit = r.AdaptersInTransit
	e.inMemory, e.onDisk = toSet(r.InMemory), toSet(r.OnDisk)
	e.setModels(r.Models)
	if r.Busy {
		e.synced = false
		e.nextReportAt = now.Add(retryDelay)
		return
	}
	e.synced = true
	e.loading, e.unloadInFlight = "", ""
	clear(e.unloading)
}

// resync marks the state as outdated and schedules a report request after delay.
func (e *engineState) resync(now time.Time, delay time.Duration) {
	e.synced = false
	e.nextReportAt = now.Add(delay)
}

// updateServers adds, updates and removes engines according to the list of servers.
func (p *planState) updateServers(servers []*layout.Server, config *layout.Config) {
	listed := map[string]bool{}
	for _, s := range servers {
		if c := config.Services[s.Service]; c == nil || c.Engines == nil {
			continue
		}
		listed[s.ID] = true
		e := p.engines[s.ID]
		switch {
		case e == nil || !e.server.SameStart(s):
			p.engines[s.ID] = newEngineState(s)
		case e.server.Revision != s.Revision, e.server.State != s.State:
			e.updateEntry(s)
		}
	}
	for id := range p.engines {
		if !listed[id] {
			delete(p.engines, id)
		}
	}
}

// lostTimeout is how long an engine must be unreachable before its models count as lost.
const lostTimeout = 1200 * time.Millisecond

// isolationShare is the share of lost engines above which this daemon is assumed to be
// cut off from the network, and the engines to be alive.
const isolationShare = 0.4

// input returns the input of the plan for a service. pace returns the usual pace of an engine.
func (p *planState) input(spec *layout.Service, pace func(id string) float64, now time.Time) stock.Input {
	f := stock.Input{Now: now, Spec: spec.Engines, Demand: p.demand.needs(spec.Name, now), Since: p.demand.since, StoreLoads: p.storeLoads.available(now)}
	lost := 0
	var engines []*engineState
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.server.Service != spec.Name {
			continue
		}
		engines = append(engines, e)
		if e.lost(now) {
			lost++
		}
	}
	isolated := float64(lost) > isolationShare*float64(len(engines))
	for _, e := range engines {
		engine := stock.Engine{
			ID: e.server.ID, DataCentre: e.server.DataCentre,
			AcceptsOrders: e.synced && !e.inFlight && e.loading == "" && e.unloadInFlight == "" && e.server.State == layout.Ready && e.unreachableSince.IsZero(),
			Alive:         e.server.State == layout.Ready && (isolated || !e.lost(now)),
			Models:        e.models, Unloading: e.unloading, Loading: e.loading, ReservedFor: e.freedModel(now), AdaptersInTransit: e.adaptersInTransit, ModelsChangedAt: e.modelsChangedAt,
			InMemory: e.inMemory, OnDisk: e.onDisk, Pace: pace(e.server.ID),
		}
		f.Engines = append(f.Engines, engine)
	}
	return f
}

// freedModel returns the model that memory of the engine was freed for and that is not
// loaded yet, or an empty string.
func (e *engineState) freedModel(now time.Time) string {
	if now.Before(e.freedUntil) && e.models[e.freedFor] == nil {
		return e.freedFor
	}
	return ""
}

// lost reports whether the engine has been unreachable for so long that its models count
// as lost.
func (e *engineState) lost(now time.Time) bool {
	return !e.unreachableSince.IsZero() && now.Sub(e.unreachableSince) > lostTimeout
}

// placement returns the adapters that calls may use and the models that are about to be
// unloaded, both by engine. It leaves out engines whose state is unknown, except those that
// load or unload a model.
func (p *planState) placement() (adapters, unloading map[string][]string) {
	adapters, unloading = map[string][]string{}, map[string][]string{}
	for id, e := range p.engines {
		if !e.synced && e.loading == "" && e.unloadInFlight == "" {
			continue
		}
		adapters[id] = e.usableAdapters()
		if len(e.unloading) > 0 {
			unloading[id] = slices.Sorted(maps.Keys(e.unloading))
		}
	}
	return adapters, unloading
}

// usableAdapters returns the adapters that calls may use, as MODEL/ADAPTER.
func (e *engineState) usableAdapters() []string {
	names := []string{}
	for m, adapters := range e.models {
		for a := range adapters {
			if name := m + "/" + a; !e.pendingAdapters[name] {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// loadLimiter is a token bucket for loads from the weight store. A new lease holder starts
// with an empty bucket, because its predecessor may just have emptied a full one.
type loadLimiter struct {
	perSecond float64
	level     float64
	updatedAt time.Time
	// burst bounds level. It is lower while another lease holder may start loads too.
	burst float64
	// unanswered maps engines that did not answer a load order to the time until which
	// the load may still begin.
	unanswered map[string]time.Time
}

// available returns how many loads may begin now.
func (l *loadLimiter) available(now time.Time) int {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
	}
	l.level = min(l.level+now.Sub(l.updatedAt).Seconds()*l.perSecond, l.burst)
	l.updatedAt = now
	maps.DeleteFunc(l.unanswered, func(_ string, until time.Time) bool { return now.After(until) })
	return int(l.level) - len(l.unanswered)
}
