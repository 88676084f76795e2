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

// pollsPerTerm is how often a candidate reads or renews the lease in a term.
const pollsPerTerm = 4

// Deps are what a keeper uses.
type Deps struct {
	Table  store.Table
	Log    *zap.Logger
	Events *event.Line
	Scope  tally.Scope
}

// Option changes a Keeper.
type Option func(*Keeper)

// WithEligible sets the test whether this daemon may take the lease now.
func WithEligible(eligible func() bool) Option {
	return func(k *Keeper) { k.eligible = eligible }
}

// WithChanged sets a function that is called when the lease is won or lost.
func WithChanged(changed func()) Option {
	return func(k *Keeper) { k.changed = changed }
}

// WithRandom sets the source of random pauses and choices. It must be safe for
// concurrent use, as those of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(k *Keeper) { k.random = r }
}

// Keeper takes and renews the lease of a data centre.
type Keeper struct {
	tomb     *tomb.Tomb
	deps     Deps
	eligible func() bool
	changed  func()
	leaseKey string
	fenceKey string
	term     time.Duration
	random   *rand.Rand

	mu      sync.Mutex
	machine *Machine
	held    bool
	leaving bool
	// seen is when the lease was last read.
	seen time.Time
}

// New starts to compete for the lease of a data centre.
func New(ctx context.Context, environment, dataCentre string, c Config, d Deps, opts ...Option) *Keeper {
	t, ctx := life.WithContext(ctx)
	k := &Keeper{
		tomb:     t,
		deps:     d,
		eligible: func() bool { return true },
		changed:  func() {},
		leaseKey: Key(environment, dataCentre),
		fenceKey: FenceKey(environment, dataCentre),
		term:     c.Term,
		random:   random.New(),
		machine:  NewMachine(c),
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

// Wait returns when the keeper has ended.
func (k *Keeper) Wait() error { return k.tomb.Wait() }

// Hold is what a valid lease allows.
type Hold struct {
	// Fence is the fencing number for orders.
	Fence int64
	// Key and Version are the condition for writes.
	Key     string
	Version int64
}

// Hold returns the lease if this daemon trusts it now.
func (k *Keeper) Hold() (Hold, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving || !k.machine.Valid(time.Now()) {
		return Hold{}, false
	}
	return Hold{Fence: k.machine.Row().Fence, Key: k.fenceKey, Version: k.machine.FenceVersion()}, true
}

// Row returns the lease row seen last.
func (k *Keeper) Row() Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Row()
}

// Seen returns when the lease was last read from the table.
func (k *Keeper) Seen() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen
}

// Doubt drops the trust in the lease until it is read again.
func (k *Keeper) Doubt() {
	k.mu.Lock()
	k.machine.Forget()
	k.mu.Unlock()
	k.note()
}

// Leave hands the lease over and takes it no more.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	mine := k.machine.Mine()
	row := Row{Fence: k.machine.Row().Fence}
	version := k.machine.Version()
	k.mu.Unlock()
	if !mine {
		return nil
	}
	tx, err := k.tx(row, version)
	if err != nil {
		return err
	}
	if err := k.commit(ctx, tx); err != nil {
		return err
	}
	k.deps.Events.Add(event.Event{Kind: event.LeaseReleased})
	k.deps.Log.Info("lease_released", zap.Int64("fence", row.Fence))
	k.Doubt()
	return nil
}

// run polls with jitter until ctx ends.
func (k *Keeper) run(ctx context.Context) {
	period := k.term / pollsPerTerm
	for {
		k.step(ctx)
		pause := period - time.Duration(k.random.Int64N(int64(period)/4+1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// step reads the lease and takes or renews it.
func (k *Keeper) step(ctx context.Context) {
	fence, ok := k.read(ctx)
	if !ok {
		k.note()
		return
	}
	k.mu.Lock()
	action, version := k.machine.Next(time.Now()), k.machine.Version()
	row, leaving := k.machine.Row(), k.leaving
	taken := k.machine.Taken()
	k.mu.Unlock()
	switch {
	case leaving:
	case action == Renew:
		k.hold(ctx, row, version, fence, false)
	case action == Take && k.eligible():
		k.hold(ctx, taken, version, fence, true)
	}
	k.note()
}

// read observes both rows; it returns the version of the fence row.
func (k *Keeper) read(ctx context.Context) (int64, bool) {
	rows, err := k.deps.Table.Get(ctx, k.fenceKey, k.leaseKey)
	if err != nil {
		k.deps.Log.Debug("lease_unread", zap.Error(err))
		return 0, false
	}
	var fence, version int64
	var value []byte
	for _, r := range rows {
		switch r.Key {
		case k.fenceKey:
			fence = r.Version
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
	k.seen = time.Now()
	k.machine.Observe(row, version, k.seen)
	return fence, true
}

// hold writes the lease row. A take also raises the fence row, which has the
// version fence.
func (k *Keeper) hold(ctx context.Context, row Row, version, fence int64, take bool) {
	sent := time.Now()
	tx, err := k.tx(row, version)
	if err != nil {
		k.deps.Log.Error("lease_unwritten", zap.Error(err))
		return
	}
	if take {
		tx.Require(k.fenceKey, fence)
		tx.Put(k.fenceKey, tx.Writes[0].Value)
		fence++
	}
	if err := k.commit(ctx, tx); err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Held(row, version+1, sent, time.Now())
	k.machine.Fenced(fence)
}

// tx returns the transaction that stores the lease row.
func (k *Keeper) tx(row Row, version int64) (store.Tx, error) {
	value, err := Encode(row)
	if err != nil {
		return store.Tx{}, err
	}
	tx := store.Tx{ID: store.NewID()}
	tx.Require(k.leaseKey, version)
	tx.Put(k.leaseKey, value)
	return tx, nil
}

// commit stores tx. When the outcome is unknown, or another daemon was first,
// the lease is read again before it is trusted.
func (k *Keeper) commit(ctx context.Context, tx store.Tx) error {
	err := store.Commit(ctx, k.deps.Table, tx)
	switch code.Of(err) {
	case code.OK:
		return nil
	case code.StoreConflict, code.StoreUnknown:
		k.Doubt()
	}
	k.deps.Log.Debug("lease_unwritten", zap.Error(err))
	return err
}

// note tells of the lease being won or lost.
func (k *Keeper) note() {
	_, held := k.Hold()
	k.mu.Lock()
	was, fence := k.held, k.machine.Row().Fence
	k.held = held
	k.mu.Unlock()
	if was == held {
		return
	}
	kind, name := event.LeaseLost, "lease_lost"
	if held {
		kind, name = event.LeaseTaken, "lease_taken"
	}
	k.deps.Scope.Counter(name).Inc(1)
	k.deps.Events.Add(event.Event{Kind: kind})
	k.deps.Log.Info(name, zap.Int64("fence", fence))
	k.changed()
}
