package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Defaults and bounds.
const (
	// DefaultHoldFor is how long a hold lasts without being renewed.
	DefaultHoldFor = 30 * time.Second
	// DefaultPollEvery is the mean time between two looks for jobs.
	DefaultPollEvery = 15 * time.Second
	// DefaultSaveEvery is the time between two savings of the answers.
	DefaultSaveEvery = time.Minute
	// DefaultJobsAtOnce is the number of jobs that a daemon runs at once.
	DefaultJobsAtOnce = 2
	// DefaultRequestsAtOnce is the number of requests of a job in progress.
	DefaultRequestsAtOnce = 4
	// MaxItems is the largest number of requests in a batch.
	MaxItems = 10000
	// maxCustomID is the longest name of an item in bytes.
	maxCustomID = 128
	// openPage is the number of open jobs that are looked at.
	openPage = 50
	// listPage is the number of jobs in a list.
	listPage = 100
	// DefaultKeepFor is how long a batch that has ended is kept.
	DefaultKeepFor = 7 * 24 * time.Hour
	// sweepEvery is the mean time between two sweeps of ended batches.
	sweepEvery = 10 * time.Minute
	// sweepPage is the number of batches that a sweep deletes at most.
	sweepPage = 20
	// renewals is the number of renewals within one hold.
	renewals = 3
	// storeRetry is the mean time between two tries of a write to the store.
	storeRetry = time.Second
)

// Config describes the deferred work of a daemon.
type Config struct {
	// VM and Instance identify the daemon; Instance is new in each process.
	VM          string
	Instance    string
	Environment string
	// HoldFor is how long a hold lasts without being renewed.
	HoldFor time.Duration
	// PollEvery is the mean time between two looks for jobs.
	PollEvery time.Duration
	// SaveEvery is the time between two savings of a job's answers.
	SaveEvery      time.Duration
	JobsAtOnce     int
	RequestsAtOnce int
	// KeepFor is how long a batch that has ended is kept, with its objects.
	KeepFor time.Duration
}

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	if c.HoldFor == 0 {
		c.HoldFor = DefaultHoldFor
	}
	if c.PollEvery == 0 {
		c.PollEvery = DefaultPollEvery
	}
	if c.SaveEvery == 0 {
		c.SaveEvery = DefaultSaveEvery
	}
	if c.KeepFor == 0 {
		c.KeepFor = DefaultKeepFor
	}
	if c.JobsAtOnce == 0 {
		c.JobsAtOnce = DefaultJobsAtOnce
	}
	if c.RequestsAtOnce == 0 {
		c.RequestsAtOnce = DefaultRequestsAtOnce
	}
	return c
}

// Answerer generates answers.
type Answerer interface {
	Answer(ctx context.Context, c relay.Call, s relay.Sink) error
}

var _ Answerer = (*relay.Relay)(nil)

// DocumentProvider gives the document in force; false before the first one.
type DocumentProvider interface {
	Document() (*envdoc.Document, bool)
}

// Deps are what a Duty depends on.
type Deps struct {
	Table     store.Table
	Objects   store.Objects
	Answerer  Answerer
	Documents DocumentProvider
	Log       *zap.Logger
	Events    *event.Line
	Scope     tally.Scope
}

// Option changes a Duty.
type Option func(*Duty)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(d *Duty) { d.now = now }
}

// WithRandom sets the source of random pauses and choices. It must be safe for
// concurrent use, as those of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(d *Duty) { d.random = r }
}

// Duty keeps the batches of callers and runs jobs. It is safe for concurrent
// use.
type Duty struct {
	config   Config
	deps     Deps
	catalogs *relay.Catalogs
	now      func() time.Time
	random   *rand.Rand
	tomb     *tomb.Tomb
	// leaving is closed when no further job is taken and running ones are
	// handed over.
	leaving   chan struct{}
	leaveOnce sync.Once

	accepted tally.Counter
	taken    tally.Counter
	ended    tally.Counter
	lost     tally.Counter
	swept    tally.Counter
	deleted  tally.Counter
}

// New returns the deferred work of a daemon and starts the running of jobs.
func New(ctx context.Context, c Config, deps Deps, opts ...Option) *Duty {
	if deps.Log == nil {
		deps.Log = zap.NewNop()
	}
	if deps.Scope == nil {
		deps.Scope = tally.NoopScope
	}
	if deps.Events == nil {
		deps.Events = event.New("", event.WithCapacity(1))
	}
	scope := deps.Scope.SubScope("batch")
	d := &Duty{
		config:   c.withDefaults(),
		deps:     deps,
		catalogs: relay.NewCatalogs(deps.Documents),
		now:      time.Now,
		random:   random.New(),
		leaving:  make(chan struct{}),
		accepted: scope.Counter("jobs_accepted"),
		taken:    scope.Counter("jobs_taken"),
		ended:    scope.Counter("jobs_ended"),
		lost:     scope.Counter("holds_lost"),
		swept:    scope.Counter("jobs_swept"),
		deleted:  scope.Counter("objects_deleted"),
	}
	for _, o := range opts {
		o(d)
	}
	t, ctx := life.WithContext(ctx)
	d.tomb = t
	t.Go(func() error {
		for range d.config.JobsAtOnce {
			own := d.source()
			t.Go(func() error { return d.runLoop(ctx, own) })
		}
		own := d.source()
		t.Go(func() error { return d.sweepLoop(ctx, own) })
		return nil
	})
	return d
}

// source returns a source of its own for a goroutine, so that what it draws does
// not depend on others.
func (d *Duty) source() *rand.Rand {
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

// Wait returns when all goroutines have ended.
func (d *Duty) Wait() error {
	err := d.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Leave stops taking jobs and hands the running ones over. It returns when this
// is done or ctx ends.
func (d *Duty) Leave(ctx context.Context) error {
	d.leaveOnce.Do(func() { close(d.leaving) })
	select {
	case <-d.tomb.Dead():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
