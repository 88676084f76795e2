package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

const (
	testEnvironment = "lab"
	testCentre      = "dc1"
)

// world is a data centre with a table, engines and daemons.
type world struct {
	t       testing.TB
	table   *fakeTable
	engines []*fakeEngine
	mu      sync.Mutex
	doc     *envdoc.Document
	demand  []member.ModelDemand
	// reports are those that the daemons see; they lag by reportLag.
	reports map[string]lagged
	lost    map[string]bool
	daemons []*fakeDaemon
	born    int
	// cut tells that daemons don't reach each other.
	cut bool
	// models and adapters count the loads under way: of models, of adapters, and the most
	// of each.
	models, adapters, mostModels, mostAdapters int
	// unreached are unloads that took the last replica of a model away.
	unreached []string
}

type lagged struct {
	report engine.Report
	at     time.Time
}

const reportLag = time.Second

// fakeDaemon is a daemon with its duty.
type fakeDaemon struct {
	*world
	vm     string
	duty   *Duty
	cancel context.CancelFunc
	// paused daemons see no world change and send nothing: their table and
	// engine calls hang until resumed.
	paused chan struct{}
	pmu    sync.Mutex
	dead   bool
	// held is not nil while orders wait.
	held chan struct{}
}

func newWorld(t testing.TB, engines int, memoryMB int64, fencing store.Fencing) *world {
	w := &world{t: t, table: newFakeTable(), reports: map[string]lagged{}, lost: map[string]bool{}}
	for i := range engines {
		e := &fakeEngine{loadTime: 2 * time.Second, vm: store.VM{
			ID: fmt.Sprintf("engine-%d", i+1), Kind: store.KindEngine, DataCentre: testCentre, Pool: "assistant",
			Address: fmt.Sprintf("engine-%d:1", i+1), State: store.StateLive, Fencing: fencing, MemoryMB: memoryMB, Accelerators: 1,
		}}
		e.restart()
		e.world = w
		w.engines = append(w.engines, e)
	}
	return w
}

// run lets the world go on, with reports every second.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(reportLag)
		for _, e := range w.engines {
			r := e.report()
			w.mu.Lock()
			lost := w.lost[e.vm.ID]
			w.mu.Unlock()
			if !lost {
				time.AfterFunc(reportLag, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.reports[e.vm.ID] = lagged{r, time.Now()}
				})
			}
		}
	}
}

// start adds a daemon.
func (w *world) start(vm string) *fakeDaemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &fakeDaemon{world: w, vm: vm, cancel: cancel}
	w.born++
	instance := fmt.Sprintf("%s#%d", vm, w.born)
	d.duty = New(ctx, Config{VM: vm, Instance: instance, DataCentre: testCentre, Environment: testEnvironment}, Deps{
		Table: &daemonTable{d}, Orderer: d, Documents: w, VMs: w, Reports: w, Demand: w, Sent: d,
		Log: zap.NewNop(), Events: event.New(vm), Scope: tally.NoopScope,
	}, WithConnectionLifetime(8*time.Second), WithOrderTimeout(20*time.Second))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = append(w.daemons, d)
	return d
}

// kill ends a daemon without leaving; its VM stays listed until gone.
func (w *world) kill(d *fakeDaemon, gone bool) {
	d.cancel()
	d.resume()
	require.NoError(w.t, ignoreCancel(d.duty.Wait()))
	w.mu.Lock()
	defer w.mu.Unlock()
	d.dead = true
	if gone {
		w.daemons = slices.DeleteFunc(w.daemons, func(o *fakeDaemon) bool { return o == d })
	}
}

// stop ends the world.
func (w *world) stop() {
	for _, d := range slices.Clone(w.daemons) {
		w.kill(d, true)
	}
	time.Sleep(time.Minute)
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (d *fakeDaemon) pause() {
	d.pmu.Lock()
	defer d.pmu.Unlock()
	if d.paused == nil {
		d.paused = make(chan struct{})
	}
}

func (d *fakeDaemon) resume() {
	d.pmu.Lock()
	defer d.pmu.Unlock()
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
	}
	if d.held != nil {
		close(d.held)
		d.held = nil
	}
}

// pauseOrders holds back what the daemon sends to engines.
func (d *fakeDaemon) pauseOrders() {
	d.pmu.Lock()
	defer d.pmu.Unlock()
	d.held = make(chan struct{})
}

// await returns once the daemon is not paused.
func (d *fakeDaemon) await() {
	d.pmu.Lock()
	paused := d.paused
	d.pmu.Unlock()
	if paused != nil {
		<-paused
	}
}

// Order implements engine.Orderer. An order of a paused daemon goes out when it
// wakes.
func (d *fakeDaemon) Order(ctx context.Context, address string, o engine.Order) (engine.OrderAnswer, error) {
	d.pmu.Lock()
	held := d.held
	d.pmu.Unlock()
	if held != nil {
		<-held
	}
	d.await()
	for _, e := range d.engines {
		if e.vm.Address == address {
			return e.order(ctx, o)
		}
	}
	return engine.OrderAnswer{}, code.Errorf(code.BackendFailed, "no engine at %s", address)
}

// Sent implements SentProvider. A paused daemon does not answer.
func (d *fakeDaemon) Sent(_ context.Context, daemon, grant string) (SentAnswer, error) {
	d.mu.Lock()
	i := slices.IndexFunc(d.daemons, func(o *fakeDaemon) bool { return o.vm == daemon && !o.dead })
	if i < 0 || d.cut {
		d.mu.Unlock()
		return SentAnswer{}, code.Errorf(code.PeerDown, "%s does not answer", daemon)
	}
	peer := d.daemons[i]
	d.mu.Unlock()
	peer.pmu.Lock()
	paused := peer.paused != nil
	peer.pmu.Unlock()
	if paused {
		return SentAnswer{}, code.Errorf(code.PeerDown, "%s does not answer", daemon)
	}
	return peer.duty.AnswerSent(grant), nil
}

// daemonTable is the table as a daemon reaches it.
type daemonTable struct{ d *fakeDaemon }

func (t *daemonTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	t.d.await()
	return t.d.table.Get(ctx, keys...)
}

func (t *daemonTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.d.await()
	return t.d.table.Scan(ctx, prefix, after, limit)
}

func (t *daemonTable) Apply(ctx context.Context, tx store.Tx) error {
	t.d.await()
	err := t.d.table.Apply(ctx, tx)
	t.d.await()
	return err
}

func (w *world) Document() (*envdoc.Document, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc, w.doc != nil
}

func (w *world) VMs() []store.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	var vms []store.VM
	for _, e := range w.engines {
		vms = append(vms, e.vm)
	}
	for _, d := range w.daemons {
		vms = append(vms, store.VM{ID: d.vm, Kind: store.KindEntry, DataCentre: testCentre, State: store.StateLive})
	}
	return vms
}

func (w *world) Report(vm string) (engine.Report, time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.reports[vm]
	return l.report, l.at, ok
}

func (w *world) Demand() []member.ModelDemand {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.demand)
}

// declare puts a document in force.
func (w *world) declare(doc *envdoc.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doc = doc
}

// document declares models of equal size with adapters.
func document(models, adapters int, memoryMB int64, version string) *envdoc.Document {
	doc := &envdoc.Document{
		Environment: testEnvironment, Weights: envdoc.Weights{Attainment: 6, Moves: 4},
		Budgets: envdoc.Budgets{LoadsPerSecond: 2, LoadsAtOnce: 8, AdaptersInTransit: 100},
	}
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprintf("model-%d", i+1), Version: version, Pool: "assistant", MemoryMB: memoryMB}
		for j := range adapters {
			m.Adapters = append(m.Adapters, envdoc.Adapter{Name: fmt.Sprintf("adapter-%d-%d", i+1, j+1), Version: "1", MemoryMB: 100})
		}
		doc.Models = append(doc.Models, m)
	}
	return doc
}

// inTransit counts a load that begins or ends.
func (w *world) inTransit(slot envdoc.Slot, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slot.Adapter == "" {
		w.models += n
		w.mostModels = max(w.mostModels, w.models)
		return
	}
	w.adapters += n
	w.mostAdapters = max(w.mostAdapters, w.adapters)
}

// most returns the most models and adapters that were loaded at once.
func (w *world) most() (models, adapters int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mostModels, w.mostAdapters
}

// overcommitted returns the first engine that ever held more than it has.
func (w *world) overcommitted() string {
	for _, e := range w.engines {
		e.mu.Lock()
		peak := e.peakMB
		e.mu.Unlock()
		if peak > e.vm.MemoryMB {
			return fmt.Sprintf("%s held %d MB", e.vm.ID, peak)
		}
	}
	return ""
}

// checkMemory requires that no engine ever held more than it has.
func (w *world) checkMemory() {
	w.t.Helper()
	require.Empty(w.t, w.overcommitted())
}

// unloaded notes an unload that leaves a declared model on no engine.
func (w *world) unloaded(slot envdoc.Slot) {
	doc, ok := w.Document()
	if !ok || slot.Adapter != "" || !declares(doc, slot) {
		return
	}
	for _, e := range w.engines {
		if e.holdsModel(slot.Model) {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreached = append(w.unreached, slot.String())
}

// lastUnloads returns the unloads that took a last replica away.
func (w *world) lastUnloads() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.unreached)
}

// moved counts the slots that came and went on all engines.
func (w *world) moved() int {
	n := 0
	for _, e := range w.engines {
		n += e.moves()
	}
	return n
}

// replicas counts the engines that hold a slot.
func (w *world) replicas(slot envdoc.Slot) int {
	n := 0
	for _, e := range w.engines {
		if e.holds(slot) {
			n++
		}
	}
	return n
}

// missing lists the declared slots that no engine holds.
func (w *world) missing() []envdoc.Slot {
	var missing []envdoc.Slot
	for _, m := range w.doc.Models {
		slot := envdoc.Slot{Model: m.Name, Version: m.Version}
		if w.replicas(slot) == 0 {
			missing = append(missing, slot)
		}
		for _, a := range m.Adapters {
			slot := envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version}
			if w.replicas(slot) == 0 {
				missing = append(missing, slot)
			}
		}
	}
	return missing
}
