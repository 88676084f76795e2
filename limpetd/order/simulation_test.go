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
	testDataCentre  = "dc1"
)

// simulation is a data centre with a table, engines and daemons.
type simulation struct {
	t       testing.TB
	table   *fakeTable
	engines []*fakeEngine
	mu      sync.Mutex
	doc     *envdoc.Document
	demand  []member.ModelDemand
	// reports are the reports as the daemons receive them, delayed by reportLag.
	reports     map[string]receivedReport
	lostReports map[string]bool
	daemons     []*fakeDaemon
	started     int
	// peersUnreachable is whether daemons can't reach each other.
	peersUnreachable bool
	// The numbers of model and adapter loads in flight, and their maxima.
	loadingModels, loadingAdapters, maxLoadingModels, maxLoadingAdapters int
	// lastReplicaUnloads are the unloads that removed the last replica of a model.
	lastReplicaUnloads []string
}

type receivedReport struct {
	report engine.Report
	at     time.Time
}

const reportLag = time.Second

// fakeDaemon is a daemon that runs a Controller.
type fakeDaemon struct {
	*simulation
	vm         string
	controller *Controller
	cancel     context.CancelFunc
	// paused is not nil while the daemon is paused: its calls to the table and engines
	// then block.
	paused  chan struct{}
	pauseMu sync.Mutex
	stopped bool
	// heldOrders is not nil while the daemon's orders to engines block.
	heldOrders chan struct{}
}

func newSimulation(t testing.TB, engines int, memoryMB int64, fencing store.Fencing) *simulation {
	s := &simulation{t: t, table: newFakeTable(), reports: map[string]receivedReport{}, lostReports: map[string]bool{}}
	for i := range engines {
		e := &fakeEngine{loadTime: 2 * time.Second, vm: store.VM{
			ID: fmt.Sprintf("engine-%d", i+1), Kind: store.KindEngine, DataCentre: testDataCentre, Pool: "assistant",
			Address: fmt.Sprintf("engine-%d:1", i+1), State: store.StateLive, Fencing: fencing, MemoryMB: memoryMB, Accelerators: 1,
		}}
		e.restart()
		e.simulation = s
		s.engines = append(s.engines, e)
	}
	return s
}

// run advances the simulation, with a report of each engine per second.
func (s *simulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(reportLag)
		for _, e := range s.engines {
			r := e.report()
			s.mu.Lock()
			lost := s.lostReports[e.vm.ID]
			s.mu.Unlock()
			if !lost {
				time.AfterFunc(reportLag, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.reports[e.vm.ID] = receivedReport{r, time.Now()}
				})
			}
		}
	}
}

// start adds a daemon.
func (s *simulation) start(vm string) *fakeDaemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &fakeDaemon{simulation: s, vm: vm, cancel: cancel}
	s.started++
	instance := fmt.Sprintf("%s#%d", vm, s.started)
	d.controller = New(ctx, Config{VM: vm, Instance: instance, DataCentre: testDataCentre, Environment: testEnvironment}, Deps{
		Table: &daemonTable{d}, OrderSender: d, Documents: s, VMs: s, Reports: s, Demand: s, Grants: d,
		Log: zap.NewNop(), Events: event.New(vm), Scope: tally.NoopScope,
	}, WithConnectionLifetime(8*time.Second), WithOrderTimeout(20*time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = append(s.daemons, d)
	return d
}

// kill ends a daemon without Leave. Its VM stays listed unless gone.
func (s *simulation) kill(d *fakeDaemon, gone bool) {
	d.cancel()
	d.resume()
	require.NoError(s.t, ignoreCancel(d.controller.Wait()))
	s.mu.Lock()
	defer s.mu.Unlock()
	d.stopped = true
	if gone {
		s.daemons = slices.DeleteFunc(s.daemons, func(o *fakeDaemon) bool { return o == d })
	}
}

// stop ends all daemons.
func (s *simulation) stop() {
	for _, d := range slices.Clone(s.daemons) {
		s.kill(d, true)
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
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	if d.paused == nil {
		d.paused = make(chan struct{})
	}
}

func (d *fakeDaemon) resume() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
	}
	if d.heldOrders != nil {
		close(d.heldOrders)
		d.heldOrders = nil
	}
}

// holdOrders blocks the daemon's orders to engines until resume.
func (d *fakeDaemon) holdOrders() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	d.heldOrders = make(chan struct{})
}

// waitResumed blocks while the daemon is paused.
func (d *fakeDaemon) waitResumed() {
	d.pauseMu.Lock()
	paused := d.paused
	d.pauseMu.Unlock()
	if paused != nil {
		<-paused
	}
}

// Order implements engine.OrderSender. An order of a paused daemon is sent after resume.
func (d *fakeDaemon) Order(ctx context.Context, address string, o engine.Order) (engine.OrderResult, error) {
	d.pauseMu.Lock()
	held := d.heldOrders
	d.pauseMu.Unlock()
	if held != nil {
		<-held
	}
	d.waitResumed()
	for _, e := range d.engines {
		if e.vm.Address == address {
			return e.deliver(ctx, o)
		}
	}
	return engine.OrderResult{}, code.Errorf(code.BackendFailed, "no engine at %s", address)
}

// QueryGrant implements GrantQuerier. A paused daemon does not answer.
func (d *fakeDaemon) QueryGrant(_ context.Context, daemon, grant string) (GrantAnswer, error) {
	d.mu.Lock()
	i := slices.IndexFunc(d.daemons, func(o *fakeDaemon) bool { return o.vm == daemon && !o.stopped })
	if i < 0 || d.peersUnreachable {
		d.mu.Unlock()
		return GrantAnswer{}, code.Errorf(code.PeerDown, "%s does not answer", daemon)
	}
	peer := d.daemons[i]
	d.mu.Unlock()
	peer.pauseMu.Lock()
	paused := peer.paused != nil
	peer.pauseMu.Unlock()
	if paused {
		return GrantAnswer{}, code.Errorf(code.PeerDown, "%s does not answer", daemon)
	}
	return peer.controller.AnswerGrantQuery(grant), nil
}

// daemonTable blocks the table calls of a paused daemon.
type daemonTable struct{ d *fakeDaemon }

func (t *daemonTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	t.d.waitResumed()
	return t.d.table.Get(ctx, keys...)
}

func (t *daemonTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.d.waitResumed()
	return t.d.table.Scan(ctx, prefix, after, limit)
}

func (t *daemonTable) Apply(ctx context.Context, tx store.Tx) error {
	t.d.waitResumed()
	err := t.d.table.Apply(ctx, tx)
	t.d.waitResumed()
	return err
}

func (s *simulation) Document() (*envdoc.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc, s.doc != nil
}

func (s *simulation) VMs() []store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var vms []store.VM
	for _, e := range s.engines {
		vms = append(vms, e.vm)
	}
	for _, d := range s.daemons {
		vms = append(vms, store.VM{ID: d.vm, Kind: store.KindEntry, DataCentre: testDataCentre, State: store.StateLive})
	}
	return vms
}

func (s *simulation) Report(vm string) (engine.Report, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.reports[vm]
	return l.report, l.at, ok
}

func (s *simulation) Demand() []member.ModelDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.demand)
}

// declare puts a document in force.
func (s *simulation) declare(doc *envdoc.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = doc
}

// document returns a document with models of equal size and their adapters.
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

// countLoading counts a load that begins or ends.
func (s *simulation) countLoading(slot envdoc.Slot, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.Adapter == "" {
		s.loadingModels += delta
		s.maxLoadingModels = max(s.maxLoadingModels, s.loadingModels)
		return
	}
	s.loadingAdapters += delta
	s.maxLoadingAdapters = max(s.maxLoadingAdapters, s.loadingAdapters)
}

// maxLoads returns the maximum numbers of concurrent model and adapter loads.
func (s *simulation) maxLoads() (models, adapters int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxLoadingModels, s.maxLoadingAdapters
}

// overcommitted describes the first engine that ever exceeded its memory.
func (s *simulation) overcommitted() string {
	for _, e := range s.engines {
		e.mu.Lock()
		peak := e.peakMB
		e.mu.Unlock()
		if peak > e.vm.MemoryMB {
			return fmt.Sprintf("%s held %d MB", e.vm.ID, peak)
		}
	}
	return ""
}

// checkMemory requires that no engine ever exceeded its memory.
func (s *simulation) checkMemory() {
	s.t.Helper()
	require.Empty(s.t, s.overcommitted())
}

// recordUnload records an unload that leaves a declared model on no engine.
func (s *simulation) recordUnload(slot envdoc.Slot) {
	doc, ok := s.Document()
	if !ok || slot.Adapter != "" || !declares(doc, slot) {
		return
	}
	for _, e := range s.engines {
		if e.holdsModel(slot.Model) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReplicaUnloads = append(s.lastReplicaUnloads, slot.String())
}

// unloadedLastReplicas returns the unloads that removed a last replica.
func (s *simulation) unloadedLastReplicas() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.lastReplicaUnloads)
}

// totalMoves counts the loaded and unloaded slots of all engines.
func (s *simulation) totalMoves() int {
	n := 0
	for _, e := range s.engines {
		n += e.moves()
	}
	return n
}

// countReplicas counts the engines that hold a slot.
func (s *simulation) countReplicas(slot envdoc.Slot) int {
	n := 0
	for _, e := range s.engines {
		if e.holds(slot) {
			n++
		}
	}
	return n
}

// missing lists the declared slots that no engine holds.
func (s *simulation) missing() []envdoc.Slot {
	var missing []envdoc.Slot
	for _, m := range s.doc.Models {
		slot := envdoc.Slot{Model: m.Name, Version: m.Version}
		if s.countReplicas(slot) == 0 {
			missing = append(missing, slot)
		}
		for _, a := range m.Adapters {
			slot := envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version}
			if s.countReplicas(slot) == 0 {
				missing = append(missing, slot)
			}
		}
	}
	return missing
}
