// Package watch reads the load reports and cache events of engines and maintains
// the view from which package route chooses an engine.
//
// Each engine is read by two daemons of its data centre, or by one if the data
// centre has many daemons. The readers are chosen by rendezvous hashing over the
// live entry VMs of the data centre; without such VMs every daemon reads all engines
// of its data centre. Daemons exchange the reports: LocalReports returns those that this
// daemon read, ReceiveReports applies those that another daemon read. The newest report of
// an engine wins. If an engine of the data centre becomes stale, because no newer
// report arrives, a few other daemons read the engine too. A leaving engine is
// excluded from the choice at once, and an engine with brokenAfterFailures consecutive
// failed reads is excluded by the assigned reader whose reads failed. A stale engine is
// used only if no other engine holds the slot.
//
// # Usage
//
//	w := watch.New(ctx, watch.Config{VM: "vm-a1", DataCentre: "a"}, watch.Deps{...})
//	view := w.View()
//	choice, verdict := route.Choose(view, own, hints, &request, options, random)
//	err := w.Wait()
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// VMProvider returns the current VM list.
type VMProvider interface {
	VMs() []store.VM
}

// Config identifies the daemon that runs a Watch.
type Config struct {
	// VM is the id of this daemon's VM, DataCentre the data centre of the VM.
	VM         string
	DataCentre string
}

// Deps holds the dependencies of a Watch. Log, Events and Scope may be nil.
type Deps struct {
	VMs      VMProvider
	Reporter engine.Reporter
	Log      *zap.Logger
	Events   *event.Timeline
	Scope    tally.Scope
}

// Option configures a Watch.
type Option func(*Watch)

// WithPeriod sets the time between two reads of an engine.
func WithPeriod(d time.Duration) Option {
	return func(w *Watch) { w.period = d }
}

// WithRandom sets the source of random numbers for pauses and choices. The source
// must be safe for concurrent use, as those of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(w *Watch) { w.random = r }
}

const (
	// defaultPeriod is the time between two reads of an engine.
	defaultPeriod = time.Second
	// readTimeout limits the time of one read of the report and the cache events.
	readTimeout = 800 * time.Millisecond
	// viewPeriod is the time between two updates of the view.
	viewPeriod = 100 * time.Millisecond
	// concurrentReads is the number of goroutines that read engines.
	concurrentReads = 16
)

// Watch holds the newest reports and cache contents of the engines. It is safe for
// concurrent use.
type Watch struct {
	config Config
	deps   Deps
	period time.Duration
	random *rand.Rand
	tomb   *tomb.Tomb
	// readQueue passes engines to the goroutines that read them. If the queue is
	// full, the engine is due again at the next update of the view.
	readQueue chan store.VM
	view      atomic.Pointer[route.View]

	mu sync.Mutex
	// vms is the last applied VM list, engineIDs the sorted VM ids of its engines.
	vms       []store.VM
	engineIDs []string
	engines   map[string]*engineState
	// assigned holds the VM ids of the engines that this daemon is assigned to read.
	assigned map[string]bool
	// daemonCount is the number of live entry VMs of the data centre.
	daemonCount int
	// prefixHoldersAt is the time of the last rebuild by prefixHolders.
	prefixHoldersAt time.Time
}

// New starts a Watch, which runs until ctx ends.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Watch {
	w := &Watch{
		config:    c,
		deps:      d,
		period:    defaultPeriod,
		random:    random.New(),
		readQueue: make(chan store.VM, concurrentReads),
		engines:   make(map[string]*engineState),
		assigned:  make(map[string]bool),
	}
	for _, o := range opts {
		o(w)
	}
	if w.deps.Log == nil {
		w.deps.Log = zap.NewNop()
	}
	if w.deps.Scope == nil {
		w.deps.Scope = tally.NoopScope
	}
	w.view.Store(route.NewView(c.DataCentre, nil, nil, nil))
	w.tomb, ctx = life.WithContext(ctx)
	w.tomb.Go(func() error { return w.schedule(ctx) })
	for range concurrentReads {
		w.tomb.Go(func() error { return w.readLoop(ctx) })
	}
	return w
}

// Wait blocks until all goroutines of the Watch have ended.
func (w *Watch) Wait() error {
	err := w.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Report returns the newest report of an engine and the time of its measurement in
// this daemon's clock. The last result reports whether a report was received.
func (w *Watch) Report(vm string) (engine.Report, time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.engines[vm]
	if s == nil || !s.reported {
		return engine.Report{}, time.Time{}, false
	}
	return s.report, s.measuredAt, true
}

// View returns the newest view. The view is never nil and is immutable.
func (w *Watch) View() *route.View {
	return w.view.Load()
}

// LocalReports returns the fresh reports that this daemon itself read from engines.
func (w *Watch) LocalReports() []engine.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var reports []engine.Report
	for _, s := range w.engines {
		if s.reported && s.readLocally && s.health(now) == route.HealthFresh {
			reports = append(reports, s.report)
		}
	}
	return reports
}

// ReceiveReports applies reports that another daemon read. Only those newer than the
// current ones take effect.
func (w *Watch) ReceiveReports(_ string, reports []engine.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range reports {
		if s := w.engines[r.VM]; s != nil && s.update(r, now, false) {
			w.deps.Scope.Counter("watch_reports_received").Inc(1)
		}
	}
}

// schedule updates the view each viewPeriod and queues the engines that are due to
// be read.
func (w *Watch) schedule(ctx context.Context) error {
	ticker := time.NewTicker(viewPeriod)
	defer ticker.Stop()
	for {
		for _, vm := range w.refresh(time.Now()) {
			select {
			case w.readQueue <- vm:
			default:
				w.markDue(vm.ID)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readLoop reads the queued engines, one at a time.
func (w *Watch) readLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vm := <-w.readQueue:
			w.readEngine(ctx, vm)
		}
	}
}

// errWrongVM is the error of a read whose report names another VM than the one at
// whose address it was requested.
var errWrongVM = errors.New("the report names another VM")

// readEngine reads the report and the new cache events of an engine.
func (w *Watch) readEngine(ctx context.Context, vm store.VM) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := w.deps.Reporter.Report(call, vm.Address)
	if err == nil && report.VM != vm.ID {
		err = errWrongVM
	}
	after := w.recordRead(vm.ID, report, err)
	if err != nil {
		return
	}
	events, err := w.deps.Reporter.CacheEvents(call, vm.Address, after)
	if err != nil {
		w.deps.Scope.Counter("watch_cache_errors").Inc(1)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.engines[vm.ID]; s != nil && s.prefixIndex.apply(report.Instance, events) {
		w.deps.Scope.Counter("watch_cache_gaps").Inc(1)
	}
}

// recordRead records the outcome of a read. It returns the sequence number of the last
// cache event applied for the engine's process, or 0 if there is none or the read
// failed.
func (w *Watch) recordRead(vm string, r engine.Report, err error) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.engines[vm]
	if s == nil {
		return 0
	}
	s.reading = false
	if err != nil {
		w.deps.Scope.Counter("watch_read_errors").Inc(1)
		if s.recordFailure() {
			w.reportBroken(vm, err)
		}
		return 0
	}
	s.update(r, time.Now(), true)
	return s.prefixIndex.lastSequence(r.Instance)
}

// reportBroken logs that an engine cannot be read and adds the event of its ejection.
func (w *Watch) reportBroken(vm string, err error) {
	w.deps.Log.Warn("engine_broken", zap.String("vm", vm), zap.Error(err))
	if w.deps.Events != nil {
		w.deps.Events.Add(event.Event{Kind: event.EngineEjected, VM: vm, Text: "the load report cannot be read"})
	}
}

// markDue makes an engine due at the next update of the view.
func (w *Watch) markDue(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.engines[vm]; s != nil {
		s.reading = false
		s.nextRead = time.Time{}
	}
}
