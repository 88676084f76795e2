package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// pollsPerTerm is about how often per term a candidate reads the lease row and the
// lease holder renews the lease.
const pollsPerTerm = 4

// Deps are the dependencies of a Keeper.
type Deps struct {
	Table  store.Table
	Log    *zap.Logger
	Events *event.Timeline
	Scope  tally.Scope
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithEligible sets a function that reports whether this daemon may take the lease
// now. Without this option a daemon may always take the lease.
func WithEligible(eligible func() bool) Option {
	return func(k *Keeper) { k.eligible = eligible }
}

// WithOnChange sets a function that is called after this daemon has taken or lost
// the lease.
func WithOnChange(onChange func()) Option {
	return func(k *Keeper) { k.onChange = onChange }
}

// WithRandom sets the source of the poll jitter. The source must be safe for
// concurrent use, like the sources of package random.
func WithRandom(r *rand.Rand) Option {
	return func(k *Keeper) { k.random = r }
}

// Keeper competes for the lease of a data centre: it polls the lease row, takes the
// lease when the lease is free or has expired, and renews the lease while this daemon
// holds it. A Keeper is safe for concurrent use.
type Keeper struct {
	tomb     *tomb.Tomb
	deps     Deps
	eligible func() bool
	onChange func()
	leaseKey string
	fenceKey string
	term     time.Duration
	random   *rand.Rand

	mu        sync.Mutex
	candidate *Candidate
	// reportedHeld reports whether the last log line, event and call of onChange
	// were for the lease being taken, not lost.
	reportedHeld bool
	// leaving reports whether this daemon no longer competes for the lease.
	leaving bool
	// lastRead is when the lease row was last read.
	lastRead time.Time
}

// New returns a Keeper that competes for the lease of a data centre until ctx ends.
func New(ctx context.Context, environment, dataCentre string, c Config, d Deps, opts ...Option) *Keeper {
	t, ctx := life.WithContext(ctx)
	k := &Keeper{
		tomb:      t,
		deps:      d,
		eligible:  func() bool { return true },
		onChange:  func() {},
		leaseKey:  Key(environment, dataCentre),
		fenceKey:  FenceKey(environment, dataCentre),
		term:      c.Term,
		random:    random.New(),
		candidate: NewCandidate(c),
	}
	for _, o := range opts {
		o(k)
	}
	t.Go(func() error {
		k.run(ctx)
		return nil
	})
	return k
}

// Wait waits until the keeper has stopped.
func (k *Keeper) Wait() error { return k.tomb.Wait() }

// Hold is what a lease holder needs for its orders and ledger writes.
type Hold struct {
	// Fence is the fencing number to send with orders.
	Fence int64
	// Key is the key of the fence row, and Version the version that ledger writes
	// must require of it.
	Key     string
	Version int64
}

// Hold returns the current hold, and whether this daemon trusts at present that it
// is the lease holder. The result is false once Leave was called.
func (k *Keeper) Hold() (Hold, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving || !k.candidate.Trusted(time.Now()) {
		return Hold{}, false
	}
	return Hold{Fence: k.candidate.Row().Fence, Key: k.fenceKey, Version: k.candidate.FenceVersion()}, true
}

// Row returns the lease row that was last read or written.
func (k *Keeper) Row() Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.candidate.Row()
}

// LastRead returns when the lease row was last read from the table.
func (k *Keeper) LastRead() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastRead
}

// Invalidate ends the trust in the lease until the lease row is read again.
func (k *Keeper) Invalidate() {
	k.mu.Lock()
	k.candidate.Invalidate()
	k.mu.Unlock()
	k.reportChange()
}

// Leave releases the lease if this daemon holds it, and stops competing for it.
// The fencing number is kept in the released row.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	mine := k.candidate.IsHolder()
	row := k.candidate.FreeRow()
	version := k.candidate.Version()
	k.mu.Unlock()
	if !mine {
		return nil
	}
	tx, err := k.leaseTx(row, version)
	if err != nil {
		return err
	}
	if err := k.commit(ctx, tx); err != nil {
		return err
	}
	k.deps.Events.Add(event.Event{Kind: event.LeaseReleased})
	k.deps.Log.Info("lease_released", zap.Int64("fence", row.Fence))
	k.Invalidate()
	return nil
}

