package matrix

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/gate"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetd/watch"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// Settings of the daemons.
const (
	leaseTerm          = 4 * time.Second
	planPeriod         = 500 * time.Millisecond
	connectionLifetime = 8 * time.Second
	orderTimeout       = 20 * time.Second
	batchHoldTime      = 10 * time.Second
	batchPollInterval  = time.Second
	// joinPeriod is how long after its start a daemon counts as joining.
	joinPeriod = 5 * time.Second
	// leaveGrace is how long a daemon may still accept new work after it began
	// to leave.
	leaveGrace   = 3 * time.Second
	drainTimeout = 60 * time.Second
	// resumeGap separates the times at which the waiting goroutines of a daemon
	// resume after a pause.
	resumeGap         = time.Microsecond
	drainPollInterval = 100 * time.Millisecond
)

// daemon is one daemon of the rig. It consists of the packages of the real
// daemon, connected in the same way.
type daemon struct {
	rig        *rig
	vm         string
	instance   string
	dataCentre string
	ctx        context.Context
	cancel     context.CancelFunc
	started    time.Time
	// isTrial is whether this is the daemon of the trial environment.
	isTrial bool
	// joined is closed once the daemon is part of the rig.
	joined chan struct{}

	docs   *docs.Duty
	watch  *watch.Watch
	queue  *admit.Queue
	relay  *relay.Relay
	claims *claim.Claims
	batch  *batch.Duty
	order  *order.Duty
	gate   *gate.Gate
	peers  *peers

	mu sync.Mutex
	// resumed is closed when the current pause ends; nil while the daemon is
	// not paused.
	resumed chan struct{}
	// waiters counts the calls of awaitResume since the last pause began.
	waiters int
	// leavingSince is when the daemon began to leave; zero if it is not
	// leaving.
	leavingSince time.Time
	// ended is whether stop was called.
	ended bool
	// listenerClosed is whether the daemon closed its listener, with no request
	// in flight, while it left.
	listenerClosed bool
	// inFlight counts the requests that the daemon is serving.
	inFlight int
	// maxRevision is the highest document revision that was seen in force here.
	maxRevision int64
	// vms is the VM list as the daemon last read it.
	vms []store.VM
}

// newDaemon starts a daemon.
func newDaemon(r *rig, vm, dataCentre string) *daemon {
	ctx, cancel := context.WithCancel(r.ctx)
	d := &daemon{
		rig: r, vm: vm, instance: vm + "-1", dataCentre: dataCentre,
		ctx: ctx, cancel: cancel, started: time.Now(), joined: make(chan struct{}),
	}
	d.peers = newPeers(d)
	staggerStart()
	log, events, scope := nopLog, nopEvents, tally.NoopScope
	table, engines := tableClient{d}, engineClient{d}
	d.docs = docs.New(ctx,
		docs.Config{Environment: environment, Stage: docs.Production, VM: vm, Instance: d.instance},
		docs.Deps{Table: table, Objects: objectClient{table}, Peers: d.peers, Log: log, Events: events, Scope: scope},
		docs.WithSeed(r.seed))
	staggerStart()
	d.watch = watch.New(ctx, watch.Config{VM: vm, DataCentre: dataCentre},
		watch.Deps{VMs: d, Reporter: engines, Log: log, Events: events, Scope: scope},
		watch.WithRandom(d.random("watch")))
	staggerStart()
	d.queue = admit.New(ctx, admit.Config{VM: vm, DataCentre: dataCentre},
		admit.Deps{Documents: d.docs, Views: d.watch, Peers: d.peers, VMs: d, Log: log, Events: events, Scope: scope},
		admit.WithRandom(d.random("admit")))
	d.relay = relay.New(relay.Deps{Generator: engines, Admitter: d.queue, Log: log, Events: events, Scope: scope},
		relay.WithDial(r.services.dial(d)))
	staggerStart()
	d.claims = claim.New(ctx, claim.Config{Environment: environment},
		claim.Deps{Table: table, Log: log, Events: events, Scope: scope},
		claim.WithRandom(d.random("claim")))
	staggerStart()
	d.batch = batch.New(ctx,
		batch.Config{VM: vm, Instance: d.instance, Environment: environment, HoldFor: batchHoldTime, PollEvery: batchPollInterval},
		batch.Deps{Table: table, Objects: objectClient{table}, Answerer: d.relay, Documents: d.docs, Log: log, Events: events, Scope: scope},
		batch.WithRandom(d.random("batch")))
	staggerStart()
	d.order = order.New(ctx,
		order.Config{VM: vm, Instance: d.instance, DataCentre: dataCentre, Environment: environment, LeaseTerm: leaseTerm, PlanPeriod: planPeriod},
		order.Deps{
			Table: table, Orderer: engines, Documents: d.docs, VMs: d, Reports: d.watch, Demand: demandProvider{d.queue},
			Sent: d.peers, Log: log, Events: events, Scope: scope,
		},
		order.WithConnectionLifetime(connectionLifetime), order.WithOrderTimeout(orderTimeout), order.WithRandom(d.random("order")))
	d.gate = gate.New(gate.Config{}, gate.Deps{
		Documents: d.docs, Relay: d.relay, Claims: d.claims, Batches: d.batch, Log: log, Events: events, Scope: scope,
	})
	return d
}

// random returns the random source of one package of the daemon. Its numbers
// are determined by the seed.
func (d *daemon) random(part string) *rand.Rand {
	return random.Seeded(d.rig.seed, d.vm+"/"+part)
}

