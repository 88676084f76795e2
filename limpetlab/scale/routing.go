package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetd/watch"
)

const (
	localDataCentre       = "dc0"
	promptTokens          = 4096
	batchLimit            = 64
	firstTokenExpectation = 1700 * time.Millisecond
	// knownPrefixes is the number of cached prefixes of the engines that a daemon
	// reads: each engine is read by one daemon and reports at most 8,192 prefixes.
	knownPrefixes = EnginesPerDataCentre * 8192 / DaemonsPerDataCentre
	// watchDuration is how long a watch runs while its processor time is measured.
	watchDuration = 2 * time.Second
)

// routingMeasures measures the router, admission and the watcher of engines.
func routingMeasures() []measure {
	engines, target := []int{43, EnginesPerDataCentre, 300, TargetEngines}, EnginesPerDataCentre
	return []measure{
		{"router", "choice of an engine", "us", "engines", engines, target, withoutError(choiceTime)},
		{"router", "new view, same slots", "us", "engines", engines, target, withoutError(updateViewTime)},
		{"router", "new view, slots changed", "us", "engines", engines, target, withoutError(rebuildViewTime)},
		{"router", "known prefixes", "bytes", "prefixes", []int{8192, knownPrefixes, 16384}, knownPrefixes, withoutError(prefixMemory)},
		{"admission", "admission of a request", "us", "engines", engines, target, withoutError(offerTime)},
		{"admission", "taking a view", "us", "engines", engines, target, withoutError(setViewTime)},
		{"admission", "step with waiting requests", "us", "waiting", []int{100, 300, 900}, 900, withoutError(waitingStepTime)},
		{"watcher", "processor time a second, no slots changed", "us", "engines", engines, target, watchCPUTime},
		{"watcher", "reports and view", "bytes", "engines", engines, target, watchMemory},
	}
}

// withoutError adapts a measurement that cannot fail to the type of measure.run.
func withoutError(f func(size int) float64) func(context.Context, int) (float64, error) {
	return func(_ context.Context, size int) (float64, error) { return f(size), nil }
}

// newRandom returns a random source with a fixed seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// newSlots returns n slots, starting at model number first. Each model is followed
// by its AdaptersPerModel adapters.
func newSlots(first, n int) []envdoc.Slot {
	list := make([]envdoc.Slot, n)
	for i := range list {
		model := fmt.Sprintf("model-%03d", (first+i/(1+AdaptersPerModel))%TargetModels)
		list[i] = envdoc.Slot{Model: model, Version: "2026.11"}
		if k := i % (1 + AdaptersPerModel); k > 0 {
			list[i].Adapter = fmt.Sprintf("%s-adapter-%d", model, k)
		}
	}
	return list
}

// newReport returns the report of engine i with n slots.
func newReport(i, n int) engine.Report {
	return engine.Report{
		VM: engineVM(i), Instance: engineVM(i) + "-instance", Sequence: 1, MeasuredAt: time.Now(),
		MemoryMB: 320_000, UsedMB: 280_000, Slots: newSlots(i*n/(1+AdaptersPerModel), n),
		Running: i % batchLimit, WaitingTokens: 900, TokensPerSecond: 1016.5, PromptTokensPerSecond: 20_000.5,
		BatchLimit: batchLimit, Role: engine.RoleMixed,
	}
}

// engineVM returns the VM of engine i.
func engineVM(i int) string { return fmt.Sprintf("engine-%03d", i) }

// engineDataCentre returns the data centre of engine i: the first EnginesPerDataCentre are in
// the local data centre.
func engineDataCentre(i int) string {
	if i < EnginesPerDataCentre {
		return localDataCentre
	}
	return remoteDataCentre(i)
}

// remoteDataCentre spreads engines and daemons evenly over the other data centres.
func remoteDataCentre(i int) string { return fmt.Sprintf("dc%d", 1+i%(TargetDataCentres-1)) }

// newEngines returns n engines with current reports.
func newEngines(n int) []route.Engine {
	list := make([]route.Engine, n)
	for i := range list {
		r := newReport(i, SlotsPerEngine)
		list[i] = route.Engine{VM: r.VM, Address: r.VM, DataCentre: engineDataCentre(i), Report: r, MeasuredAt: r.MeasuredAt, PromptRate: 8000}
	}
	return list
}

// newRequest returns a request for a model that the first engine holds.
func newRequest(now time.Time) route.Request {
	return route.Request{Model: "model-000", Version: "2026.11", PromptTokens: promptTokens, ExpectedBy: now.Add(firstTokenExpectation)}
}

// choiceTime returns the processor time of choosing one of n engines for a request.
func choiceTime(n int) float64 {
	now := time.Now()
	view, own, r := route.NewView(localDataCentre, newEngines(n), nil, nil), make([]route.LocalState, n), newRequest(now)
	for i := range own {
		own[i].ClassesWithRoom, own[i].ClassesWithRoomAfterWait = 3, 3
	}
	random := newRandom()
	return cpuTimePerCall(func() { route.Choose(view, own, nil, &r, route.ChoiceOptions{Now: now}, random) })
}

// prefixMemory returns the heap size of n cached prefixes and of a view with them.
func prefixMemory(n int) float64 {
	list, random := newEngines(EnginesPerDataCentre), newRandom()
	return retainedBytes(func() any {
		c := make(route.Cache, n)
		for i := range n {
			c[random.Uint64()] = []string{engineVM(i % EnginesPerDataCentre)}
		}
		return []any{c, route.NewView(localDataCentre, list, c, nil)}
	})
}

// updateViewTime returns the processor time of building a view of n engines from
// the previous view, with the same slots.
func updateViewTime(n int) float64 {
	list := newEngines(n)
	view := route.NewView(localDataCentre, list, nil, nil)
	return cpuTimePerCall(func() { view = route.NewView(localDataCentre, slices.Clone(list), nil, view) })
}

// rebuildViewTime returns the processor time of building a view of n engines
// without a previous view, as after a change of slots.
func rebuildViewTime(n int) float64 {
	list := newEngines(n)
	return cpuTimePerCall(func() { route.NewView(localDataCentre, slices.Clone(list), nil, nil) })
}

// newDocument declares one priority and the model of newRequest.
func newDocument() *envdoc.Document {
	return &envdoc.Document{
		Priorities: []envdoc.Priority{{Name: "live", FirstToken: envdoc.Duration(firstTokenExpectation), BetweenTokens: envdoc.Duration(57 * time.Millisecond)}},
		Models:     []envdoc.Model{{Name: "model-000", Version: "2026.11", Pool: "pool", MemoryMB: 20_000}},
	}
}

// newAdmission returns an admission state with a view of engines.
func newAdmission(list []route.Engine, now time.Time) *admit.State {
	s := admit.NewState("daemon-000", newRandom())
	s.SetDocument(newDocument())
	s.SetDaemons(TargetDaemons)
	s.SetView(now, route.NewView(localDataCentre, list, nil, nil))
	return s
}

// offerTime returns the processor time of admission of a request, from Offer to
// Release, with n engines.
func offerTime(n int) float64 {
	now := time.Now()
	s := newAdmission(newEngines(n), now)
	return cpuTimePerCall(func() {
		now = now.Add(time.Millisecond)
		c := s.Offer(now, admit.Request{ID: "r", Priority: "live", Route: newRequest(now)})
		s.FirstToken(now, c)
		s.Release(now, c, admit.OutcomeAnswered)
	})
}

// setViewTime returns the processor time of building a view of n engines and setting
// it in admission.
func setViewTime(n int) float64 {
	now, list := time.Now(), newEngines(n)
	s := newAdmission(slices.Clone(list), now)
	view := route.NewView(localDataCentre, slices.Clone(list), nil, nil)
	return cpuTimePerCall(func() {
		view = route.NewView(localDataCentre, slices.Clone(list), nil, view)
		s.SetView(now, view)
	})
}

// waitingStepTime returns the processor time of an admission step with n waiting
// requests, none of which finds room on an engine, or 0 if fewer requests wait.
func waitingStepTime(n int) float64 {
	now, list := time.Now(), newEngines(EnginesPerDataCentre)
	for i := range list {
		list[i].Report.Running = batchLimit
	}
	s := newAdmission(list, now)
	far := now.Add(time.Hour)
	for i := 0; s.Waiting() < n && i < 100*n; i++ {
		r := newRequest(now)
		r.ExpectedBy = far
		s.Offer(now, admit.Request{ID: fmt.Sprint(i), Priority: "live", Route: r})
	}
	if s.Waiting() < n {
		return 0
	}
	return cpuTimePerCall(func() { s.Step(now) })
}

// vmList implements watch.VMProvider. It lists no other daemons of the local data
// centre.
type vmList []store.VM

func (l vmList) VMs() []store.VM { return l }

// silentEngines implements engine.Reporter without reports or cache events.
type silentEngines struct{}

func (silentEngines) Report(ctx context.Context, _ string) (engine.Report, error) {
	return engine.Report{}, ctx.Err()
}

func (silentEngines) CacheEvents(ctx context.Context, _ string, _ int64) ([]engine.CacheEvent, error) {
	return nil, ctx.Err()
}

// remoteEngineVMs lists this daemon's VM and a number of engines in other data
// centres.
func remoteEngineVMs(engines int) vmList {
	vms := vmList{{ID: "daemon-000", Kind: store.KindEntry, DataCentre: localDataCentre, State: store.StateLive}}
	for i := range engines {
		vms = append(vms, store.VM{ID: engineVM(i), Kind: store.KindEngine, DataCentre: remoteDataCentre(i), State: store.StateLive})
	}
	return vms
}

// newReports returns the reports of n engines.
func newReports(n int, sequence int64) []engine.Report {
	list := make([]engine.Report, n)
	for i := range list {
		list[i] = newReport(i, SlotsPerEngine)
		list[i].Sequence = sequence
	}
	return list
}

// startWatch starts a watch and waits until its view has all engines.
func startWatch(ctx context.Context, engines int) *watch.Watch {
	w := watch.New(ctx, watch.Config{VM: "daemon-000", DataCentre: localDataCentre}, watch.Deps{VMs: remoteEngineVMs(engines), Reporter: silentEngines{}})
	for len(w.View().Engines) < engines && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		w.ReceiveReports("daemon-001", newReports(engines, 1))
	}
	return w
}

// watchCPUTime returns the processor time a second, in microseconds, of a watch that
// receives a report of each of n engines from a peer each second.
func watchCPUTime(ctx context.Context, n int) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := startWatch(ctx, n)
	updates := newReports(n, 2)
	runtime.GC()
	before := processCPUTime()
	for i := range int(watchDuration / time.Second) {
		for k := range updates {
			updates[k].Sequence += int64(i)
		}
		w.ReceiveReports("daemon-001", updates)
		time.Sleep(time.Second)
	}
	cpuTime := processCPUTime() - before
	stop()
	return float64(cpuTime) / watchDuration.Seconds() / float64(time.Microsecond), w.Wait()
}

// watchMemory returns the heap size of a watch of n engines.
func watchMemory(ctx context.Context, n int) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var w *watch.Watch
	bytes := retainedBytes(func() any {
		w = startWatch(ctx, n)
		return w
	})
	stop()
	return bytes, w.Wait()
}
