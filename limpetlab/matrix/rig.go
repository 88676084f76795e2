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
	environment = "lab"
	enginesADC  = 2
	daemonsADC  = 2
	engineMB    = 60_000
	models      = 4
	adapters    = 4
	listLag     = 2 * time.Second
	cacheGap    = 7
	stepTime    = 20 * time.Millisecond
	reportTime  = 500 * time.Millisecond
	// balancerLag is how long callers are still sent to a daemon that leaves.
	balancerLag = 2 * time.Second
	// endTime lets the connections of an ended rig close.
	endTime = 10 * time.Second
)

// dataCentres are those of the rig.
var dataCentres = []string{"dc-a", "dc-b"}

// rig runs a cell: stand-ins, daemons, operators and callers.
type rig struct {
	cell       Cell
	seed       uint64
	trace      *trace
	deployment deploy.Deployment
	ctx        context.Context
	cancel     context.CancelFunc
	trap       *trap
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
	// places holds the data centre of each address; it does not change.
	places map[string]string
	// work counts the goroutines of the rig, outside those of callers and
	// operators.
	work    sync.WaitGroup
	outside sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	daemons []*daemon
	ended   []*daemon
	trial   *daemon
	names   int
	// submissions counts those of operators.
	submissions int
	cuts        map[string]int
	ready       bool
	accepted    []acceptance
	violations  []string
}

// acceptance is an accepted document.
type acceptance struct {
	revision int64
	at       time.Time
}

// newRig starts the rig of a cell.
func newRig(ctx context.Context, c Cell, seed uint64) *rig {
	ctx, cancel := context.WithCancel(ctx)
	d := deploy.Andesoft()
	d.Name = environment
	d.DataCentres, d.Models, d.Adapters, d.EngineMB = dataCentres, models, adapters, engineMB
	d = d.Faster(10)
	r := &rig{
		cell: c, seed: seed, trace: newTrace(), deployment: d, ctx: ctx, cancel: cancel,
		switches: fault.NewSwitch(),
		fleet:    engsim.NewFleet(),
		weights:  weight.New(d.Store),
		places:   make(map[string]string),
		random:   rand.New(rand.NewPCG(seed, uint64(len(c.Name())))),
		cuts:     make(map[string]int),
	}
	r.trap = newTrap(r, c, r.random)
	r.table = table.New(table.Config{}, table.WithFaults(r.switches))
	r.objects = object.New(object.WithFaults(r.switches))
	r.list = vmlist.New(listLag, vmlist.WithFaults(r.switches))
	r.client = caller.New(caller.WithTransport(r))
	r.judge = judge.New(d.Document(1))
	r.startBackends()
	r.trial = r.newTrial()
	for _, dc := range dataCentres {
		for range daemonsADC {
			r.join(dc)
		}
	}
	return r
}

// startBackends starts engines of each kind of fencing and the plain service.
func (r *rig) startBackends() {
	fencings := []store.Fencing{store.FencingRefuses, store.FencingIgnores, store.FencingUnknown}
	var vms []string
	for i, dc := range dataCentres {
		for range enginesADC {
			n := len(r.engines)
			id := fmt.Sprintf("engine-%d", n+1)
			c := engsim.Config{
				VM: id, MemoryMB: engineMB, Fencing: fencings[n%len(fencings)], StepBase: stepTime,
				CacheLag: time.Second, CacheGap: cacheGap, ReportEvery: reportTime,
			}
			apart()
			e := engsim.New(r.ctx, c, r.weights)
			r.engines = append(r.engines, e)
			r.fleet.Add(id, e)
			r.places[id] = dc
			r.list.Add(store.VM{
				ID: id, Kind: store.KindEngine, DataCentre: dc, Region: environment, Address: id, State: store.StateLive,
				Pool: r.deployment.EnginePool, Fencing: c.Fencing, MemoryMB: engineMB, Accelerators: 1,
			})
		}
		vm := fmt.Sprintf("service-%d", i+1)
		vms = append(vms, vm)
		r.places[vm] = dc
		r.list.Add(store.VM{
			ID: vm, Kind: store.KindService, DataCentre: dc, Region: environment, Address: vm + ":80",
			State: store.StateLive, Pool: r.deployment.ServicePool,
		})
	}
	r.services = newServices(r, vms...)
}

// newTrial starts the daemon of the trial environment, of which only the
// document matters here.
func (r *rig) newTrial() *daemon {
	ctx, cancel := context.WithCancel(r.ctx)
	d := &daemon{rig: r, vm: "trial-1", instance: "trial-1", dataCentre: dataCentres[0], ctx: ctx, cancel: cancel, trial: true}
	d.docs = docs.New(ctx,
		docs.Config{Environment: environment, Stage: docs.Trial, VM: d.vm, Instance: d.instance},
		docs.Deps{Table: platform{d}, Objects: objects{platform{d}}, Log: nopLog, Events: nopEvents},
		docs.WithSeed(r.seed))
	return d
}

// spawn runs f in a goroutine that the rig waits for.
func (r *rig) spawn(f func()) { r.work.Go(f) }

// visit runs f in a goroutine of a caller or operator; the last checks wait for
// it.
func (r *rig) visit(f func()) { r.outside.Go(f) }

// after runs f after d unless the rig ends first.
func (r *rig) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		if r.ctx.Err() == nil {
			f()
		}
	})
}

// violate notes a broken promise.
func (r *rig) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// complete tells whether all first daemons run and the models were reachable.
func (r *rig) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// live returns the daemons that run, those that leave included.
func (r *rig) live() []*daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.daemons), (*daemon).dead)
}

// front returns the daemons that the balancer sends callers to.
func (r *rig) front() []*daemon {
	return slices.DeleteFunc(r.live(), func(d *daemon) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.leaving.IsZero() && time.Since(d.leaving) > balancerLag
	})
}

// someDaemon returns a daemon at random.
func (r *rig) someDaemon() *daemon {
	front := r.front()
	for len(front) == 0 {
		time.Sleep(replaceTime)
		front = r.front()
	}
	return front[r.intn(len(front))]
}

// intn returns a random number below n.
func (r *rig) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// join starts a daemon on a new VM.
func (r *rig) join(dc string) {
	r.mu.Lock()
	r.names++
	vm := fmt.Sprintf("entry-%d", r.names)
	r.mu.Unlock()
	d := newDaemon(r, vm, dc)
	r.list.Add(store.VM{ID: vm, Kind: store.KindEntry, DataCentre: dc, Region: environment, Address: vm, State: store.StateLive})
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	close(d.up)
	apart()
	r.spawn(d.peers.share)
}

// remove ends a daemon and takes it out of the rig.
func (r *rig) remove(d *daemon) {
	d.end()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = slices.DeleteFunc(r.daemons, func(o *daemon) bool { return o == d })
	r.ended = append(r.ended, d)
}

// kill ends a daemon at once; its VM is replaced later.
func (r *rig) kill(d *daemon) {
	if d.dead() {
		return
	}
	d.end()
	r.visit(func() {
		sleep(r.ctx, replaceTime)
		if d.trial {
			next := r.newTrial()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.trial = next
			return
		}
		<-d.up
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

// leave lets a daemon leave; its VM is replaced at once.
func (r *rig) leave(d *daemon) {
	if d.trial || d.dead() {
		r.kill(d)
		return
	}
	<-d.up
	d.mu.Lock()
	begun := !d.leaving.IsZero()
	d.mu.Unlock()
	if begun {
		return
	}
	r.list.Leave(d.vm)
	r.join(d.dataCentre)
	r.visit(func() {
		sleep(r.ctx, leaveGrace+time.Second)
		r.probeLeaving(d)
	})
	d.leave()
	if !d.dead() {
		r.remove(d)
	}
	r.list.Remove(d.vm)
}

// storeFault lets the platform's services fail for a time.
func (r *rig) storeFault(a fault.Action, d time.Duration) {
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

// cutOff cuts a data centre off from the platform and from the other one.
func (r *rig) cutOff(dc string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[dc]++
	r.after(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cuts[dc]--
	})
}

// isCut tells whether a data centre is cut off.
func (r *rig) isCut(dc string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts[dc] > 0
}

// dataCentreOf returns the data centre of a backend server's address.
func (r *rig) dataCentreOf(address string) string {
	return r.places[address]
}

// RoundTrip implements http.RoundTripper: the host names the daemon's VM.
func (r *rig) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, d := range r.live() {
		if d.vm == request.URL.Host {
			return d.serve(request)
		}
	}
	return nil, errBroken
}

// end ends the rig.
func (r *rig) end() {
	for _, d := range r.live() {
		r.remove(d)
	}
	r.cancel()
	r.services.close()
	for _, e := range r.engines {
		_ = e.Stop()
	}
	for _, d := range r.ended {
		d.wait()
	}
	_ = r.trialDaemon().docs.Wait()
	r.work.Wait()
	time.Sleep(endTime)
}

// stored tells whether an operator should send the same submission again.
func stored(err error) bool {
	switch code.Of(err) {
	case code.OK, code.DocumentConflict, code.DocumentNotTried, code.DocumentUnknown, code.DocumentInvalid, code.DocumentUnfit:
		return true
	}
	return false
}
