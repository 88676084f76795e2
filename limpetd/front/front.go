// Package front is the HTTP entry point of a daemon: a proxy that forwards the calls of
// callers to backend servers without changing them.
//
// A call is one HTTP request of a caller; an attempt sends the call to one backend server.
// Each call is matched to a route, sent to the server that package sched chooses, and
// answered with the status, headers and body of that server's response. The kind of the
// route decides whether a call may be retried: an unsafe call is written to one server
// only, unless the server itself reports that it did not run the call. Events of a stream
// are forwarded as they arrive; a resumable stream that breaks continues on another engine
// after the last complete event.
//
// For a call to an engine, the daemon requests a reservation of engine time from a
// Reserver, so that an engine receives the prompts of many daemons one at a time. If the
// Reserver does not answer, the daemon chooses a server itself.
//
// A Dialect reads and writes the headers, so that the same front serves deployments with
// other header names.
//
// # Usage
//
//	f := front.New(ctx, front.Deps{Dialect: d, Pool: pool, Log: log, Scope: scope}, front.WithSettings(settings))
//	f.Apply(config)
//	f.SetServers(servers)
//	http.Serve(listener, f)
package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/origin"
	"github.com/limpetlb/limpetlb/limpetd/quota"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// Loader receives the demand for models and adapters.
type Loader interface {
	// RequestLoad requests a model that no engine holds or, if adapter is not empty, an adapter
	// of the model.
	RequestLoad(service, model, adapter string)
	// RecordCall records a call from which the demand is counted. tokens is the work of the
	// call, expressed in tokens of a prompt.
	RecordCall(service, model, adapter string, tokens float64)
}

// Reserver reserves the time of engines for the calls of all daemons.
type Reserver interface {
	// Reserve requests a reservation. If it returns an error, the daemon chooses a
	// server itself.
	Reserve(ctx context.Context, a sched.ReservationRequest) (sched.Reservation, error)
	// RecordSample records how long an engine took to read a prompt.
	RecordSample(s sched.Sample)
	// RecordStream records the end of a stream, and whether a pause between its events was
	// longer than its route allows.
	RecordStream(service string, paused bool)
}

// DepartureRecorder receives the servers that announce that they are leaving.
type DepartureRecorder interface {
	// RecordLeaving is called for each response of a server that says so.
	RecordLeaving(s *layout.Server)
}

// Deps holds the dependencies of a Front.
type Deps struct {
	Dialect Dialect
	Pool    *conns.Pool
	Loader  Loader
	// Reserver is nil if each daemon chooses servers itself.
	Reserver Reserver
	// Crashes is nil if no other daemon needs to know the ends of engines.
	Crashes CrashObserver
	// Limits is nil if no other daemon needs to know the limits that servers name.
	Limits LimitObserver
	// Streams reports streams that began; nil if there is no other daemon.
	Streams StreamReporter
	// Contact is nil if this daemon always learns of new servers and of the streams of others.
	Contact ContactProvider
	// Departures is nil if servers announce their leaving in no other way than by the list of
	// servers.
	Departures DepartureRecorder
	// Guard bounds the memory of calls; nil if there is no limit.
	Guard *guard.Guard
	Log   *zap.Logger
	Scope tally.Scope
}

// Option configures a Front.
type Option func(*Front)

// WithSettings sets the limits of retries and the data centre of the daemon.
func WithSettings(s sched.Settings) Option {
	return func(f *Front) { f.settings = s }
}

