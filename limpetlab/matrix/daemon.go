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
	leaseTerm   = 4 * time.Second
	planPeriod  = 500 * time.Millisecond
	lifetime    = 8 * time.Second
	orderWait   = 20 * time.Second
	holdTime    = 10 * time.Second
	batchPeriod = time.Second
	// joinTime is how long a daemon counts as joining.
	joinTime = 5 * time.Second
	// leaveGrace is how long after it began to leave a daemon may still take
	// new work.
	leaveGrace = 3 * time.Second
	drainTime  = 60 * time.Second
	// wakeTime is the time between two that go on after a pause.
	wakeTime   = time.Microsecond
	drainPause = 100 * time.Millisecond
)

// daemon is a daemon of the rig: the real duties, joined as in a daemon.
type daemon struct {
	rig        *rig
	vm         string
	instance   string
	dataCentre string
	ctx        context.Context
	cancel     context.CancelFunc
	started    time.Time
	// trial marks the daemon of the trial environment.
	trial bool
	// up is closed once the daemon is part of the rig.
	up chan struct{}

	docs   *docs.Duty
	watch  *watch.Watch
	queue  *admit.Queue
	relay  *relay.Relay
	claims *claim.Claims
	batch  *batch.Duty
	order  *order.Duty
	gate   *gate.Gate
	peers  *peers

	mu       sync.Mutex
	paused   chan struct{}
	waiting  int
	leaving  time.Time
	gone     bool
	left     bool
	serving  int
	revision int64
	vms      []store.VM
}

// newDaemon starts a daemon.
func newDaemon(r *rig, vm, dataCentre string) *daemon {
	ctx, cancel := context.WithCancel(r.ctx)
	d := &daemon{
		rig: r, vm: vm, instance: vm + "-1", dataCentre: dataCentre,
		ctx: ctx, cancel: cancel, started: time.Now(), up: make(chan struct{}),
	}
	d.peers = newPeers(d)
	apart()
	log, events, scope := nopLog, nopEvents, tally.NoopScope
	table, engines := platform{d}, engines{d}
	d.docs = docs.New(ctx,
		docs.Config{Environment: environment, Stage: docs.Production, VM: vm, Instance: d.instance},
		docs.Deps{Table: table, Objects: objects{table}, Peers: d.peers, Log: log, Events: events, Scope: scope},
		docs.WithSeed(r.seed))
	apart()
	d.watch = watch.New(ctx, watch.Config{VM: vm, DataCentre: dataCentre},
		watch.Deps{VMs: d, Reporter: engines, Log: log, Events: events, Scope: scope},
		watch.WithRandom(d.random("watch")))
	apart()
	d.queue = admit.New(ctx, admit.Config{VM: vm, DataCentre: dataCentre},
		admit.Deps{Documents: d.docs, Views: d.watch, Peers: d.peers, VMs: d, Log: log, Events: events, Scope: scope},
		admit.WithRandom(d.random("admit")))
	d.relay = relay.New(relay.Deps{Generator: engines, Admitter: d.queue, Log: log, Events: events, Scope: scope},
		relay.WithDial(r.services.dial(d)))
	apart()
	d.claims = claim.New(ctx, claim.Config{Environment: environment},
		claim.Deps{Table: table, Log: log, Events: events, Scope: scope},
		claim.WithRandom(d.random("claim")))
	apart()
	d.batch = batch.New(ctx,
		batch.Config{VM: vm, Instance: d.instance, Environment: environment, HoldFor: holdTime, PollEvery: batchPeriod},
		batch.Deps{Table: table, Objects: objects{table}, Answerer: d.relay, Documents: d.docs, Log: log, Events: events, Scope: scope},
		batch.WithRandom(d.random("batch")))
	apart()
	d.order = order.New(ctx,
		order.Config{VM: vm, Instance: d.instance, DataCentre: dataCentre, Environment: environment, LeaseTerm: leaseTerm, PlanPeriod: planPeriod},
		order.Deps{
			Table: table, Orderer: engines, Documents: d.docs, VMs: d, Reports: d.watch, Demand: demand{d.queue},
			Sent: d.peers, Log: log, Events: events, Scope: scope,
		},
		order.WithConnectionLifetime(lifetime), order.WithOrderTimeout(orderWait), order.WithRandom(d.random("order")))
	d.gate = gate.New(gate.Config{}, gate.Deps{
		Documents: d.docs, Relay: d.relay, Claims: d.claims, Batches: d.batch, Log: log, Events: events, Scope: scope,
	})
	return d
}

