package claim

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Defaults and limits.
const (
	// DefaultRetention is how long the outcome of a keyed call is kept by default.
	DefaultRetention = 24 * time.Hour
	// DefaultOpenTimeout is how long an open claim counts as in progress by default.
	DefaultOpenTimeout = 2 * time.Minute
	// DefaultSweepInterval is the default mean time between two sweeps of a daemon.
	DefaultSweepInterval = 10 * time.Second
	// DefaultMaxOutcomeBytes is the default maximum size of an answer that is kept.
	DefaultMaxOutcomeBytes = 64 << 10
	// maxInsertTries limits the attempts to insert one claim.
	maxInsertTries = 4
	// claimTimeout limits the time that Claim takes.
	claimTimeout = 5 * time.Second
	// closeTimeout limits one attempt to close a claim. An answer is held back for
	// at most this time.
	closeTimeout = time.Second
	// maxGroupSize is the maximum number of rows in one transaction.
	maxGroupSize = 32
	// committers is the number of goroutines that commit, and so the maximum number
	// of group commits in flight.
	committers = 4
	// writeQueueSize is the maximum number of writes that wait for a transaction.
	writeQueueSize = 1024
	// leavePollInterval is how often Leave checks for claims that are to be closed.
	leavePollInterval = 20 * time.Millisecond
	// closeQueueSize is the maximum number of claims that are queued for the
	// background closing, and of claims that the background closing retries.
	closeQueueSize = 1024
)

// Config configures the claims of a daemon. A zero field other than Environment
// stands for its default.
type Config struct {
	// Environment is the name of the environment, which is part of the table keys.
	Environment string
	// Retention is how long closed claims with a known outcome are kept.
	Retention time.Duration
	// OpenTimeout is how long an open claim counts as in progress. It must exceed the
	// longest time that a call takes.
	OpenTimeout time.Duration
	// SweepInterval is the mean time between two sweeps of this daemon.
	SweepInterval time.Duration
	// MaxOutcomeBytes is the maximum size of an answer that is kept.
	MaxOutcomeBytes int
}

// withDefaults returns c with the defaults in place of zero fields.
func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.OpenTimeout == 0 {
		c.OpenTimeout = DefaultOpenTimeout
	}
	if c.SweepInterval == 0 {
		c.SweepInterval = DefaultSweepInterval
	}
	if c.MaxOutcomeBytes == 0 {
		c.MaxOutcomeBytes = DefaultMaxOutcomeBytes
	}
	return c
}

// Deps are the dependencies of Claims. Log, Events and Scope may be nil.
type Deps struct {
	Table store.Table
	// Committers chooses the daemon that commits the writes. It may be nil; this
	// daemon then commits all its writes itself.
	Committers CommitterProvider
	Log        *zap.Logger
	Events     *event.Timeline
	Scope      tally.Scope
}

// Option configures Claims.
type Option func(*Claims)