// Front is the HTTP handler that serves callers. It is safe for concurrent use.
type Front struct {
	tomb         *tomb.Tomb
	deps         Deps
	settings     sched.Settings
	activeConfig atomic.Pointer[activeConfig]
	// refuseAfter is the time after which new calls are refused; nil while the daemon is not leaving.
	refuseAfter atomic.Pointer[time.Time]
	// leaveCtx ends the calls that wait for a server, stopCtx ends all calls.
	leaveCtx, stopCtx       context.Context
	cancelLeave, cancelStop context.CancelFunc
	inFlight                atomic.Int64
	// buffered is the size in bytes of the bodies that are buffered.
	buffered atomic.Int64
	metrics  metrics
	// organisations counts the calls of organisations.
	organisations *organisationMetrics
	connects      *connectTracker
	paceLog       paceLog

	// crashesChanged holds a value after the ledger of ends has changed. A change that does not
	// fit is told with the one before.
	crashesChanged chan struct{}
	allowedParts   []uint64

	// mu guards the fields below.
	mu       sync.Mutex
	balancer *sched.Balancer
	// quotas are the buckets of the quotas, used while this daemon is the lease holder. holdings are the shares and the
	// unused credit of this daemon.
	quotas   *quota.Table
	holdings *quota.Daemon
	ends     endTracker
	crashes  *crash.Ledger
	// origins remembers at which software version streams began. services are the services that have
	// been listed with servers.
	origins *origin.Table
	// moved are the routes that led to other services lately.
	moved    movedRoutes
	services []string
	// endNoticed is whether this daemon has noticed an end since the observer was told last.
	endNoticed bool
	// leading is whether this daemon is the lease holder.
	leading bool
	// retriesLogged is when the use of the retry budget of a service was logged last.
	retriesLogged map[string]time.Time
	// estimateLogged is the same for the estimates of how fast engines prefill prompts.
	estimateLogged map[string]time.Time
	// waiters holds the calls that wait for a server. dispatch sorts it with sched.SortWaiters.
	waiters []*waiter
}

// activeConfig is the configuration in force, with values computed from its routes.
type activeConfig struct {
	config     *layout.Config
	routeIndex *layout.RouteIndex
	// requirements holds the requirements of the streams of each service.
	requirements map[string]sched.Requirements
}

// newActiveConfig indexes the routes of a configuration and computes the requirements of each
// service from its stream routes that have an expectation.
func newActiveConfig(c *layout.Config) *activeConfig {
	s := &activeConfig{config: c, routeIndex: layout.NewRouteIndex(c.Routes), requirements: map[string]sched.Requirements{}}
	organisations, routeApplies := organisationPriority(c.Organisations)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != layout.Stream || r.Expectation <= 0 {
			continue
		}
		priority := r.Priority
		switch {
		case c.Keys == nil || r.Public:
		case routeApplies:
			priority = min(priority, organisations)
		default:
			priority = organisations
		}
		for _, t := range r.Targets {
			d, ok := s.requirements[t.Service]
			if !ok {
				d = sched.Requirements{ShortestExpectation: r.Expectation, TopPriority: priority}
			}
			s.requirements[t.Service] = sched.Requirements{ShortestExpectation: min(d.ShortestExpectation, r.Expectation), TopPriority: min(d.TopPriority, priority)}
		}
	}
	return s
}

var _ http.Handler = (*Front)(nil)

// New returns a Front without a configuration. It refuses all calls until Apply. Its goroutines
// run until ctx ends.
func New(ctx context.Context, d Deps, opts ...Option) *Front {
	t, ctx := life.WithContext(ctx)
	if d.Guard == nil {
		d.Guard = guard.Unlimited()
	}
	f := &Front{tomb: t, deps: d, metrics: newMetrics(d.Scope), organisations: newOrganisationMetrics(d.Scope), connects: newConnectTracker(d.Log), ends: newEndTracker(), origins: origin.NewTable(), crashesChanged: make(chan struct{}, 1), retriesLogged: map[string]time.Time{}, estimateLogged: map[string]time.Time{}}
	if d.Contact == nil {
		f.origins.SetComplete()
	}
	f.leaveCtx, f.cancelLeave = context.WithCancel(ctx)
	f.stopCtx, f.cancelStop = context.WithCancel(ctx)
	for _, o := range opts {
		o(f)
	}
	f.balancer = sched.NewBalancer(f.settings, random.New())
	f.quotas, f.holdings = quota.NewTable(), quota.NewDaemon(random.New().Float64)
	f.crashes = crash.NewLedger(crash.WithAllowed(f.allowedParts))
	t.Go(func() error {
		f.tellCrashes(ctx)
		return nil
	})
	for range endProbers {
		t.Go(func() error {
			f.probeEnds(ctx)
			return nil
		})
	}
	return f
}

