package mirror

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
)

const (
	// relayPollWait is how long a poll by a daemon that relays changes waits at the store
	// for a change. It is short because the other daemons rely on these polls to detect a
	// store that does not respond.
	relayPollWait = 500 * time.Millisecond
	// ownPollWait is how long a poll by a daemon that polls only for itself waits at the
	// store for a change.
	ownPollWait = 1200 * time.Millisecond
	// relayPollInterval and ownPollInterval are the minimum times between the starts of
	// two polls, so that changes made in quick succession are fetched together. The
	// interval of daemons that poll only for themselves is longer: all of them poll at
	// once when they start or when the relaying daemon is lost, and a change need only
	// take effect within some seconds.
	relayPollInterval = 120 * time.Millisecond
	ownPollInterval   = 600 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the mean delay after a request to the store that
	// failed, which doubles with each further one: hundreds of daemons poll a store that was
	// away. A daemon that relays changes waits for minRetryDelay each time.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// relayTimeout is how long after the last relayed update a daemon treats its copy as
	// up to date and does not poll the store.
	relayTimeout = 750 * time.Millisecond
	// storeTimeout is how long after a response of the store a relaying daemon treats the
	// store as reachable.
	storeTimeout = relayPollWait + 400*time.Millisecond
)

// Source reads tables from the store.
type Source interface {
	// Read returns all rows of a table and a position; the rows include every change up
	// to that position, and may include later ones of its era.
	Read(ctx context.Context, table string) ([]Row, Position, error)
	// Changes returns the rows that changed after a position, and the position up to which
	// the changes are complete. If nothing has changed, it waits for a change for up to
	// wait. It returns ErrHistoryLost if the store no longer holds all changes after the
	// position, and any rows if the returned position is of another era.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) ([]Row, Position, error)
}

// Option configures a Follower.
type Option func(*Follower)

// WithReachability sets a function that is called with whether the store, or a daemon that
// relays its changes, could be reached.
func WithReachability(onReached func(ok bool, now time.Time)) Option {
	return func(f *Follower) { f.onReached = onReached }
}

// WithRestored sets a function that is called when the store has been restored from a copy of
// its data, before onChange receives the restored rows.
func WithRestored(onRestored func(now time.Time)) Option {
	return func(f *Follower) { f.onRestored = onRestored }
}

// WithLog sets the logger and the metrics scope.
func WithLog(log *zap.Logger, scope tally.Scope) Option {
	return func(f *Follower) { f.log, f.scope = log, scope }
}

// WithRelay sets the function that reports whether this daemon relays changes to other
// daemons.
func WithRelay(relaying func() bool) Option {
	return func(f *Follower) { f.relaying = relaying }
}

// WithStart sets a channel that is closed when the follower may read the table from the store, unless another
// daemon has relayed the whole table before.
func WithStart(start <-chan struct{}) Option {
	return func(f *Follower) { f.start = start }
}

// Follower keeps a table up to date. It is safe for concurrent use.
type Follower struct {
	name       string
	source     Source
	onChange   func(rows map[string]Row)
	onReached  func(ok bool, now time.Time)
	onRestored func(now time.Time)
	relaying   func() bool
	isPrivate  func(Row) bool
	// start is closed when the table may be read; nil for at once.
	start <-chan struct{}
	log   *zap.Logger
	scope tally.Scope

	mu    sync.Mutex
	table Table
	// read is whether the table was read in full and no ErrHistoryLost has followed.
	read bool
	// polledAt is when the store last responded, relayedAt when another daemon last
	// relayed an update.
	polledAt, relayedAt time.Time
	// private holds the versions of the private rows.
	private map[string]int64
	// relayReceived is closed and replaced when a relayed update arrives.
	relayReceived chan struct{}
}

// NewFollower returns a follower of a table. After each change it calls onChange with all
// rows by key.
func NewFollower(name string, s Source, onChange func(rows map[string]Row), opts ...Option) *Follower {
	f := &Follower{
		name: name, source: s, onChange: onChange,
		onReached:  func(bool, time.Time) {},
		onRestored: func(time.Time) {},
		relaying:   func() bool { return false },
		isPrivate:  func(Row) bool { return false },
		private:    map[string]int64{},
		log:        zap.NewNop(), scope: tally.NoopScope,
		relayReceived: make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Name returns the name of the table.
func (f *Follower) Name() string { return f.name }

// Position returns the position of the copy.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.position
}

// ApplyRelayed applies an update that another daemon relays. It ignores an update that starts
// after the position of the copy, because the changes between the two would be missing, and one
// of another era. A follower whose copy is behind polls the store itself, at once if the missing changes are
// withheld. A whole table replaces an older copy.
func (f *Follower) ApplyRelayed(u Update, now time.Time) {
	private := f.privateRows(u.Rows)
	f.mu.Lock()
	if u.Whole && f.replaceRelayed(u, private, now) {
		return
	}
	if !f.read || u.Era != f.table.position.Era || u.From > f.table.position.Version {
		if u.Withheld && f.read && u.Era == f.table.position.Era {
			f.relayedAt = time.Time{}
			f.wake()
		}
		f.mu.Unlock()
		return
	}
	f.relayedAt = now
	f.wake()
	f.table.Merge(u.Rows, u.To)
	maps.Copy(f.private, private)
	rows := f.table.Rows()
	f.mu.Unlock()
	f.onReached(true, now)
	if len(u.Rows) > 0 {
		f.change(rows)
	}
}

// wake ends the waits for a relayed update. The caller must hold mu.
func (f *Follower) wake() {
	close(f.relayReceived)
	f.relayReceived = make(chan struct{})
}

// replaceRelayed replaces the copy by a relayed whole table if it is newer, and releases f.mu then. Otherwise
// it returns false.
func (f *Follower) replaceRelayed(u Update, private map[string]int64, now time.Time) bool {
	at := Position{Era: u.Era, Version: u.To}
	previous := f.table.position
	if f.read && !previous.Before(at) || !f.table.Replace(u.Rows, at) {
		return false
	}
	f.read, f.relayedAt, f.private = true, now, private
	f.wake()
	rows := f.table.Rows()
	f.mu.Unlock()
	f.onReached(true, now)
	f.reportReplaced(previous, at, now)
	f.change(rows)
	return true
}

// reportReplaced reports that a table was restored from a copy if its era has changed.
func (f *Follower) reportReplaced(previous, at Position, now time.Time) {
	if previous == (Position{}) || previous.Era == at.Era {
		return
	}
	f.log.Warn("table_restored", zap.String("table", f.name), zap.Int64("era", at.Era), zap.Int64("version", at.Version), zap.Int64("version_before", previous.Version))
	f.onRestored(now)
}

// PolledAt returns when the store last answered this follower.
func (f *Follower) PolledAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polledAt
}

// awaitStart waits until the table may be read, or until the whole table was relayed.
func (f *Follower) awaitStart(ctx context.Context) {
	if f.start == nil {
		return
	}
	f.mu.Lock()
	relayReceived := f.relayReceived
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-f.start:
	case <-relayReceived:
	}
}

// awaitRelay waits for the next relayed update, until relayTimeout after the last one. It
// returns false without waiting if this daemon has to poll the store itself: if it relays
// changes, has not read the table, or received no update within relayTimeout.
func (f *Follower) awaitRelay(ctx context.Context) bool {
	if f.relaying() {
		return false
	}
	f.mu.Lock()
	left := time.Until(f.relayedAt.Add(relayTimeout))
	read, relayReceived := f.read, f.relayReceived
	f.mu.Unlock()
	if !read || left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-relayReceived:
	}
	return true
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.awaitStart(ctx)
	rng := random.New()
	lost, delay := false, minRetryDelay
	for ctx.Err() == nil {
		if f.awaitRelay(ctx) {
			continue
		}
		started := time.Now()
		err := f.poll(ctx)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("history_lost", f.logFields()...)
		case err != nil:
			if !lost {
				f.log.Warn("store_lost", append(f.logFields(), zap.Error(err))...)
			}
			lost = true
			f.scope.Counter("store_failures").Inc(1)
			f.onReached(false, now)
			if f.relaying() {
				delay = minRetryDelay
			}
			life.Sleep(ctx, random.Jitter(rng, delay))
			delay = min(2*delay, maxRetryDelay)
		default:
			if lost {
				f.log.Info("store_regained", f.logFields()...)
			}
			lost, delay = false, minRetryDelay
			f.onReached(true, now)
			f.awaitNextPoll(ctx, started)
		}
	}
}

// logFields returns the log fields of the table and its position.
func (f *Follower) logFields() []zap.Field {
	at := f.Position()
	return []zap.Field{zap.String("table", f.name), zap.Int64("era", at.Era), zap.Int64("version", at.Version)}
}

// awaitNextPoll waits until the poll that follows the one begun at started is due, or until
// another daemon relays an update.
func (f *Follower) awaitNextPoll(ctx context.Context, started time.Time) {
	interval := ownPollInterval
	if f.relaying() {
		interval = relayPollInterval
	}
	f.mu.Lock()
	relayReceived := f.relayReceived
	f.mu.Unlock()
	timer := time.NewTimer(interval - time.Since(started))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-relayReceived:
	}
}

// poll reads the table in full if the copy is not complete yet. Otherwise it requests the
// changes after the version of the copy, waits at the store for them, and applies them.
func (f *Follower) poll(ctx context.Context) error {
	f.mu.Lock()
	read, position := f.read, f.table.position
	f.mu.Unlock()
	if !read {
		return f.readAll(ctx)
	}
	wait := ownPollWait
	if f.relaying() {
		wait = relayPollWait
	}
	list, to, err := f.source.Changes(ctx, f.name, position, wait)
	private := f.privateRows(list)
	f.mu.Lock()
	if err == nil && to.Era != position.Era {
		err = ErrHistoryLost
	}
	if errors.Is(err, ErrHistoryLost) {
		f.read = false
	}
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.polledAt = time.Now()
	f.table.Merge(list, to.Version)
	maps.Copy(f.private, private)
	rows := f.table.Rows()
	f.mu.Unlock()
	if len(list) > 0 {
		f.change(rows)
	}
	return nil
}

// readAll replaces the copy by a full read of the table. It returns ErrStale if the read is
// older than the copy.
func (f *Follower) readAll(ctx context.Context) error {
	list, at, err := f.source.Read(ctx, f.name)
	if err != nil {
		return err
	}
	now, private := time.Now(), f.privateRows(list)
	f.mu.Lock()
	previous := f.table.position
	if !f.table.Replace(list, at) {
		f.mu.Unlock()
		return ErrStale
	}
	f.read, f.polledAt, f.private = true, now, private
	rows := f.table.Rows()
	f.mu.Unlock()
	f.reportReplaced(previous, at, now)
	f.change(rows)
	return nil
}
