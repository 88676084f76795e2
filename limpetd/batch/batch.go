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

// Defaults of Config, and limits.
const (
	// DefaultLeaseTTL is how long a lease on a job lasts if it is not renewed.
	DefaultLeaseTTL = 30 * time.Second
	// DefaultPollInterval is the mean time between two polls of the table for jobs
	// to run.
	DefaultPollInterval = 15 * time.Second
	// DefaultSaveInterval is the minimum time between two writes of a job's results
	// so far to the object store.
	DefaultSaveInterval = time.Minute
	// DefaultMaxConcurrentJobs is the number of jobs that a daemon runs concurrently.
	DefaultMaxConcurrentJobs = 2
	// DefaultMaxRequestsInFlight is the maximum number of requests of one job that are
	// in flight.
	DefaultMaxRequestsInFlight = 4
	// MaxItems is the maximum number of requests in a batch.
	MaxItems = 10000
	// maxCustomIDBytes is the maximum length of Item.CustomID in bytes.
	maxCustomIDBytes = 128
	// openPageSize is the maximum number of open jobs that one poll reads.
	openPageSize = 50
	// listPageSize is the maximum number of jobs that List returns.
	listPageSize = 100
	// DefaultRetention is how long a batch is kept after it has ended.
	DefaultRetention = 7 * 24 * time.Hour
	// sweepInterval is the mean time between two sweeps of ended batches.
	sweepInterval = 10 * time.Minute
	// sweepPageSize is the maximum number of batches that one sweep deletes.
	sweepPageSize = 20
	// renewalsPerLease is the number of times that a lease is renewed within
	// Config.LeaseTTL.
	renewalsPerLease = 3
	// storeRetryInterval is the mean time between two attempts to store the end of
	// a job.
	storeRetryInterval = time.Second
)

// Config configures a Manager.
type Config struct {
	// VM and Instance identify the daemon; each process has a new Instance.
	VM          string
	Instance    string
	Environment string
	// LeaseTTL is how long a lease on a job lasts if it is not renewed.
	LeaseTTL time.Duration
	// PollInterval is the mean time between two polls of the table for jobs to run.
	PollInterval time.Duration
	// SaveInterval is the minimum time between two writes of a job's results so far
	// to the object store.
	SaveInterval time.Duration
	// MaxConcurrentJobs is the number of jobs that the daemon runs concurrently.
	MaxConcurrentJobs int
	// MaxRequestsInFlight is the maximum number of requests of one job that are in
	// flight.
	MaxRequestsInFlight int
	// Retention is how long a batch and its objects are kept after it has ended.
	Retention time.Duration
}

// withDefaults returns c with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	if c.PollInterval == 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.SaveInterval == 0 {
		c.SaveInterval = DefaultSaveInterval
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxConcurrentJobs == 0 {
		c.MaxConcurrentJobs = DefaultMaxConcurrentJobs
	}
	if c.MaxRequestsInFlight == 0 {
		c.MaxRequestsInFlight = DefaultMaxRequestsInFlight
	}
	return c
}

// Answerer generates the answer to a request and writes it to a sink.
type Answerer interface {
	Answer(ctx context.Context, c relay.Call, s relay.Sink) error
}

var _ Answerer = (*relay.Relay)(nil)

// DocumentProvider provides the environment document in force.
type DocumentProvider interface {
	// Document returns the document in force; false if there is none.
	Document() (*envdoc.Document, bool)
}

// Deps holds the dependencies of a Manager. Log, Scope and Events are optional.
type Deps struct {
	Table     store.Table
	Objects   store.ObjectStore
	Answerer  Answerer
	Documents DocumentProvider
	Log       *zap.Logger
	Events    *event.Timeline
	Scope     tally.Scope
}

// Option configures a Manager.
type Option func(*Manager)

// WithClock replaces time.Now as the source of the current time.
func WithClock(now func() time.Time) Option {
	return func(d *Manager) { d.now = now }
}

// WithRandom sets the source of random numbers for intervals, backoffs, the choice of
// jobs and the keys of objects. The source must be safe for concurrent use, as the
// sources of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(d *Manager) { d.random = r }
}

// Manager stores the batches of callers and runs their jobs. It is safe for concurrent
// use.
type Manager struct {
	config   Config
	deps     Deps
	catalogs *relay.CatalogCache
	now      func() time.Time
	random   *rand.Rand
	tomb     *tomb.Tomb
	// leaving is closed when the daemon begins to leave: it takes no further jobs
	// and hands the running ones over.
	leaving   chan struct{}
	leaveOnce sync.Once

	jobsAccepted   tally.Counter
	jobsTaken      tally.Counter
	jobsEnded      tally.Counter
	leasesLost     tally.Counter
	jobsSwept      tally.Counter
	objectsDeleted tally.Counter
}

// New returns a Manager and starts the goroutines that run jobs and delete old batches.
// They end when ctx ends or after Leave is called.
func New(ctx context.Context, c Config, deps Deps, opts ...Option) *Manager {
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
	d := &Manager{
		config:         c.withDefaults(),
		deps:           deps,
		catalogs:       relay.NewCatalogCache(deps.Documents),
		now:            time.Now,
		random:         random.New(),
		leaving:        make(chan struct{}),
		jobsAccepted:   scope.Counter("jobs_accepted"),
		jobsTaken:      scope.Counter("jobs_taken"),
		jobsEnded:      scope.Counter("jobs_ended"),
		leasesLost:     scope.Counter("holds_lost"),
		jobsSwept:      scope.Counter("jobs_swept"),
		objectsDeleted: scope.Counter("objects_deleted"),
	}
	for _, o := range opts {
		o(d)
	}
	t, ctx := life.WithContext(ctx)
	d.tomb = t
	t.Go(func() error {
		for range d.config.MaxConcurrentJobs {
			rng := d.newRandom()
			t.Go(func() error { return d.runLoop(ctx, rng) })
		}
		rng := d.newRandom()
		t.Go(func() error { return d.sweepLoop(ctx, rng) })
		return nil
	})
	return d
}

// newRandom returns a source of random numbers for one goroutine, so that the numbers
// that the goroutine draws do not depend on other goroutines.
func (d *Manager) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

// Wait waits until all goroutines have ended. It returns nil if they ended because
// the context of New was cancelled or the daemon left.
func (d *Manager) Wait() error {
	err := d.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Leave stops the taking of jobs and hands the running jobs over to other daemons. It
// returns when all goroutines have ended, or with the error of ctx if ctx ends first.
func (d *Manager) Leave(ctx context.Context) error {
	d.leaveOnce.Do(func() { close(d.leaving) })
	select {
	case <-d.tomb.Dead():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