// WithClock sets the clock, time.Now by default.
func WithClock(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithRandom sets the source of the random times and positions of sweeps. The
// source must be safe for concurrent use, like the sources of package random.
func WithRandom(r *rand.Rand) Option {
	return func(c *Claims) { c.random = r }
}

// Claims makes and closes the claims of a daemon on keyed calls. It is safe for
// concurrent use.
type Claims struct {
	config Config
	deps   Deps
	now    func() time.Time
	random *rand.Rand
	tomb   *tomb.Tomb
	// writeQueue passes writes to the committers. If it is full, a new claim is
	// refused as not run, and a claim to close goes to closeQueue.
	writeQueue chan *rowWrite
	// closeQueue passes claims to closeLoop, which closes them in the background. If
	// it is full, the claim stays open and is counted in closesDropped; repeats of
	// the call are then refused because the outcome is unknown.
	closeQueue chan *Hold
	// unclosed is the number of claims that closeLoop still has to close.
	unclosed atomic.Int64

	pacer *commitPacer
	// forwardAfter is the time before which writes are not forwarded, in nanoseconds
	// since 1970.
	forwardAfter atomic.Int64

	writesForwarded tally.Counter
	forwardsFailed  tally.Counter
	writesForPeers  tally.Counter

	groupCommits  tally.Counter
	rowsWritten   tally.Counter
	closesDropped tally.Counter
	rowsSwept     tally.Counter
}

// New returns the claims of a daemon. It starts the committers, the background
// closing and the sweep, which run until ctx ends.
func New(ctx context.Context, c Config, d Deps, opts ...Option) *Claims {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Events == nil {
		d.Events = event.New("", event.WithCapacity(1))
	}
	scope := d.Scope.SubScope("claim")
	s := &Claims{
		config:        c.withDefaults(),
		deps:          d,
		now:           time.Now,
		random:        random.New(),
		writeQueue:    make(chan *rowWrite, writeQueueSize),
		closeQueue:    make(chan *Hold, closeQueueSize),
		pacer:         newCommitPacer(d.Committers),
		groupCommits:  scope.Counter("group_commits"),
		rowsWritten:   scope.Counter("rows_written"),
		closesDropped: scope.Counter("late_lost"),
		rowsSwept:     scope.Counter("rows_swept"),

		writesForwarded: scope.Counter("writes_forwarded"),
		forwardsFailed:  scope.Counter("forwards_failed"),
		writesForPeers:  scope.Counter("writes_gathered"),
	}
	for _, o := range opts {
		o(s)
	}
	t, ctx := life.WithContext(ctx)
	s.tomb = t
	t.Go(func() error {
		for range committers {
			t.Go(func() error { return s.commitLoop(ctx) })
		}
		t.Go(func() error { return s.closeLoop(ctx) })
		t.Go(func() error { return s.sweepLoop(ctx) })
		return nil
	})
	return s
}

// Wait waits until all goroutines of s have ended.
func (s *Claims) Wait() error {
	err := s.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Leave waits until all claims that the background closing has accepted are closed or
// given up, or until ctx ends. Call Leave after the last request has ended.
func (s *Claims) Leave(ctx context.Context) error {
	for s.unclosed.Load() > 0 {
		select {
		case <-time.After(leavePollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// MaxOutcomeBytes returns the maximum size of an answer that is kept.
func (s *Claims) MaxOutcomeBytes() int {
	return s.config.MaxOutcomeBytes
}

// Claimed is the result of a successful call of Claim. Exactly one of its fields is
// set.
type Claimed struct {
	// Hold is set if the call may be dispatched.
	Hold *Hold
	// Stored is set if the first call with the key has ended; it is the outcome of
	// that call.
	Stored *Outcome
}

// Claim makes a claim on the key of a call before the call is dispatched. On an
// error the call must not be dispatched. The error has code KeyTooLong,
// ClaimStoreDown, ClaimInProgress, ClaimUnknown, ClaimMismatch, ClaimNoAnswer or
// StoreCorrupt.
func (s *Claims) Claim(ctx context.Context, c Call) (Claimed, error) {
	if len(c.Key) > MaxKeyBytes {
		return Claimed{}, code.Errorf(code.KeyTooLong, "the idempotency key has %d bytes, but at most %d are allowed", len(c.Key), MaxKeyBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	h := &Hold{claims: s, key: rowKey(s.config.Environment, c.Caller, c.Key), record: Record{
		State:   StateOpen,
		Token:   store.NewID(),
		Digest:  c.Digest,
		Request: c.Request,
		Until:   s.now().Add(s.config.OpenTimeout),
	}}
	for range maxInsertTries {
		w := s.writeRecord(ctx, h.key, h.version, h.record)
		switch w.result {
		case Written:
			return s.confirm(h), nil
		case NotWritten:
			return Claimed{}, s.refuse(h, code.Errorf(code.ClaimStoreDown, "the claim could not be stored: %w", w.err))
		case Uncertain:
			// Try the same insertion again. The token shows whether a row that is
			// found is this claim or another.
			h.insertUncertain = true
			continue
		case NotTried:
			continue
		}
		if result, final, err := s.resolveConflict(h, w); final {
			return result, err
		}
	}
	return Claimed{}, s.refuse(h, code.Errorf(code.ClaimStoreDown, "the table did not confirm the claim"))
}

// refuse returns err, with which a call is refused as not run. If the claim may
// have been inserted, it is released in the background, so that the caller can
// send the call again.
func (s *Claims) refuse(h *Hold, err error) error {
	if h.insertUncertain {
		s.closeLater(h)
	}
	return err
}

// resolveConflict returns the result of Claim after the row that w found caused a
// conflict. The bool reports whether the result is final; if not, the insertion is
// to be tried again.
func (s *Claims) resolveConflict(h *Hold, w *rowWrite) (Claimed, bool, error) {
	found, err := decode(w.found)
	if err != nil {
		return Claimed{}, true, err
	}
	h.version = w.found.Version
	verdict := Decide(found, h.record.Digest, h.record.Token, s.now())
	switch verdict {
	case VerdictTake:
		return Claimed{}, false, nil
	case VerdictOwn:
		// confirm adds one to the version, which is already that of the written row.
		h.version--
		return s.confirm(h), true, nil
	case VerdictStored:
		if found.Outcome == nil || found.Outcome.TooLong || !conns.ValidStatus(found.Outcome.Status) {
			return Claimed{}, true, code.Errorf(code.ClaimNoAnswer, "request %s with this key ran, but its answer was not kept", found.Request)
		}
		return Claimed{Stored: found.Outcome}, true, nil
	}
	return Claimed{}, true, verdictError(verdict, found)
}

// confirm records that the row of h was written over version h.version, adds an
// event and returns the result of Claim.
func (s *Claims) confirm(h *Hold) Claimed {
	h.version++
	s.deps.Events.Add(event.Event{Kind: event.ClaimMade, Request: h.record.Request})
	return Claimed{Hold: h}
}

// decode decodes the record of a row, or returns nil if the row does not exist. The
// error has code StoreCorrupt, which stands for a call that was not run.
func decode(row store.Row) (*Record, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "decode claim %s: %w", row.Key, err)
	}
	return &r, nil
}
