package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

// books are what the plan knows. Only the goroutine of the plan uses them.
type books struct {
	demand demand
	views  map[string]*view
	stores bucket
	loads  loads
	fence  int64
	since  time.Time
	// adapters and closing are what this daemon was told last.
	adapters, closing map[string][]string
}

// view is what the steerer knows of an engine.
type view struct {
	server *layout.Server
	// known tells that state and models are those of the engine, from a report or
	// from orders since.
	known  bool
	state  int64
	models map[string]map[string]bool
	coming int
	// loading and unloading are models under way.
	loading, unloading string
	moved              time.Time
	// promised is the model that room was made for, until a time.
	promised         string
	promisedUntil    time.Time
	inMemory, onDisk map[string]bool
	// sending tells that an order or a report is under way, next is when the engine
	// is asked for its state at the earliest.
	sending bool
	next    time.Time
	// failing is since when it has not been reached; zero if it has.
	failing time.Time
	// arriving are the adapters that were ordered and can't be used yet, as
	// MODEL/ADAPTER.
	arriving map[string]bool
	// closing are the models that daemons were told not to use.
	closing map[string]bool
}

func newView(s *layout.Server) *view {
	v := &view{server: s, models: map[string]map[string]bool{}, closing: map[string]bool{}, arriving: map[string]bool{}}
	v.list(s)
	return v
}

// list takes the entry of the engine in, which tells of finished loads and unloads.
func (v *view) list(s *layout.Server) {
	v.server = s
	v.inMemory, v.onDisk = set(s.InMemory), set(s.OnDisk)
	if _, ok := s.Models[v.loading]; v.loading != "" && ok {
		v.models[v.loading] = map[string]bool{}
		v.loading = ""
	}
	if _, ok := s.Models[v.unloading]; v.unloading != "" && !ok {
		v.unloaded(v.unloading)
	}
	if !v.known {
		v.hold(s.Models)
	}
}

func (v *view) unloaded(model string) {
	delete(v.models, model)
	delete(v.closing, model)
	if v.unloading == model {
		v.unloading = ""
	}
}

// hold replaces the models.
func (v *view) hold(models map[string]layout.Held) {
	v.models = make(map[string]map[string]bool, len(models))
	for name, held := range models {
		v.models[name] = set(held.Adapters)
	}
}

func set(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, name := range list {
		out[name] = true
	}
	return out
}

// reported takes a report in; a report from before the last order is not used.
func (v *view) reported(r Report, now time.Time) {
	v.failing = time.Time{}
	if r.State < v.state {
		v.next = now.Add(reportRetry)
		return
	}
	v.state = r.State
	v.coming = r.Coming
	v.inMemory, v.onDisk = set(r.InMemory), set(r.OnDisk)
	v.hold(r.Models)
	if r.Busy {
		v.known = false
		v.next = now.Add(reportRetry)
		return
	}
	v.known = true
	v.loading, v.unloading = "", ""
	clear(v.closing)
}

// unknown makes the engine be asked for its state.
func (v *view) unknown(now time.Time, after time.Duration) {
	v.known = false
	v.next = now.Add(after)
}

// know takes the list of servers in.
func (b *books) know(servers []*layout.Server, config *layout.Config) {
	listed := map[string]bool{}
	for _, s := range servers {
		if c := config.Services[s.Service]; c == nil || c.Engines == nil {
			continue
		}
		listed[s.ID] = true
		v := b.views[s.ID]
		switch {
		case v == nil || !v.server.Same(s):
			b.views[s.ID] = newView(s)
		case v.server.Revision != s.Revision:
			v.list(s)
		}
	}
	for id := range b.views {
		if !listed[id] {
			delete(b.views, id)
		}
	}
}

// failingLong is how long an engine must not be reached until its models count as lost.
const failingLong = 1200 * time.Millisecond

// cutShare is the share of engines beyond which failures mean that this daemon is cut
// off, and not that the engines are gone.
const cutShare = 0.4

// facts returns what the plan for a service depends on.
func (b *books) facts(spec *layout.Service, now time.Time) stock.Facts {
	f := stock.Facts{Now: now, Spec: spec.Engines, Demand: b.demand.needs(spec.Name, now), Since: b.demand.since, StoreLoads: b.stores.left(now)}
	failing := 0
	var views []*view
	for _, id := range slices.Sorted(maps.Keys(b.views)) {
		v := b.views[id]
		if v.server.Service != spec.Name {
			continue
		}
		views = append(views, v)
		if v.lost(now) {
			failing++
		}
	}
	cut := float64(failing) > cutShare*float64(len(views))
	for _, v := range views {
		e := stock.Engine{
			ID: v.server.ID, DataCentre: v.server.DataCentre,
			Free:   v.known && !v.sending && v.loading == "" && v.unloading == "" && v.server.State == layout.Ready && v.failing.IsZero(),
			Alive:  v.server.State == layout.Ready && (cut || !v.lost(now)),
			Models: v.models, Closing: v.closing, Loading: v.loading, Promised: v.promise(now), Coming: v.coming, Moved: v.moved,
			InMemory: v.inMemory, OnDisk: v.onDisk,
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}

// promise returns the model that room was made for.
func (v *view) promise(now time.Time) string {
	if now.Before(v.promisedUntil) && v.models[v.promised] == nil {
		return v.promised
	}
	return ""
}

func (v *view) lost(now time.Time) bool {
	return !v.failing.IsZero() && now.Sub(v.failing) > failingLong
}

// holdings returns the adapters that engines hold, and the models that are about to go.
func (b *books) holdings() (adapters, closing map[string][]string) {
	adapters, closing = map[string][]string{}, map[string][]string{}
	for id, v := range b.views {
		if !v.known && v.loading == "" && v.unloading == "" {
			continue
		}
		adapters[id] = v.adapters()
		if len(v.closing) > 0 {
			closing[id] = slices.Sorted(maps.Keys(v.closing))
		}
	}
	return adapters, closing
}

// adapters returns the adapters that calls may use, as MODEL/ADAPTER.
func (v *view) adapters() []string {
	names := []string{}
	for m, adapters := range v.models {
		for a := range adapters {
			if name := m + "/" + a; !v.arriving[name] {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// bucket bounds the loads from the weight store. A new steerer starts with none, as the
// one before may just have used all of its own.
type bucket struct {
	perSecond float64
	level     float64
	at        time.Time
	// burst bounds the level; lower while another steerer may have loads of its own.
	burst float64
	// unanswered are until when loads may still begin that were ordered and not
	// answered, by engine.
	unanswered map[string]time.Time
}

func (k *bucket) left(now time.Time) int {
	if k.at.IsZero() {
		k.at = now
	}
	k.level = min(k.level+now.Sub(k.at).Seconds()*k.perSecond, k.burst)
	k.at = now
	maps.DeleteFunc(k.unanswered, func(_ string, until time.Time) bool { return now.After(until) })
	return int(k.level) - len(k.unanswered)
}
