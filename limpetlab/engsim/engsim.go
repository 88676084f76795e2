// Package engsim simulates a model engine, as a stand-in for a real one.
//
// The engine does continuous batching with a batch limit and configured prefill
// and decode rates, and admits requests to the batch by priority. Its prefix
// cache publishes events late and with gaps, its load reports lag, and its
// streams can be resumed and cancelled. Orders are idempotent by ID within an
// instance. The engine accounts for its memory, including loads in progress, and
// records every load that would exceed the memory. The generated text is a pure
// function of slot, prompt and token index, so that a checker can detect an
// answer that is wrong, truncated or that belongs to another request.
//
// # Usage
//
//	e := engsim.New(ctx, engsim.Config{VM: "engine-1", MemoryMB: 80_000}, weights)
//	result, err := e.Order(ctx, order)        // in process
//	http.ListenAndServe(address, e.Handler()) // or over HTTP
//	text, _ := engsim.CompleteAnswer(slot, prompt, 128)
//	overcommits := e.Stats().Overcommits
package engsim

import (
	"context"
	"errors"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// Config configures an engine. Zero values select the defaults.
type Config struct {
	// VM is the ID of the engine's VM. Calls to the fault hook carry the ID as
	// the server name.
	VM       string
	MemoryMB int64
	// BatchLimit is the maximum number of requests in the running batch.
	BatchLimit int
	// StepBase is the fixed part of the duration of a generation step; each
	// running request adds StepPerRequest.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PromptTokensPerSecond is the prefill rate. One step prefills at most
	// ChunkTokens prompt tokens.
	PromptTokensPerSecond float64
	ChunkTokens           int
	// CacheBlocks is the capacity of the prefix cache in prompt blocks.
	CacheBlocks int
	// CacheLag is the delay after which a cache event can be read. Every
	// CacheGap-th event is missing; with 0, no event is missing.
	CacheLag time.Duration
	CacheGap int64
	// ReportPeriod is the period of load reports. The report that Report
	// returns is between one and two periods old.
	ReportPeriod time.Duration
	// OrphanTimeout is how long a generation without a reader continues before the
	// engine cancels it.
	OrphanTimeout time.Duration
	// Retention is how long the stream of an ended generation can be resumed.
	Retention time.Duration
	// Fencing selects whether the engine refuses orders with an old fencing
	// number.
	Fencing store.Fencing
}

// defaults returns c with the zero values replaced by defaults.
func (c Config) defaults() Config {
	defaultInt(&c.BatchLimit, 32)
	defaultInt(&c.ChunkTokens, 512)
	defaultInt(&c.CacheBlocks, 4096)
	defaultDuration(&c.StepBase, 15*time.Millisecond)
	defaultDuration(&c.ReportPeriod, 500*time.Millisecond)
	defaultDuration(&c.OrphanTimeout, 3*time.Second)
	defaultDuration(&c.Retention, 30*time.Second)
	if c.PromptTokensPerSecond == 0 {
		c.PromptTokensPerSecond = 8000
	}
	if c.Fencing == "" {
		c.Fencing = store.FencingRefuses
	}
	return c
}

// defaultInt sets value to fallback when value is zero.
func defaultInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// defaultDuration sets value to fallback when value is zero.
func defaultDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Loader loads model weights. Load returns when the load has ended.
type Loader interface {
	Load(ctx context.Context, s envdoc.Slot) error
}

// Option configures an Engine.
type Option func(*Engine)

// WithFaults sets the fault injection hook.
func WithFaults(p fault.Provider) Option {
	return func(e *Engine) { e.faults = p }
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	config  Config
	weights Loader
	faults  fault.Provider
	tomb    *tomb.Tomb
	// ctx is cancelled when the engine stops.
	ctx context.Context
	// wake signals new work to the step loop. It buffers one signal; further
	// signals are dropped until the step loop has received that signal.
	wake chan struct{}

	mu       sync.Mutex
	instance *instance
	counters counters
}

// instance is the state of one engine process. Restart replaces the instance
// with an empty one.
type instance struct {
	id     string
	ctx    context.Context
	cancel context.CancelFunc
	// fence is the fencing number below which orders are refused.
	fence int64
	role  engine.Role

	orders   map[string]*orderRecord
	resident map[envdoc.Slot]*loadedSlot
	loading  map[envdoc.Slot]*pendingLoad

	generations map[string]*generation
	waiting     []*generation
	running     []*generation

	cache *cache
	// sequence is the number of the latest load report.
	sequence int64
	// report is the load report that Report returns; pending is the newer
	// report that replaces report at the next tick.
	report  engine.Report
	pending engine.Report
	meter   meter
}

// New starts an engine. The engine stops when ctx is cancelled.
func New(ctx context.Context, c Config, weights Loader, opts ...Option) *Engine {
	t, ctx := life.WithContext(ctx)
	e := &Engine{
		config:  c.defaults(),
		weights: weights,
		tomb:    t,
		ctx:     ctx,
		wake:    make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(e)
	}
	e.mu.Lock()
	e.startInstance(ctx)
	e.mu.Unlock()
	t.Go(func() error {
		t.Go(e.reportLoop)
		return e.stepLoop()
	})
	return e
}

// startInstance replaces the current instance with an empty one. e.mu is held.
func (e *Engine) startInstance(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	e.instance = &instance{
		id:          store.NewID(),
		ctx:         ctx,
		cancel:      cancel,
		role:        engine.RoleMixed,
		orders:      make(map[string]*orderRecord),
		resident:    make(map[envdoc.Slot]*loadedSlot),
		loading:     make(map[envdoc.Slot]*pendingLoad),
		generations: make(map[string]*generation),
		cache:       newCache(e.config),
	}
	e.instance.pending = e.snapshot()
	e.instance.report = e.instance.pending
}

// Restart ends all orders and generations and starts an empty instance with a
// new ID.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.instance
	old.cancel()
	for _, r := range old.orders {
		r.abandon()
	}
	for _, g := range old.generations {
		g.end(stateBroken)
	}
	e.counters.restarts++
	e.startInstance(e.ctx)
}

// Stop ends the engine and waits for its goroutines.
func (e *Engine) Stop() error {
	e.tomb.Kill(nil)
	if err := e.tomb.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Instance returns the ID of the current instance.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.id
}

// faultAt returns the fault that the hook injects into a step.
func (e *Engine) faultAt(step, key string) fault.Action {
	return fault.Of(e.faults, fault.Call{Server: e.config.VM, Step: step, Key: key})
}

// signal wakes the step loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
