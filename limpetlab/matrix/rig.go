package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/judge"
	"github.com/limpetlb/limpetlb/limpetlab/object"
	"github.com/limpetlb/limpetlb/limpetlab/table"
	"github.com/limpetlb/limpetlb/limpetlab/vmlist"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

// Sizes and times of the rig.
const (
	environment          = "lab"
	enginesPerDataCentre = 2
	daemonsPerDataCentre = 2
	engineMemoryMB       = 60_000
	modelCount           = 4
	adapterCount         = 4
	listLag              = 2 * time.Second // how late the VM list shows a change
	cacheGap             = 7               // one in cacheGap cache events is missing
	generationStep       = 20 * time.Millisecond
	reportInterval       = 500 * time.Millisecond
	// balancerLag is how long the balancer still sends requests to a daemon
	// that leaves.
	balancerLag = 2 * time.Second
	// connectionCloseTime is how long a stopped rig waits for its connections
	// to close.
	connectionCloseTime = 10 * time.Second
)

// dataCentres are the data centres of the rig.
var dataCentres = []string{"dc-a", "dc-b"}

// rig is the test environment of one cell: the stand-ins, the daemons, the
// operators and the callers.
type rig struct {
	cell       Cell
	seed       uint64
	trace      *trace
	deployment deploy.Deployment
	ctx        context.Context
	cancel     context.CancelFunc
	injector   *injector
	table      *table.Table
	objects    *object.Store
	list       *vmlist.List
	weights    *weight.Store
	fleet      *engsim.Fleet
	engines    []*engsim.Engine
	services   *services
	switches   *fault.Switch
	client     *caller.Client
	judge      *judge.Judge
	// dataCentreByAddress maps the address of each backend server to its data
	// centre. It does not change once the backend servers run.
	dataCentreByAddress map[string]string
	// background counts the goroutines of the rig itself, clients those of
	// callers and operators.
	background sync.WaitGroup
	clients    sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	daemons []*daemon
	removed []*daemon
	trial   *daemon
	// entryVMs counts the VMs of daemons, for their names.
	entryVMs int
	// submissions counts the submissions of operators, for their ids.
	submissions int
	// partitions counts the partitions in effect of each data centre.
	partitions map[string]int
	// setUp is whether the first daemons run and all models were reachable.
	setUp      bool
	accepted   []acceptance
	violations []string
}

// acceptance is a revision that was accepted for production.
type acceptance struct {
	revision int64
	at       time.Time
}

// newRig starts the rig of a cell.
func newRig(ctx context.Context, c Cell, seed uint64) *rig {
	ctx, cancel := context.WithCancel(ctx)
	d := deploy.Andesoft()
	d.Name = environment
	d.DataCentres, d.Models, d.Adapters, d.EngineMB = dataCentres, modelCount, adapterCount, engineMemoryMB
	d = d.Faster(10)
	r := &rig{
		cell: c, seed: seed, trace: newTrace(), deployment: d, ctx: ctx, cancel: cancel,
		switches:            fault.NewSwitch(),
		fleet:               engsim.NewFleet(),
		weights:             weight.New(d.Store),
		dataCentreByAddress: make(map[string]string),
		random:              rand.New(rand.NewPCG(seed, uint64(len(c.Name())))),
		partitions:          make(map[string]int),
	}
	r.injector = newInjector(r, c, r.random)
	r.table = table.New(table.Config{}, table.WithFaults(r.switches))
	r.objects = object.New(object.WithFaults(r.switches))
	r.list = vmlist.New(listLag, vmlist.WithFaults(r.switches))
	r.client = caller.New(caller.WithTransport(r))
	r.judge = judge.New(d.Document(1))
	r.startBackendServers()
	r.trial = r.newTrial()
	for _, dc := range dataCentres {
		for range daemonsPerDataCentre {
			r.join(dc)
		}
	}
	return r
}

// startBackendServers starts the engines, with all kinds of fencing, and the
// servers of the plain service.
func (r *rig) startBackendServers() {
	fencings := []store.Fencing{store.FencingRefuses, store.FencingIgnores, store.FencingUnknown}
	var vms []string
	for i, dc := range dataCentres {
		for range enginesPerDataCentre {
			n := len(r.engines)
			id := fmt.Sprintf("engine-%d", n+1)
			c := engsim.Config{
				VM: id, MemoryMB: engineMemoryMB, Fencing: fencings[n%len(fencings)], StepBase: generationStep,
				CacheLag: time.Second, CacheGap: cacheGap, ReportEvery: reportInterval,
			}
			staggerStart()
			e := engsim.New(r.ctx, c, r.weights)
			r.engines = append(r.engines, e)
			r.fleet.Add(id, e)
			r.dataCentreByAddress[id] = dc
			r.list.Add(store.VM{
				ID: id, Kind: store.KindEngine, DataCentre: dc, Region: environment, Address: id, State: store.StateLive,
				Pool: r.deployment.EnginePool, Fencing: c.Fencing, MemoryMB: engineMemoryMB, Accelerators: 1,
			})
		}
		vm := fmt.Sprintf("service-%d", i+1)
		vms = append(vms, vm)
		r.dataCentreByAddress[vm] = dc
		r.list.Add(store.VM{
			ID: vm, Kind: store.KindService, DataCentre: dc, Region: environment, Address: vm + ":80",
			State: store.StateLive, Pool: r.deployment.ServicePool,
		})
	}
	r.services = newServices(r, vms...)
}

// newTrial starts the daemon of the trial environment. Only its document duty
// runs, since the cells use no other part of it.
func (r *rig) newTrial() *daemon {
	ctx, cancel := context.WithCancel(r.ctx)
	d := &daemon{rig: r, vm: "trial-1", instance: "trial-1", dataCentre: dataCentres[0], ctx: ctx, cancel: cancel, isTrial: true}
	d.docs = docs.New(ctx,
		docs.Config{Environment: environment, Stage: docs.Trial, VM: d.vm, Instance: d.instance},
		docs.Deps{Table: tableClient{d}, Objects: objectClient{tableClient{d}}, Log: nopLog, Events: nopEvents},
		docs.WithSeed(r.seed))
	return d
}

// spawn runs f in a goroutine that stop waits for.
func (r *rig) spawn(f func()) { r.background.Go(f) }

// spawnClient runs f in a goroutine of a caller or operator, which
// checkFinalState waits for.
func (r *rig) spawnClient(f func()) { r.clients.Go(f) }

// after runs f after d unless the rig stops first.
func (r *rig) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		if r.ctx.Err() == nil {
			f()
		}
	})
}

// recordViolation records that an invariant did not hold.
func (r *rig) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// isSetUp reports whether the first daemons run and all models were reachable.
func (r *rig) isSetUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.setUp
}

// runningDaemons returns the daemons that run, including those that leave.
func (r *rig) runningDaemons() []*daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.daemons), (*daemon).isStopped)
}

// balancerTargets returns the daemons that the balancer sends requests to.
func (r *rig) balancerTargets() []*daemon {
	return slices.DeleteFunc(r.runningDaemons(), func(d *daemon) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.leavingSince.IsZero() && time.Since(d.leavingSince) > balancerLag
	})
}

// randomDaemon returns a random one of the balancer's targets, and waits while
// there is none.
func (r *rig) randomDaemon() *daemon {
	targets := r.balancerTargets()
	for len(targets) == 0 {
		time.Sleep(replaceDelay)
		targets = r.balancerTargets()
	}
	return targets[r.intn(len(targets))]
}

// intn returns a random number in [0, n).
func (r *rig) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// join starts a daemon on a new VM and adds it to the rig.
func (r *rig) join(dc string) {
	r.mu.Lock()
	r.entryVMs++
	vm := fmt.Sprintf("entry-%d", r.entryVMs)
	r.mu.Unlock()
	d := newDaemon(r, vm, dc)
	r.list.Add(store.VM{ID: vm, Kind: store.KindEntry, DataCentre: dc, Region: environment, Address: vm, State: store.StateLive})
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	close(d.joined)
	staggerStart()
	r.spawn(d.peers.shareReports)
}

// remove stops a daemon and removes it from the rig.
func (r *rig) remove(d *daemon) {
	d.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = slices.DeleteFunc(r.daemons, func(o *daemon) bool { return o == d })
	r.removed = append(r.removed, d)
}

// kill stops a daemon at once. Its VM is replaced after replaceDelay.
func (r *rig) kill(d *daemon) {
	if d.isStopped() {
		return
	}
	d.stop()
	r.spawnClient(func() {
		sleep(r.ctx, replaceDelay)
		if d.isTrial {
			next := r.newTrial()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.trial = next
			return
		}
		<-d.joined
		r.remove(d)
		r.list.Remove(d.vm)
		r.join(d.dataCentre)
	})
}

// trialDaemon returns the daemon of the trial environment.
func (r *rig) trialDaemon() *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trial
}

// leave shuts a daemon down gracefully. A new VM replaces its VM at once.
func (r *rig) leave(d *daemon) {
	if d.isTrial || d.isStopped() {
		r.kill(d)
		return
	}
	<-d.joined
	d.mu.Lock()
	begun := !d.leavingSince.IsZero()
	d.mu.Unlock()
	if begun {
		return
	}
	r.list.Leave(d.vm)
	r.join(d.dataCentre)
	r.spawnClient(func() {
		sleep(r.ctx, leaveGrace+time.Second)
		r.probeLeaving(d)
	})
	d.leave()
	if !d.isStopped() {
		r.remove(d)
	}
	r.list.Remove(d.vm)
}

// failPlatform applies a fault to the platform's services for a time.
func (r *rig) failPlatform(a fault.Action, d time.Duration) {
	names := []string{table.Name, object.Name, vmlist.Name}
	for _, n := range names {
		r.switches.Set(n, a)
	}
	r.after(d, func() {
		for _, n := range names {
			r.switches.Clear(n)
		}
	})
}

// partition separates a data centre from the platform and from the other data
// centre for a time.
func (r *rig) partition(dc string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[dc]++
	r.after(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.partitions[dc]--
	})
}

// isPartitioned reports whether a partition of a data centre is in effect.
func (r *rig) isPartitioned(dc string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitions[dc] > 0
}

// dataCentreOf returns the data centre of a backend server's address.
func (r *rig) dataCentreOf(address string) string {
	return r.dataCentreByAddress[address]
}

// RoundTrip implements http.RoundTripper. The URL's host is the VM of the
// daemon that serves the request.
func (r *rig) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, d := range r.runningDaemons() {
		if d.vm == request.URL.Host {
			return d.serve(request)
		}
	}
	return nil, errConnectionRefused
}

// stop stops the rig and waits for its goroutines.
func (r *rig) stop() {
	for _, d := range r.runningDaemons() {
		r.remove(d)
	}
	r.cancel()
	r.services.close()
	for _, e := range r.engines {
		_ = e.Stop()
	}
	for _, d := range r.removed {
		d.wait()
	}
	_ = r.trialDaemon().docs.Wait()
	r.background.Wait()
	time.Sleep(connectionCloseTime)
}

// isFinal reports whether the answer to a submission is final, so that the
// operator does not send the submission again.
func isFinal(err error) bool {
	switch code.Of(err) {
	case code.OK, code.DocumentConflict, code.DocumentNotTried, code.DocumentUnknown, code.DocumentInvalid, code.DocumentUnfit:
		return true
	}
	return false
}