// random returns the source of a part of the daemon; it follows from the seed.
func (d *daemon) random(part string) *rand.Rand {
	return random.Seeded(d.rig.seed, d.vm+"/"+part)
}

// demand is the demand of the data centre.
type demand struct{ queue *admit.Queue }

// Demand implements order.DemandProvider.
func (q demand) Demand() []member.ModelDemand { return q.queue.DataCentreDemand() }

// VMs returns the platform's list as the daemon read it last.
func (d *daemon) VMs() []store.VM {
	if !d.cut() {
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

// hit tells the trap that the daemon takes steps.
func (d *daemon) hit(steps ...Step) fault.Action {
	d.mu.Lock()
	leaving := !d.leaving.IsZero()
	d.mu.Unlock()
	if time.Since(d.started) < joinTime && d.rig.complete() {
		steps = append(steps, Join)
	}
	if leaving {
		steps = append(steps, Leave)
	}
	if len(steps) > 0 {
		d.rig.trace.note("%s steps %v", d.vm, steps)
	}
	return d.rig.trap.hit(d, steps...)
}

// pause lets nothing leave or reach the daemon for a time.
func (d *daemon) pause(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused != nil {
		return
	}
	paused := make(chan struct{})
	d.paused = paused
	d.waiting = 0
	d.rig.after(t, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.paused = nil
		close(paused)
	})
}

// await returns once the daemon is not paused. Those that wait go on one after
// the other.
func (d *daemon) await() {
	d.mu.Lock()
	paused := d.paused
	d.waiting++
	place := d.waiting
	d.mu.Unlock()
	if paused != nil {
		<-paused
		time.Sleep(time.Duration(place) * wakeTime)
	}
}

// isPaused tells whether the daemon is paused.
func (d *daemon) isPaused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paused != nil
}

// dead tells whether the daemon has died or left.
func (d *daemon) dead() bool { return d.ctx.Err() != nil }

// cut tells whether the daemon is cut off from the platform.
func (d *daemon) cut() bool { return d.rig.isCut(d.dataCentre) }

// cutFrom tells whether the way to a backend server is cut.
func (d *daemon) cutFrom(address string) bool {
	dc := d.rig.dataCentreOf(address)
	return dc != d.dataCentre && (d.rig.isCut(dc) || d.cut())
}

// ordered notes that the daemon sends an order.
func (d *daemon) ordered() {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	if !leaving.IsZero() && time.Since(leaving) > leaveGrace {
		d.rig.violate("leaving: %s sent an order %v after it began to leave", d.vm, time.Since(leaving))
	}
}

// Errors of connections: to a daemon that is not there, and of a request that
// was being served.
var (
	errBroken = errors.New("the connection is refused")
	errCut    = errors.New("the connection broke")
)

// serve answers a request as the daemon's server would.
func (d *daemon) serve(request *http.Request) (*http.Response, error) {
	d.await()
	d.mu.Lock()
	if d.gone || d.left {
		d.mu.Unlock()
		return nil, errBroken
	}
	d.serving++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.serving--
	}()
	ctx, cancel := context.WithCancel(request.Context())
	answer := httptest.NewRecorder()
	done := make(chan struct{})
	d.rig.spawn(func() {
		defer cancel()
		defer close(done)
		d.gate.Handler().ServeHTTP(answer, request.Clone(ctx))
	})
	select {
	case <-done:
		d.await()
		return answer.Result(), nil
	case <-d.ctx.Done():
		cancel()
		return nil, errCut
	}
}

// leave ends the daemon as its process does after the signal.
func (d *daemon) leave() {
	d.mu.Lock()
	if !d.leaving.IsZero() || d.gone {
		d.mu.Unlock()
		return
	}
	d.leaving = time.Now()
	d.mu.Unlock()
	d.gate.Leave()
	ctx, cancel := context.WithTimeout(d.ctx, drainTime)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { _ = d.order.Leave(ctx) })
	parts.Go(func() { _ = d.batch.Leave(ctx) })
	parts.Wait()
	for !d.drained() && ctx.Err() == nil {
		time.Sleep(drainPause)
	}
	if !d.drained() && !d.dead() {
		d.rig.violate("graceful shutdown: %s ended with %d requests in flight", d.vm, d.gate.Inflight())
	}
}

// drained closes the daemon's listener once no request is in flight, and tells
// whether it has.
func (d *daemon) drained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = d.left || d.serving == 0
	return d.left
}

// end ends the daemon at once and waits for its goroutines.
func (d *daemon) end() {
	d.mu.Lock()
	d.gone = true
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
