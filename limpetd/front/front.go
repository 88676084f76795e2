// Package front serves callers over HTTP and passes their calls through to backend
// servers without changing them.
//
// A call is matched to a route, sent to the server that package sched chooses, and
// answered with that server's status, headers and body. What may be repeated follows
// from the kind of the route: an unsafe call is written to a server once, unless the
// server itself says that it did not run it. A stream is passed on event by event; a
// resumable one goes on at another engine after the last whole event.
//
// Calls to engines ask a Reserver for time of one, so that the prompts of many daemons
// reach it one by one; where nobody answers, the daemon chooses by itself.
//
// Names of headers belong to a Dialect, so that the same front serves deployments
// with other names.
//
// # Usage
//
//	f := front.New(ctx, front.Deps{Dialect: d, Pool: pool, Log: log, Scope: scope}, front.WithDataCentre("a"))
//	f.Apply(config)
//	f.Know(servers)
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

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// Call is what the headers of a call say.
type Call struct {
	ID string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	Model    string
	Adapter  string
	// PromptTokens and OutputTokens are 0 if the caller does not say.
	PromptTokens, OutputTokens int
	// Session identifies the shared prompt parts; 0 if there are none.
	Session uint64
	// LastEvent is the id of the last event that the caller has; empty if none.
	LastEvent string
}

// Send is what the daemon adds to a call for a backend server.
type Send struct {
	Instance string
	Left     time.Duration
	// Urgency is 0 for the most urgent calls of an engine, 9 for the least.
	Urgency int
	// Engines tells that the server is an engine.
	Engines bool
	// LastEvent is the id of the last event that the caller has got.
	LastEvent string
}

// Reply is what the headers of an answer say.
type Reply struct {
	// NotRun tells that the server says it did not run the call.
	NotRun bool
	// Elsewhere tells that the server is another one or lacks the model.
	Elsewhere bool
	// Stamped tells that the answer is that of the server to a call that it ran.
	Stamped bool
	// Load is what the server told of its load; nil if nothing.
	Load *sched.Told
}

// Dialect reads and writes the headers of a deployment.
type Dialect interface {
	// Read decodes a call and takes off the headers that callers may not set.
	Read(h http.Header) Call
	// Write sets what the server needs to know.
	Write(h http.Header, s Send)
	// Reply decodes the header of an answer.
	Reply(status int, h http.Header) Reply
	// Belongs tells whether an answer is that to the call with an id.
	Belongs(h http.Header, id string) bool
}

// Loader is asked for models and adapters that no engine holds.
type Loader interface {
	// Want asks for a model or, unless empty, an adapter of it.
	Want(service, model, adapter string)
	// Used notes a call, from which the demand is counted. Its work is told in tokens of
	// a prompt.
	Used(service, model, adapter string, tokens float64)
}

// Reserver gives calls time of engines, for all daemons together.
type Reserver interface {
	// Reserve answers an ask; an error if nobody does, and the daemon has to choose by
	// itself.
	Reserve(ctx context.Context, a sched.Ask) (sched.Grant, error)
	// Sampled notes how fast an engine read a prompt.
	Sampled(s sched.Sample)
	// Streamed notes that a stream ended, and whether it had too long a pause.
	Streamed(service string, paused bool)
}

// Deps are what a Front uses.
type Deps struct {
	Dialect Dialect
	Pool    *conns.Pool
	Loader  Loader
	// Reserver is nil where each daemon chooses by itself.
	Reserver Reserver
	Log      *zap.Logger
	Scope    tally.Scope
}

// Option changes a Front.
type Option func(*Front)

// WithSettings sets the bounds of retries and the data centre.
func WithSettings(s sched.Settings) Option {
	return func(f *Front) { f.settings = s }
}

// Front answers callers. It is safe for concurrent use.
type Front struct {
	deps     Deps
	settings sched.Settings
	state    atomic.Pointer[state]
	leaving  atomic.Int64
	// left ends the calls that wait, stopped all calls.
	left, stopped  context.Context
	leave, stopNow context.CancelFunc
	inFlight       atomic.Int64
	metrics        metrics

	mu   sync.Mutex
	book *sched.Book
	// waiters wait for a server, in the order of sched.Order.
	waiters []*waiter
}

// state is a configuration with its index of routes.
type state struct {
	config *layout.Config
	paths  *layout.Paths
	// demands are those of streams, by service.
	demands map[string]sched.Demands
}

func newState(c *layout.Config) *state {
	s := &state{config: c, paths: layout.NewPaths(c.Routes), demands: map[string]sched.Demands{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != layout.Stream || r.Expectation <= 0 {
			continue
		}
		for _, t := range r.Targets {
			d, ok := s.demands[t.Service]
			if !ok {
				d = sched.Demands{Tightest: r.Expectation, First: r.Priority}
			}
			s.demands[t.Service] = sched.Demands{Tightest: min(d.Tightest, r.Expectation), First: min(d.First, r.Priority)}
		}
	}
	return s
}

var _ http.Handler = (*Front)(nil)

// New returns a front that has no configuration yet and refuses all calls.
func New(ctx context.Context, d Deps, opts ...Option) *Front {
	f := &Front{deps: d, metrics: newMetrics(d.Scope)}
	f.left, f.leave = context.WithCancel(ctx)
	f.stopped, f.stopNow = context.WithCancel(ctx)
	for _, o := range opts {
		o(f)
	}
	f.book = sched.NewBook(f.settings, random.New())
	return f
}

// Apply puts a configuration in force, unless a newer one is. It reports whether it did.
func (f *Front) Apply(c *layout.Config) bool {
	for {
		old := f.state.Load()
		if old != nil && old.config.Version >= c.Version {
			return false
		}
		if f.state.CompareAndSwap(old, newState(c)) {
			f.notify()
			return true
		}
	}
}

// Config returns the configuration in force, or nil.
func (f *Front) Config() *layout.Config {
	if s := f.state.Load(); s != nil {
		return s.config
	}
	return nil
}

// Know replaces the backend servers that are known to run.
func (f *Front) Know(servers []*layout.Server) {
	f.mu.Lock()
	f.book.Know(servers)
	f.mu.Unlock()
	f.notify()
}

// Holdings sets the adapters that engines hold and the models that are about to be
// unloaded, both by server.
func (f *Front) Holdings(adapters, closing map[string]map[string]bool) {
	f.mu.Lock()
	f.book.Adapters(adapters, closing)
	f.mu.Unlock()
	f.notify()
}

// Daemons sets how many daemons share the servers.
func (f *Front) Daemons(n int) {
	f.mu.Lock()
	f.book.Daemons(n)
	f.mu.Unlock()
}

// Share sets the load that all daemons together put on servers.
func (f *Front) Share(all map[string]sched.Shared) {
	f.mu.Lock()
	f.book.Share(all, time.Now())
	f.mu.Unlock()
	f.notify()
}

// Own returns the load that this daemon puts on servers.
func (f *Front) Own() map[string]sched.Shared {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Own(time.Now())
}

// Reserve gives an ask of any daemon time of an engine.
func (f *Front) Reserve(a sched.Ask) sched.Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Reserve(&a, time.Now())
}

// Learn notes how fast engines read prompts.
func (f *Front) Learn(list []sched.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range list {
		f.book.Learn(s)
	}
}

// Streamed notes how many streams of a service ended, and how many of them had too long a
// pause.
func (f *Front) Streamed(service string, streams, paused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Streamed(service, streams, paused)
}

// PerToken returns the time that engines take to read a token of a model's prompts.
func (f *Front) PerToken(service, model string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.PerToken(service, model)
}

// notify gives servers to the calls that wait, as far as they now can be had.
func (f *Front) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatch(time.Now())
}

// Leave makes the front close connections after their answers, refuse the calls that
// wait for a model, and from refuseAt on refuse calls that it could not finish.
func (f *Front) Leave(refuseAt time.Time) {
	f.leaving.Store(refuseAt.UnixNano())
	f.leave()
}

// Stop ends all calls: those without a part of their answer get an answer that says so.
func (f *Front) Stop() { f.stopNow() }

// InFlight returns the number of calls that are not answered yet.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }
