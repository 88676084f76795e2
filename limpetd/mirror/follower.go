package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
)

const (
	// shortWait is how long a feed without changes stays open at a daemon that
	// passes changes on: others rely on it to notice a silent store.
	shortWait = 500 * time.Millisecond
	// longWait is the same at a daemon that follows for itself.
	longWait = 1200 * time.Millisecond
	// feedPause is the least time between two feeds of a daemon that passes changes on,
	// ownPause of one that follows for itself: changes that come together are fetched
	// together. All daemons follow for themselves at once when they start or lose the
	// one that passes changes on, and changes have some seconds to be in force.
	feedPause = 120 * time.Millisecond
	ownPause  = 600 * time.Millisecond
	// retryPause is the mean pause after a call that failed.
	retryPause = 150 * time.Millisecond
	// freshFor is how long after the last word of another daemon its changes count
	// as complete.
	freshFor = 750 * time.Millisecond
	// healthyFor is how long after an answer of the store a short feed counts as
	// alive.
	healthyFor = shortWait + 400*time.Millisecond
)

// Source is the store.
type Source interface {
	// Read returns all rows of a table and a version that they are at least of.
	Read(ctx context.Context, table string) ([]Row, int64, error)
	// Changes waits for rows that changed after a version, and returns them and the
	// version up to which they are complete. The error is ErrHistory if they are no
	// longer known.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}

// Option changes a Follower.
type Option func(*Follower)

// WithReached sets a function that is told whether the store, or a daemon that follows
// it, could be reached.
func WithReached(reached func(ok bool, now time.Time)) Option {
	return func(f *Follower) { f.reached = reached }
}

// WithLog sets the logger and the metrics.
func WithLog(log *zap.Logger, scope tally.Scope) Option {
	return func(f *Follower) { f.log, f.scope = log, scope }
}

// WithPassing sets the test whether this daemon passes changes on to others.
func WithPassing(passing func() bool) Option {
	return func(f *Follower) { f.passing = passing }
}

// Follower keeps a table up to date. It is safe for concurrent use.
type Follower struct {
	name    string
	source  Source
	change  func(rows map[string]Row)
	reached func(ok bool, now time.Time)
	passing func() bool
	log     *zap.Logger
	scope   tally.Scope

	mu    sync.Mutex
	table Table
	// read tells that the table was read whole, and not lost since.
	read bool
	// answered is when the store answered last, offered when another daemon did.
	answered, offered time.Time
	// woken is closed when an offer comes.
	woken chan struct{}
}

// NewFollower returns a follower of a table; change is told the rows after each change.
func NewFollower(name string, s Source, change func(rows map[string]Row), opts ...Option) *Follower {
	f := &Follower{
		name: name, source: s, change: change,
		reached: func(bool, time.Time) {},
		passing: func() bool { return false },
		log:     zap.NewNop(), scope: tally.NoopScope,
		woken: make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Name returns the name of the table.
func (f *Follower) Name() string { return f.name }

// Since returns the changes after a version, to be passed on; false if they are not
// known, or if this follower has not heard from the store lately.
func (f *Follower) Since(version int64, now time.Time) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.read || now.Sub(f.answered) > healthyFor {
		return Update{}, false
	}
	u, ok := f.table.Since(version)
	u.Table = f.name
	return u, ok
}

// Version returns the version that the copy has.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.version
}

// Offer takes changes in that another daemon passes on. Changes that leave a gap are
// not taken.
func (f *Follower) Offer(u Update, now time.Time) {
	f.mu.Lock()
	if !f.read || u.From > f.table.version {
		f.mu.Unlock()
		return
	}
	f.offered = now
	close(f.woken)
	f.woken = make(chan struct{})
	f.table.Merge(u.Rows, u.To)
	rows := f.table.Rows()
	f.mu.Unlock()
	f.reached(true, now)
	if len(u.Rows) > 0 {
		f.change(rows)
	}
}

// relayed waits while another daemon passes changes on; false if none does.
func (f *Follower) relayed(ctx context.Context) bool {
	if f.passing() {
		return false
	}
	f.mu.Lock()
	left := time.Until(f.offered.Add(freshFor))
	read, woken := f.read, f.woken
	f.mu.Unlock()
	if !read || left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
	return true
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	source := random.New()
	lost := false
	for ctx.Err() == nil {
		if f.relayed(ctx) {
			continue
		}
		started := time.Now()
		err := f.step(ctx)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistory):
			f.log.Info("history_lost", zap.String("table", f.name), zap.Int64("version", f.Version()))
		case err != nil:
			if !lost {
				f.log.Warn("store_lost", zap.String("table", f.name), zap.Int64("version", f.Version()), zap.Error(err))
			}
			lost = true
			f.scope.Counter("store_failures").Inc(1)
			f.reached(false, now)
			life.Sleep(ctx, random.Around(source, retryPause))
		default:
			if lost {
				f.log.Info("store_regained", zap.String("table", f.name), zap.Int64("version", f.Version()))
			}
			lost = false
			f.reached(true, now)
			f.pause(ctx, started)
		}
	}
}

// pause waits until the next feed, or until another daemon passes changes on.
func (f *Follower) pause(ctx context.Context, started time.Time) {
	pause := ownPause
	if f.passing() {
		pause = feedPause
	}
	f.mu.Lock()
	woken := f.woken
	f.mu.Unlock()
	timer := time.NewTimer(pause - time.Since(started))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
}

// step reads the table, or waits for its changes if it was read before.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	read, version := f.read, f.table.version
	f.mu.Unlock()
	if !read {
		return f.readAll(ctx)
	}
	wait := longWait
	if f.passing() {
		wait = shortWait
	}
	list, to, err := f.source.Changes(ctx, f.name, version, wait)
	f.mu.Lock()
	if errors.Is(err, ErrHistory) {
		f.read = false
	}
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.answered = time.Now()
	f.table.Merge(list, to)
	rows := f.table.Rows()
	f.mu.Unlock()
	if len(list) > 0 {
		f.change(rows)
	}
	return nil
}

func (f *Follower) readAll(ctx context.Context) error {
	list, version, err := f.source.Read(ctx, f.name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if !f.table.Replace(list, version) {
		f.mu.Unlock()
		return ErrStale
	}
	f.read, f.answered = true, time.Now()
	rows := f.table.Rows()
	f.mu.Unlock()
	f.change(rows)
	return nil
}
