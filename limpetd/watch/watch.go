// Package watch reads the load reports and cache events of engines and keeps
// the view that the choice of an engine is made from.
//
// An engine is read by one or two daemons of its data centre, by one where there
// are many. They are chosen by rendezvous hashing over the live entry VMs; a daemon
// that sees no entry VM reads all. What the others need is passed on by peers: Loads gives the reports
// that this daemon read, Receive takes theirs. The newest report of an engine
// wins. An engine of the own data centre without news is read by others too. An
// engine that cannot be read, or is leaving, is left out of the view at once;
// one without news is used only when no other holds the slot.
//
// # Usage
//
//	w := watch.New(ctx, watch.Config{VM: "vm-a1", DataCentre: "a"}, watch.Deps{...})
//	view := w.View()
//	choice, verdict := route.Choose(view, own, hints, &request, ask, random)
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

// VMProvider gives the VMs that are known.
type VMProvider interface {
	VMs() []store.VM
}

// Config says which daemon watches.
type Config struct {
	// VM and DataCentre are those of this daemon.
	VM         string
	DataCentre string
}

// Deps are what a Watch needs. Log, Events and Scope may be nil.
type Deps struct {
	VMs      VMProvider
	Reporter engine.Reporter
	Log      *zap.Logger
	Events   *event.Line
	Scope    tally.Scope
}

// Option changes a Watch.
type Option func(*Watch)

// WithPeriod sets the time between two reads of an engine.
func WithPeriod(d time.Duration) Option {
	return func(w *Watch) { w.period = d }
}

// WithRandom sets the source of random pauses and choices. It must be safe for
// concurrent use, as those of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(w *Watch) { w.random = r }
}

const (
	// defaultPeriod is the time between two reads of an engine.
	defaultPeriod = time.Second
	// readTimeout bounds one read.
	readTimeout = 800 * time.Millisecond
	// viewPeriod is the time between two renewals of the view.
	viewPeriod = 100 * time.Millisecond
	// readers is the number of reads at once.
	readers = 16
)

// Watch keeps what is known of the engines. It is safe for concurrent use.
type Watch struct {
	config Config
	deps   Deps
	period time.Duration
	random *rand.Rand
	tomb   *tomb.Tomb
	// due carries engines to the readers. When it is full the engine is due
	// again at the next renewal of the view.
	due  chan store.VM
	view atomic.Pointer[route.View]

	mu sync.Mutex
	// vms is the VM list that was taken last; order lists its engines by VM.
	vms     []store.VM
	order   []string
	engines map[string]*state
	mine    map[string]bool
	// daemons is the number of live entry VMs of the data centre.
	daemons int
	// cacheBuilt is when the holders of prefixes were collected last.
	cacheBuilt time.Time
}

// New starts watching until ctx ends.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Watch {
	w := &Watch{
		config:  c,
		deps:    d,
		period:  defaultPeriod,
		random:  random.New(),
		due:     make(chan store.VM, readers),
		engines: make(map[string]*state),
		mine:    make(map[string]bool),
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
	for range readers {
		w.tomb.Go(func() error { return w.read(ctx) })
	}
	return w
}

// Wait returns when all reading has ended.
func (w *Watch) Wait() error {
	err := w.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Report returns the newest report of an engine and the time when it was
// measured, in this daemon's clock.
func (w *Watch) Report(vm string) (engine.Report, time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.engines[vm]
	if s == nil || !s.known {
		return engine.Report{}, time.Time{}, false
	}
	return s.report, s.at, true
}

// View returns the newest view. It is never nil and never changes.
func (w *Watch) View() *route.View {
	return w.view.Load()
}

// Loads returns the fresh reports that this daemon read itself.
func (w *Watch) Loads() []engine.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var loads []engine.Report
	for _, s := range w.engines {
		if s.known && s.read && s.health(now) == route.HealthFresh {
			loads = append(loads, s.report)
		}
	}
	return loads
}

// Receive takes the reports that a peer read.
func (w *Watch) Receive(_ string, loads []engine.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range loads {
		if s := w.engines[r.VM]; s != nil && s.take(r, now, false) {
			w.deps.Scope.Counter("watch_reports_received").Inc(1)
		}
	}
}

// schedule renews the view and hands engines to the readers when they are due.
func (w *Watch) schedule(ctx context.Context) error {
	ticker := time.NewTicker(viewPeriod)
	defer ticker.Stop()
	for {
		for _, vm := range w.refresh(time.Now()) {
			select {
			case w.due <- vm:
			default:
				w.postpone(vm.ID)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// read reads one engine after the other.
func (w *Watch) read(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case vm := <-w.due:
			w.readEngine(ctx, vm)
		}
	}
}

// errOtherVM tells that another VM answered than was asked.
var errOtherVM = errors.New("another VM answered")

// readEngine reads the report and the new cache events of an engine.
func (w *Watch) readEngine(ctx context.Context, vm store.VM) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := w.deps.Reporter.Report(call, vm.Address)
	if err == nil && report.VM != vm.ID {
		err = errOtherVM
	}
	after := w.taken(vm.ID, report, err)
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
	if s := w.engines[vm.ID]; s != nil && s.cache.apply(report.Instance, events) {
		w.deps.Scope.Counter("watch_cache_gaps").Inc(1)
	}
}

// taken notes the outcome of a read and returns the sequence number of the last
// cache event that is known.
func (w *Watch) taken(vm string, r engine.Report, err error) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.engines[vm]
	if s == nil {
		return 0
	}
	s.reading = false
	if err != nil {
		w.deps.Scope.Counter("watch_read_errors").Inc(1)
		if s.failed() {
			w.broken(vm, err)
		}
		return 0
	}
	s.take(r, time.Now(), true)
	return s.cache.after(r.Instance)
}

// broken tells that an engine cannot be read.
func (w *Watch) broken(vm string, err error) {
	w.deps.Log.Warn("engine_broken", zap.String("vm", vm), zap.Error(err))
	if w.deps.Events != nil {
		w.deps.Events.Add(event.Event{Kind: event.EngineEjected, VM: vm, Text: "cannot be read"})
	}
}

// postpone makes an engine due again.
func (w *Watch) postpone(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.engines[vm]; s != nil {
		s.reading = false
		s.due = time.Time{}
	}
}