// Wait returns when the goroutines of the Front have ended.
func (f *Front) Wait() error { return f.tomb.Wait() }

// Apply puts a configuration in force unless the current one has the same or a newer
// version. It reports whether the configuration was applied.
func (f *Front) Apply(c *layout.Config) bool {
	for {
		old := f.activeConfig.Load()
		if old != nil && old.config.Version >= c.Version {
			return false
		}
		next := newActiveConfig(c)
		if f.activeConfig.CompareAndSwap(old, next) {
			if old != nil {
				f.mu.Lock()
				f.moved.record(old, next, time.Now())
				f.mu.Unlock()
			}
			f.applyQuotas()
			f.endWithdrawn()
			f.notify()
			return true
		}
	}
}

// Config returns the configuration in force, or nil if there is none.
func (f *Front) Config() *layout.Config {
	if s := f.activeConfig.Load(); s != nil {
		return s.config
	}
	return nil
}

// SetServers replaces the list of running backend servers.
func (f *Front) SetServers(servers []*layout.Server) {
	now := time.Now()
	f.mu.Lock()
	for _, s := range f.ends.replaced(servers, now) {
		if !f.balancer.Leaving(s.ID) {
			f.recordEnd(s, now)
		}
	}
	f.ends.forget(servers)
	f.connects.forget(servers)
	f.recordVersions(servers, now)
	f.balancer.SetServers(servers)
	f.mu.Unlock()
	f.notify()
}

// SetPlacement sets the adapters that engines hold and the models that engines are about to
// unload, both by server.
func (f *Front) SetPlacement(adapters, unloading map[string]map[string]bool) {
	f.mu.Lock()
	f.balancer.SetAdapters(adapters, unloading)
	f.mu.Unlock()
	f.notify()
}

// SetDaemons sets the number of daemons that share the servers, and the rank of this daemon among them, from 0.
func (f *Front) SetDaemons(n, rank int) {
	f.mu.Lock()
	f.balancer.SetDaemons(n, rank, time.Now())
	f.mu.Unlock()
}

// SetSharedLoad sets the load that all daemons together put on each server.
func (f *Front) SetSharedLoad(all map[string]sched.ServerLoad) {
	f.mu.Lock()
	f.balancer.SetSharedLoad(all, time.Now())
	f.mu.Unlock()
	f.notify()
}

// OwnLoad returns the load that this daemon puts on each server.
func (f *Front) OwnLoad() map[string]sched.ServerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.OwnLoad(time.Now())
}

// RecordSamples records how long engines took to read prompts.
func (f *Front) RecordSamples(list []sched.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range list {
		f.balancer.RecordSample(s, now)
	}
}

// RecordStreams records how many streams of a service ended, and how many of them had a pause
// that was longer than their route allows.
func (f *Front) RecordStreams(service string, streams, paused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RecordStreams(service, streams, paused)
	f.logEstimate(service, streams, paused, time.Now())
}

// UsualPace returns how long work takes on an engine as a rule, relative to the estimates of its service.
func (f *Front) UsualPace(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.UsualPace(id)
}

// RecordPace records the pace that a server reported in the answer to an order or a report request.
func (f *Front) RecordPace(id string, r ResponseHeaders) {
	if r.pace() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RecordPace(id, r.pace(), time.Now())
}

// PrefillTimePerToken returns the time that an engine takes to read one token of a model's
// prompts.
func (f *Front) PrefillTimePerToken(service, model string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.PrefillTimePerToken(service, model)
}

// notify assigns servers to waiting calls after the state of servers has changed.
func (f *Front) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatch(time.Now())
}

// Leave prepares the daemon to leave: connections are closed after their responses, calls
// that wait for a server are refused, and from refuseAt on new calls are refused, because
// the daemon could not finish them.
func (f *Front) Leave(refuseAt time.Time) {
	f.refuseAfter.Store(&refuseAt)
	f.cancelLeave()
}

// Stop ends all calls. A call whose response has not begun is answered with an error.
func (f *Front) Stop() { f.cancelStop() }

// InFlight returns the number of calls that are not answered yet.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }
