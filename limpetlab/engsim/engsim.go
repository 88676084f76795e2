// Package engsim is a stand-in for a model engine.
//
// It batches continuously with a batch limit and token rates, honours
// priorities, keeps a prefix cache whose events come late and with gaps,
// resumes and cancels streams, reports its load with a lag, and takes orders
// that are idempotent by id within an instance. It counts its own memory, loads
// under way included, and notes each time a load would exceed it. The text that
// it generates is a pure function of slot, prompt and token index, so that a
// checker recognises a wrong, crossed or cut answer.
//
// # Usage
//
//	e := engsim.New(ctx, engsim.Config{VM: "engine-1", MemoryMB: 80_000}, weights)
//	answer, err := e.Order(ctx, order)        // in process
//	http.ListenAndServe(address, e.Handler()) // or over HTTP
//	text, _ := engsim.Answer(slot, prompt, 128)
//	overcommits := e.Books().Overcommits
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

// Config describes an engine. Zero values mean the defaults.
type Config struct {
	// VM is the VM's id and the server name in the fault hook.
	VM       string
	MemoryMB int64
	// BatchLimit is the number of requests that run at once.
	BatchLimit int
	// StepBase is the time of a generation step, StepPerRequest what each
	// running request adds to it.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PromptTokensPerSecond is the rate of prompt processing; ChunkTokens
	// are processed at most in one step.
	PromptTokensPerSecond float64
	ChunkTokens           int
	// CacheBlocks is the number of prompt blocks that the cache keeps.
	CacheBlocks int
	// CacheLag is how late cache events come; every CacheGap-th is missing,
	// 0 for none.
	CacheLag time.Duration
	CacheGap int64
	// ReportEvery is the period of load reports; a report is between one and
	// two periods old.
	ReportEvery time.Duration
	// Orphan is how long a generation goes on without a reader.
	Orphan time.Duration
	// Keep is how long an ended generation can be resumed.
	Keep    time.Duration
	Fencing store.Fencing
}

// defaults fills in the zero values of c.
func (c Config) defaults() Config {
	setInt(&c.BatchLimit, 32)
	setInt(&c.ChunkTokens, 512)
	setInt(&c.CacheBlocks, 4096)
	setTime(&c.StepBase, 15*time.Millisecond)
	setTime(&c.ReportEvery, 500*time.Millisecond)
	setTime(&c.Orphan, 3*time.Second)
	setTime(&c.Keep, 30*time.Second)
	if c.PromptTokensPerSecond == 0 {
		c.PromptTokensPerSecond = 8000
	}
	if c.Fencing == "" {
		c.Fencing = store.FencingRefuses
	}
	return c
}

// setInt sets v when it is zero.
func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// setTime sets v when it is zero.
func setTime(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// LoaderProvider loads weights; the call lasts as long as the load.
type LoaderProvider interface {
	Load(ctx context.Context, s envdoc.Slot) error
}

// Option changes an Engine.
type Option func(*Engine)

// WithFaults sets the fault hook.
func WithFaults(p fault.Provider) Option {
	return func(e *Engine) { e.faults = p }
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	config  Config
	weights LoaderProvider
	faults  fault.Provider
	tomb    *tomb.Tomb
	// ctx ends with the engine.
	ctx context.Context
	// wake tells the step duty of new work. One signal is enough, so that
	// more are dropped while it is full.
	wake chan struct{}

	mu    sync.Mutex
	life  *instance
	books books
}

// instance is the state of one process; a restart begins a new one.
type instance struct {
	id     string
	ctx    context.Context
	cancel context.CancelFunc
	fence  int64
	role   engine.Role

	orders   map[string]*orderRecord
	resident map[envdoc.Slot]*residence
	loading  map[envdoc.Slot]*loading

	generations map[string]*generation
	waiting     []*generation
	running     []*generation

	cache    *cache
	sequence int64
	report   engine.Report
	pending  engine.Report
	meter    meter
}

// New starts an engine. Its goroutines end with ctx.
func New(ctx context.Context, c Config, weights LoaderProvider, opts ...Option) *Engine {
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
	e.begin(ctx)
	e.mu.Unlock()
	t.Go(func() error {
		t.Go(e.reportDuty)
		return e.stepDuty()
	})
	return e
}

// begin starts a life. e.mu is held.
func (e *Engine) begin(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	e.life = &instance{
		id:          store.NewID(),
		ctx:         ctx,
		cancel:      cancel,
		role:        engine.RoleMixed,
		orders:      make(map[string]*orderRecord),
		resident:    make(map[envdoc.Slot]*residence),
		loading:     make(map[envdoc.Slot]*loading),
		generations: make(map[string]*generation),
		cache:       newCache(e.config),
	}
	e.life.pending = e.snapshot()
	e.life.report = e.life.pending
}

// Restart ends all work and begins empty with a new instance id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.life
	old.cancel()
	for _, r := range old.orders {
		r.lose()
	}
	for _, g := range old.generations {
		g.end(stateBroken)
	}
	e.books.restarts++
	e.begin(e.ctx)
}

// Stop ends the engine.
func (e *Engine) Stop() error {
	e.tomb.Kill(nil)
	if err := e.tomb.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Instance returns the id of the running instance.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.id
}

// fault asks the hook about a step.
func (e *Engine) fault(step, key string) fault.Action {
	return fault.Of(e.faults, fault.Call{Server: e.config.VM, Step: step, Key: key})
}

// signal wakes the step duty.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