// demandProvider provides the demand of the daemon's data centre.
type demandProvider struct{ queue *admit.Queue }

// Demand implements order.DemandProvider.
func (p demandProvider) Demand() []member.ModelDemand { return p.queue.DataCentreDemand() }

// VMs returns the platform's VM list. If the list can't be read, VMs returns
// the list that was read last.
func (d *daemon) VMs() []store.VM {
	if !d.isPartitioned() {
		vms, err := d.rig.list.VMs(d.ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		if err == nil {
			d.vms = vms
		}
		return d.vms
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms
}

// inject records that the daemon takes steps and returns the fault to apply to
// the message. A daemon that joins or leaves also takes that step.
func (d *daemon) inject(steps ...Step) fault.Action {
	d.mu.Lock()
	leaving := !d.leavingSince.IsZero()
	d.mu.Unlock()
	if time.Since(d.started) < joinPeriod && d.rig.isSetUp() {
		steps = append(steps, Join)
	}
	if leaving {
		steps = append(steps, Leave)
	}
	if len(steps) > 0 {
		d.rig.trace.addf("%s steps %v", d.vm, steps)
	}
	return d.rig.injector.inject(d, steps...)
}

// pause stops all messages from and to the daemon for a time. It has no effect
// on a paused daemon.
func (d *daemon) pause(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumed != nil {
		return
	}
	resumed := make(chan struct{})
	d.resumed = resumed
	d.waiters = 0
	d.rig.after(t, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.resumed = nil
		close(resumed)
	})
}

// awaitResume returns once the daemon is not paused. After a pause the waiting
// goroutines resume one after the other, in the order in which they began to
// wait.
func (d *daemon) awaitResume() {
	d.mu.Lock()
	resumed := d.resumed
	d.waiters++
	position := d.waiters
	d.mu.Unlock()
	if resumed != nil {
		<-resumed
		time.Sleep(time.Duration(position) * resumeGap)
	}
}

// isPaused reports whether the daemon is paused.
func (d *daemon) isPaused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumed != nil
}

// isStopped reports whether the daemon has died or left.
func (d *daemon) isStopped() bool { return d.ctx.Err() != nil }

// isPartitioned reports whether the daemon's data centre is partitioned from
// the platform.
func (d *daemon) isPartitioned() bool { return d.rig.isPartitioned(d.dataCentre) }

// isPartitionedFrom reports whether a partition separates the daemon from a
// backend server.
func (d *daemon) isPartitionedFrom(address string) bool {
	dc := d.rig.dataCentreOf(address)
	return dc != d.dataCentre && (d.rig.isPartitioned(dc) || d.isPartitioned())
}

// checkOrderAllowed records a violation if the daemon sends an order more than
// leaveGrace after it began to leave.
func (d *daemon) checkOrderAllowed() {
	d.mu.Lock()
	leavingSince := d.leavingSince
	d.mu.Unlock()
	if !leavingSince.IsZero() && time.Since(leavingSince) > leaveGrace {
		d.rig.recordViolation("leaving: %s sent an order %v after it began to leave", d.vm, time.Since(leavingSince))
	}
}

// Errors of a connection to a daemon that does not run, and of a connection
// that broke while the daemon served the request.
var (
	errConnectionRefused = errors.New("connection refused")
	errConnectionBroken  = errors.New("connection broken")
)

// serve answers a request as the daemon's HTTP server does.
func (d *daemon) serve(request *http.Request) (*http.Response, error) {
	d.awaitResume()
	d.mu.Lock()
	if d.ended || d.listenerClosed {
		d.mu.Unlock()
		return nil, errConnectionRefused
	}
	d.inFlight++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.inFlight--
	}()
	ctx, cancel := context.WithCancel(request.Context())
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	d.rig.spawn(func() {
		defer cancel()
		defer close(done)
		d.gate.Handler().ServeHTTP(recorder, request.Clone(ctx))
	})
	select {
	case <-done:
		d.awaitResume()
		return recorder.Result(), nil
	case <-d.ctx.Done():
		cancel()
		return nil, errConnectionBroken
	}
}

// leave shuts the daemon down gracefully, as its process does on the signal to
// stop.
func (d *daemon) leave() {
	d.mu.Lock()
	if !d.leavingSince.IsZero() || d.ended {
		d.mu.Unlock()
		return
	}
	d.leavingSince = time.Now()
	d.mu.Unlock()
	d.gate.Leave()
	ctx, cancel := context.WithTimeout(d.ctx, drainTimeout)
	defer cancel()
	var handovers sync.WaitGroup
	handovers.Go(func() { _ = d.order.Leave(ctx) })
	handovers.Go(func() { _ = d.batch.Leave(ctx) })
	handovers.Wait()
	for !d.closeIfIdle() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	if !d.closeIfIdle() && !d.isStopped() {
		d.rig.recordViolation("graceful shutdown: %s ended with %d requests in flight", d.vm, d.gate.Inflight())
	}
}

// closeIfIdle closes the daemon's listener if no request is in flight, and
// reports whether the listener is closed.
func (d *daemon) closeIfIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listenerClosed = d.listenerClosed || d.inFlight == 0
	return d.listenerClosed
}

// stop ends the daemon at once, without waiting for its goroutines.
func (d *daemon) stop() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.cancel()
}

// wait returns when the goroutines of the daemon have ended.
func (d *daemon) wait() {
	_ = d.order.Wait()
	_ = d.batch.Wait()
	_ = d.claims.Wait()
	_ = d.queue.Wait()
	_ = d.watch.Wait()
	_ = d.docs.Wait()
}