// run polls the lease row until ctx ends. The pause between two polls is drawn at
// random from 3/4 to all of term/pollsPerTerm.
func (k *Keeper) run(ctx context.Context) {
	period := k.term / pollsPerTerm
	for {
		k.poll(ctx)
		pause := period - time.Duration(k.random.Int64N(int64(period)/4+1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// poll reads the lease row, then takes or renews the lease if that is due.
func (k *Keeper) poll(ctx context.Context) {
	fenceVersion, ok := k.readRows(ctx)
	if !ok {
		k.reportChange()
		return
	}
	k.mu.Lock()
	action, version := k.candidate.Next(time.Now()), k.candidate.Version()
	row, leaving := k.candidate.Row(), k.leaving
	takenRow := k.candidate.TakeoverRow()
	k.mu.Unlock()
	switch {
	case leaving:
	case action == Renew:
		k.writeLease(ctx, row, version, fenceVersion, false)
	case action == Acquire && k.eligible():
		k.writeLease(ctx, takenRow, version, fenceVersion, true)
	}
	k.reportChange()
}

// readRows reads the lease row and the fence row. It records the lease row and
// returns the version of the fence row, and whether both could be read.
func (k *Keeper) readRows(ctx context.Context) (int64, bool) {
	rows, err := k.deps.Table.Get(ctx, k.fenceKey, k.leaseKey)
	if err != nil {
		k.deps.Log.Debug("lease_unread", zap.Error(err))
		return 0, false
	}
	var fenceVersion, version int64
	var value []byte
	for _, r := range rows {
		switch r.Key {
		case k.fenceKey:
			fenceVersion = r.Version
		case k.leaseKey:
			version, value = r.Version, r.Value
		}
	}
	row, err := Decode(value)
	if err != nil {
		k.deps.Log.Error("lease_unreadable", zap.Error(err))
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRead = time.Now()
	k.candidate.Observe(row, version, k.lastRead)
	return fenceVersion, true
}

// writeLease writes the lease row, conditional on its version. To take the lease,
// it also rewrites the fence row, conditional on fenceVersion.
func (k *Keeper) writeLease(ctx context.Context, row Row, version, fenceVersion int64, take bool) {
	sent := time.Now()
	tx, err := k.leaseTx(row, version)
	if err != nil {
		k.deps.Log.Error("lease_unwritten", zap.Error(err))
		return
	}
	if take {
		tx.Require(k.fenceKey, fenceVersion)
		tx.Put(k.fenceKey, tx.Writes[0].Value)
		fenceVersion++
	}
	if err := k.commit(ctx, tx); err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.candidate.RecordWrite(row, version+1, sent, time.Now())
	k.candidate.SetFenceVersion(fenceVersion)
}

// leaseTx returns a transaction that writes the lease row, conditional on its
// version.
func (k *Keeper) leaseTx(row Row, version int64) (store.Tx, error) {
	value, err := Encode(row)
	if err != nil {
		return store.Tx{}, err
	}
	tx := store.Tx{ID: store.NewID()}
	tx.Require(k.leaseKey, version)
	tx.Put(k.leaseKey, value)
	return tx, nil
}

// commit commits tx. If the outcome is unknown, or another daemon has changed the
// rows, the lease is not trusted until the lease row is read again.
func (k *Keeper) commit(ctx context.Context, tx store.Tx) error {
	err := store.Commit(ctx, k.deps.Table, tx)
	switch code.Of(err) {
	case code.OK:
		return nil
	case code.StoreConflict, code.StoreUnknown:
		k.Invalidate()
	}
	k.deps.Log.Debug("lease_unwritten", zap.Error(err))
	return err
}

// reportChange logs and counts that this daemon has taken or lost the lease, adds
// an event and calls onChange. It does nothing if the lease was neither taken nor
// lost since the last call of reportChange.
func (k *Keeper) reportChange() {
	_, held := k.Hold()
	k.mu.Lock()
	wasHeld, fence := k.reportedHeld, k.candidate.Row().Fence
	k.reportedHeld = held
	k.mu.Unlock()
	if wasHeld == held {
		return
	}
	kind, name := event.LeaseLost, "lease_lost"
	if held {
		kind, name = event.LeaseTaken, "lease_taken"
	}
	k.deps.Scope.Counter(name).Inc(1)
	k.deps.Events.Add(event.Event{Kind: kind})
	k.deps.Log.Info(name, zap.Int64("fence", fence))
	k.onChange()
}
