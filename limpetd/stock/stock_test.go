package stock_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
	"github.com/limpetlb/limpetlb/limpetd/stock"
)

var start = time.Unix(1000, 0)

// spec declares n models of 70 GB for engines of 230 GB, so that each engine fits three.
func spec(n int) *layout.Engines {
	e := &layout.Engines{Slots: 64, MemoryMB: 230_000, AdapterSlots: 2, LoadsPerSecond: 1.4}
	for i := range n {
		e.Models = append(e.Models, layout.Model{
			Name: fmt.Sprintf("m%d", i), MemoryMB: 70_000, Adapters: []string{"a1", "a2", "a3"}, AdapterMB: 60,
			StoreLoad: 9 * time.Second, DiskLoad: 2 * time.Second, MemoryLoad: time.Second,
		})
	}
	return e
}

func engine(id string, models ...string) stock.Engine {
	e := stock.Engine{ID: id, AcceptsOrders: true, Alive: true, Models: map[string]map[string]bool{}, InMemory: map[string]bool{}, OnDisk: map[string]bool{}}
	for _, m := range models {
		e.Models[m] = map[string]bool{}
		e.OnDisk[m] = true
	}
	return e
}

func need(work float64, waiting int) *stock.ModelDemand {
	return &stock.ModelDemand{Work: work, Waiting: waiting, LastRequested: start, Adapters: map[string]stock.AdapterDemand{}}
}

func input(s *layout.Engines, engines []stock.Engine, demand map[string]*stock.ModelDemand) stock.Input {
	return stock.Input{Now: start.Add(10 * time.Second), Since: start, Spec: s, Engines: engines, Demand: demand, StoreLoads: 3}
}

func TestRequestedModelIsLoadedFromNearestCopy(t *testing.T) {
	a, b := engine("a", "m0"), engine("b", "m0")
	b.InMemory["m1"] = true
	f := input(spec(2), []stock.Engine{a, b}, map[string]*stock.ModelDemand{"m1": need(1, 3)})
	f.Since = f.Now
	orders := stock.Plan(f)
	require.Equal(t, []stock.Order{{Engine: "b", Model: "m1", Reason: stock.ReasonRequested}}, orders)
}

func TestDemandMovesReplicasOnlyAfterObservationTime(t *testing.T) {
	engines := []stock.Engine{engine("a", "m0"), engine("b", "m0"), engine("c", "m1")}
	f := input(spec(2), engines, map[string]*stock.ModelDemand{"m1": need(100, 0)})
	f.Since = f.Now.Add(-time.Second)
	require.Empty(t, stock.Plan(f))
	f.Since = f.Now.Add(-time.Minute)
	require.NotEmpty(t, stock.Plan(f))
}

func TestLastReplicaInUseIsKept(t *testing.T) {
	// m1 has one replica, and memory is freed for another one on the other engine.
	a, b := engine("a", "m0", "m1", "m2"), engine("b", "m0", "m2")
	b.ReservedFor = "m1"
	b.AcceptsOrders = false
	d := map[string]*stock.ModelDemand{"m0": need(50, 0), "m1": need(5, 0), "m2": need(5, 0), "m3": need(10, 5)}
	for _, m := range []string{"m0", "m1", "m2"} {
		d[m].LastRequested = start.Add(9 * time.Second)
	}
	for _, o := range stock.Plan(input(spec(4), []stock.Engine{a, b}, d)) {
		require.False(t, o.Unload && o.Model == "m1", "%+v", o)
	}
}

// TestRareModelTakesNoReplicaOfBusyModel guards against a fault in which a rarely requested
// model displaced a replica of the busiest model as soon as the latter had three.
func TestRareModelTakesNoReplicaOfBusyModel(t *testing.T) {
	var engines []stock.Engine
	for i := range 8 {
		others := []string{fmt.Sprint("m", 2*i+2), fmt.Sprint("m", 2*i+3)}
		if i < 3 {
			engines = append(engines, engine(fmt.Sprint("e", i), append(others, "m0")...))
			continue
		}
		e := engine(fmt.Sprint("e", i), append(others, fmt.Sprint("m", 2*i+14))...)
		e.AcceptsOrders = false
		engines = append(engines, e)
	}
	d := map[string]*stock.ModelDemand{"m0": need(100, 0), "m1": need(1, 1)}
	for i := 2; i < 30; i++ {
		d[fmt.Sprint("m", i)] = need(0.1, 0)
	}
	f := input(spec(30), engines, d)
	for _, n := range d {
		n.LastRequested = f.Now
	}
	for _, o := range stock.Plan(f) {
		require.False(t, o.Unload && o.Model == "m0", "%+v", o)
	}
}

// TestUnloadingReplicaDoesNotCount guards against the loss of a model: while one replica was
// being unloaded, the other did not count as the last one and was unloaded too.
func TestUnloadingReplicaDoesNotCount(t *testing.T) {
	a, b := engine("a", "m1", "m2", "m3"), engine("b", "m1", "m4", "m5")
	a.Unloading = map[string]bool{"m1": true}
	a.AcceptsOrders = false
	d := map[string]*stock.ModelDemand{"m0": need(50, 0), "m2": need(20, 0), "m3": need(20, 0), "m4": need(20, 0), "m5": need(20, 0)}
	c := engine("c", "m0", "m6", "m7")
	c.AcceptsOrders = false
	for _, o := range stock.Plan(input(spec(8), []stock.Engine{a, b, c}, d)) {
		require.False(t, o.Unload && o.Model == "m1", "%+v", o)
	}
}

// TestEvictionsStayWithinStoreLoads guards against early evictions: after the lease moved to
// another daemon, replicas on a dozen engines were unloaded at once for models whose loads
// from the weight store could not begin yet.
func TestEvictionsStayWithinStoreLoads(t *testing.T) {
	var engines []stock.Engine
	for i := range 8 {
		engines = append(engines, engine(fmt.Sprint("e", i), "m0", "m1", "m2"))
	}
	d := map[string]*stock.ModelDemand{"m3": need(50, 0), "m4": need(50, 0)}
	engines = append(engines, engine("f", "m3"), engine("g", "m4"))
	engines[8].AcceptsOrders, engines[9].AcceptsOrders = false, false
	f := input(spec(5), engines, d)
	f.StoreLoads = 2
	require.Len(t, stock.Plan(f), 2)
	// Loads that memory was freed for already count against the limit.
	for i, m := range []string{"m3", "m4"} {
		engines[i].ReservedFor, engines[i].AcceptsOrders = m, false
		engines[i].Unloading = map[string]bool{"m0": true}
	}
	for _, o := range stock.Plan(f) {
		require.False(t, o.Unload, "%+v", o)
	}
}

// TestBusyModelIsPlacedBeforeRareModels guards against a fault after the loss of engines: each
// missing, rarely requested model got a replica before the busiest model got its second one.
func TestBusyModelIsPlacedBeforeRareModels(t *testing.T) {
	engines := []stock.Engine{engine("a", "m0"), engine("b"), engine("c")}
	d := map[string]*stock.ModelDemand{"m0": need(4, 0), "m1": need(0.01, 1), "m2": need(0.01, 1), "m3": need(0.01, 1)}
	f := input(spec(4), engines, d)
	f.StoreLoads = 1
	orders := stock.Plan(f)
	require.Len(t, orders, 1)
	require.Equal(t, "m0", orders[0].Model)
}

func TestSingleReplicasGetStandbyInFreeMemory(t *testing.T) {
	full := []stock.Engine{engine("a", "m0", "m1", "m2"), engine("b", "m0", "m1", "m2")}
	require.Empty(t, stock.Plan(input(spec(3), full, nil)))
	orders := stock.Plan(input(spec(3), []stock.Engine{engine("a", "m0", "m1"), engine("b", "m0", "m2")}, nil))
	require.Len(t, orders, 2)
	for _, o := range orders {
		require.Equal(t, stock.ReasonStandby, o.Reason)
	}
}

func TestBusyModelDoesNotEvictLastReplicas(t *testing.T) {
	// Three engines are full. The busy model has one replica, all other models are idle.
	engines := []stock.Engine{engine("a", "m0", "m1", "m2"), engine("b", "m3", "m4", "m5"), engine("c", "m6", "m7", "m8")}
	d := map[string]*stock.ModelDemand{"m0": need(100, 0)}
	require.Empty(t, stock.Plan(input(spec(9), engines, d)))
}

func TestFreedMemoryIsReservedForPromisedModel(t *testing.T) {
	a, b := engine("a", "m0", "m1"), engine("b", "m0", "m1", "m2")
	a.ReservedFor = "m3"
	d := map[string]*stock.ModelDemand{"m0": need(100, 0), "m3": need(0.1, 1)}
	d["m3"].LastRequested = start.Add(9 * time.Second)
	orders := stock.Plan(input(spec(4), []stock.Engine{a, b}, d))
	require.Equal(t, []stock.Order{{Engine: "a", Model: "m3", FromStore: true, Reason: stock.ReasonDemand}}, orders)
}

func TestAdapterEvictsLeastRecentlyUsed(t *testing.T) {
	e := engine("a", "m0")
	e.Models["m0"] = map[string]bool{"a1": true, "a2": true}
	n := need(10, 0)
	n.Adapters = map[string]stock.AdapterDemand{"a1": {LastRequested: start}, "a2": {LastRequested: start.Add(time.Second)}, "a3": {Waiting: 1, LastRequested: start}}
	orders := stock.Plan(input(spec(1), []stock.Engine{e}, map[string]*stock.ModelDemand{"m0": n}))
	require.Equal(t, []stock.Order{
		{Engine: "a", Unload: true, Model: "m0", Adapter: "a1", Reason: stock.ReasonEviction},
		{Engine: "a", Model: "m0", Adapter: "a3", Reason: stock.ReasonRequested},
	}, orders)
}

// execute executes orders at once and checks that no engine exceeds its memory or its adapter
// slots.
func execute(t require.TestingT, s *layout.Engines, engines []stock.Engine, orders []stock.Order) {
	seen := map[string]bool{}
	for _, o := range orders {
		i := slices.IndexFunc(engines, func(e stock.Engine) bool { return e.ID == o.Engine })
		e := &engines[i]
		require.True(t, e.AcceptsOrders, "%+v", o)
		if o.Adapter == "" {
			require.False(t, seen[o.Engine], "a plan has two orders about models for one engine")
			seen[o.Engine] = true
		}
		switch {
		case o.Adapter != "" && o.Unload:
			delete(e.Models[o.Model], o.Adapter)
		case o.Adapter != "":
			require.Contains(t, e.Models, o.Model)
			e.Models[o.Model][o.Adapter] = true
		case o.Unload:
			delete(e.Models, o.Model)
			e.ReservedFor = o.For
		default:
			e.Models[o.Model] = map[string]bool{}
			e.OnDisk[o.Model] = true
			if e.ReservedFor == o.Model {
				e.ReservedFor = ""
			}
		}
	}
	for _, e := range engines {
		used, adapters := 0.0, e.AdaptersInTransit
		for name, held := range e.Models {
			m := s.Model(name)
			used += m.MemoryMB + m.AdapterMB*float64(len(held))
			adapters += len(held)
		}
		require.LessOrEqual(t, used, s.MemoryMB)
		require.LessOrEqual(t, adapters, s.AdapterSlots)
	}
}

func TestPlanNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec(rapid.IntRange(1, 8).Draw(t, "models"))
		var engines []stock.Engine
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			e := engine(fmt.Sprint("e", i))
			for range rapid.IntRange(0, 3).Draw(t, "held") {
				e.Models[fmt.Sprintf("m%d", rapid.IntRange(0, len(s.Models)-1).Draw(t, "model"))] = map[string]bool{}
			}
			e.AcceptsOrders = rapid.Bool().Draw(t, "free")
			e.AdaptersInTransit = rapid.IntRange(0, 1).Draw(t, "coming")
			engines = append(engines, e)
		}
		for step := range 12 {
			d := map[string]*stock.ModelDemand{}
			for _, m := range s.Models {
				n := need(float64(rapid.IntRange(0, 50).Draw(t, "work")), rapid.IntRange(0, 2).Draw(t, "waiting"))
				n.LastRequested = start.Add(time.Duration(10*step) * time.Second)
				for _, a := range m.Adapters {
					n.Adapters[a] = stock.AdapterDemand{Waiting: rapid.IntRange(0, 1).Draw(t, "adapter"), LastRequested: n.LastRequested}
				}
				d[m.Name] = n
			}
			f := input(s, engines, d)
			f.Now = start.Add(time.Duration(10*step) * time.Second)
			execute(t, s, engines, stock.Plan(f))
		}
	})
}

// TestReplicasFollowMovingDemand simulates demand that moves to other models every 20 seconds.
// By the end of that time the busiest model has replicas on at least five of ten engines, no
// model in use is lost, and replicas don't move back and forth.
func TestReplicasFollowMovingDemand(t *testing.T) {
	s := spec(20)
	var engines []stock.Engine
	for i := range 10 {
		engines = append(engines, engine(fmt.Sprint("e", i), "m0", fmt.Sprint("m", i+1), fmt.Sprint("m", 10+i)))
	}
	orders := 0
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		busiest := second / 20
		d := map[string]*stock.ModelDemand{}
		for rank, work := range []float64{70, 20, 10} {
			n := need(work, 0)
			n.LastRequested = now
			d[fmt.Sprint("m", busiest+rank)] = n
		}
		f := input(s, engines, d)
		f.Now, f.Since, f.StoreLoads = now, start.Add(-time.Minute), 1
		list := stock.Plan(f)
		orders += len(list)
		execute(t, s, engines, list)
		held := map[string]int{}
		for _, e := range engines {
			for m := range maps.Keys(e.Models) {
				held[m]++
			}
		}
		for rank := range 3 {
			require.Positive(t, held[fmt.Sprint("m", busiest+rank)], "second %d", second)
		}
		if second%20 == 19 {
			require.GreaterOrEqual(t, held[fmt.Sprint("m", busiest)], 5, "second %d: %v", second, held)
		}
	}
	require.Less(t, orders, 60)
}
