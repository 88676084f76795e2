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
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Defaults and bounds.
const (
	// DefaultKeepFor is how long the outcome of a keyed call is kept.
	DefaultKeepFor = 24 * time.Hour
	// DefaultOpenFor is how long an open claim counts as in progress.
	DefaultOpenFor = 2 * time.Minute
	// DefaultSweepEvery is the mean time between two sweeps of a daemon.
	DefaultSweepEvery = 10 * time.Second
	// DefaultMaxOutcomeBytes is the longest answer that is kept.
	DefaultMaxOutcomeBytes = 64 << 10
	// claimTries bounds the attempts to insert one claim.
	claimTries = 4
	// claimTime bounds the claiming of a call.
	claimTime = 5 * time.Second
	// closeWait is how long an answer waits for its claim to be closed.
	closeWait = time.Second
	// groupSize is the largest number of rows in one transaction.
	groupSize = 32
	// committers is the number of transactions in flight.
	committers = 4
	// queueSize is the number of writes that wait for a transaction.
	queueSize = 1024
	// leavePoll is the time between two looks at the claims left to close.
	leavePoll = 20 * time.Millisecond
	// lateSize is the number of claims that wait to be closed late.
	lateSize = 1024
)

// Config describes the claims of a daemon.
type Config struct {
	Environment string
	// KeepFor is how long closed claims are kept; OpenFor how long an open
	// one counts as in progress. It must exceed the time of a call.
	KeepFor time.Duration
	OpenFor time.Duration
	// SweepEvery is the mean time between two sweeps.
	SweepEvery time.Duration
	// MaxOutcomeBytes is the longest answer that is kept.
	MaxOutcomeBytes int
}

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	if c.KeepFor == 0 {
		c.KeepFor = DefaultKeepFor
	}
	if c.OpenFor == 0 {
		c.OpenFor = DefaultOpenFor
	}
	if c.SweepEvery == 0 {
		c.SweepEvery = DefaultSweepEvery
	}
	if c.MaxOutcomeBytes == 0 {
		c.MaxOutcomeBytes = DefaultMaxOutcomeBytes
	}
	return c
}

// Deps are what Claims depends on.
type Deps struct {
	Table store.Table
	// Gatherers may be nil; this daemon then commits all its writes.
	Gatherers GathererProvider
	Log       *zap.Logger
	Events    *event.Line
	Scope     tally.Scope
}

// Option changes Claims.
type Option func(*Claims)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithRandom sets the source of random pauses and choices. It must be safe for
// concurrent use, as those of package random are.
func WithRandom(r *rand.Rand) Option {
	return func(c *Claims) { c.random = r }
}

// Claims claims keyed calls. It is safe for concurrent use.
type Claims struct {
	config Config
	deps   Deps
	now    func() time.Time
	random *rand.Rand
	tomb   *tomb.Tomb
	// writes joins calls with the committers. When it is full a claim is
	// refused as not run and a closing goes to late.
	writes chan *write
	// late joins calls with the duty that closes claims late. When it is
	// full the claim stays open, which a repeat sees as unknown, and the
	// loss is counted.
	late chan *Hold
	// open counts the claims that are to be closed late.
	open atomic.Int64

	pace *pace
	// aloneUntil is when writes are forwarded again, in nanoseconds since 1970.
	aloneUntil atomic.Int64

	forwarded     tally.Counter
	forwardFailed tally.Counter
	gathered      tally.Counter

	groups   tally.Counter
	rows     tally.Counter
	lateLost tally.Counter
	swept    tally.Counter
}

// New returns the claims of a daemon and starts the committers, the late
// closing and the sweep.
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
		config:   c.withDefaults(),
		deps:     d,
		now:      time.Now,
		random:   random.New(),
		writes:   make(chan *write, queueSize),
		late:     make(chan *Hold, lateSize),
		pace:     newPace(d.Gatherers),
		groups:   scope.Counter("group_commits"),
		rows:     scope.Counter("rows_written"),
		lateLost: scope.Counter("late_lost"),
		swept:    scope.Counter("rows_swept"),

		forwarded:     scope.Counter("writes_forwarded"),
		forwardFailed: scope.Counter("forwards_failed"),
		gathered:      scope.Counter("writes_gathered"),
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
		t.Go(func() error { return s.lateLoop(ctx) })
		t.Go(func() error { return s.sweepLoop(ctx) })
		return nil
	})
	return s
}

// Wait returns when all goroutines have ended.
func (s *Claims) Wait() error {
	err := s.tomb.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Leave returns when no claim waits to be closed late, or when ctx ends. Call it
// once no request is in progress.
func (s *Claims) Leave(ctx context.Context) error {
	for s.open.Load() > 0 {
		select {
		case <-time.After(leavePoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// MaxOutcomeBytes is the longest answer that is kept.
func (s *Claims) MaxOutcomeBytes() int {
	return s.config.MaxOutcomeBytes
}

// Claimed is the result of a claim: exactly one of its fields is set.
type Claimed struct {
	// Hold is set for the call that may be dispatched.
	Hold *Hold
	// Stored is the outcome of the first call with the key.
	Stored *Outcome
}

// Claim claims a call before it is dispatched. An error has code KeyTooLong,
// ClaimStoreDown, ClaimInProgress, ClaimUnknown, ClaimMismatch or
// ClaimNoAnswer; the call must then not be dispatched.
func (s *Claims) Claim(ctx context.Context, c Call) (Claimed, error) {
	if len(c.Key) > MaxKeyBytes {
		return Claimed{}, code.Errorf(code.KeyTooLong, "the key has %d bytes, %d are allowed", len(c.Key), MaxKeyBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	h := &Hold{claims: s, key: rowKey(s.config.Environment, c.Caller, c.Key), record: Record{
		State:   StateOpen,
		Token:   store.NewID(),
		Digest:  c.Digest,
		Request: c.Request,
		Until:   s.now().Add(s.config.OpenFor),
	}}
	for range claimTries {
		w := s.write(ctx, h.key, h.version, h.record)
		switch w.result {
		case Written:
			return s.claimed(h), nil
		case NotWritten:
			return Claimed{}, s.giveUp(h, code.Errorf(code.ClaimStoreDown, "the claim could not be stored: %w", w.err))
		case Uncertain:
			// The same insertion again: its token tells ours from others.
			h.uncertain = true
			continue
		case Crowded:
			continue
		}
		if result, final, err := s.meet(h, w); final {
			return result, err
		}
	}
	return Claimed{}, s.giveUp(h, code.Errorf(code.ClaimStoreDown, "the table did not confirm the claim"))
}

// giveUp refuses a call. Its row is freed if it may have been inserted.
func (s *Claims) giveUp(h *Hold, err error) error {
	if h.uncertain {
		s.later(h)
	}
	return err
}

// meet decides on the row that stands in the way of an insertion. It is not
// final when the insertion is to be tried again.
func (s *Claims) meet(h *Hold, w *write) (Claimed, bool, error) {
	found, err := decode(w.found)
	if err != nil {
		return Claimed{}, true, err
	}
	h.version = w.found.Version
	v := Decide(found, h.record.Digest, h.record.Token, s.now())
	switch v {
	case VerdictTake:
		return Claimed{}, false, nil
	case VerdictOurs:
		h.version--
		return s.claimed(h), true, nil
	case VerdictStored:
		if found.Outcome == nil || found.Outcome.TooLong {
			return Claimed{}, true, code.Errorf(code.ClaimNoAnswer, "request %s with this key ran; its answer was not kept", found.Request)
		}
		return Claimed{Stored: found.Outcome}, true, nil
	}
	return Claimed{}, true, refusal(v, found)
}

// claimed notes that the row of h is written.
func (s *Claims) claimed(h *Hold) Claimed {
	h.version++
	s.deps.Events.Add(event.Event{Kind: event.ClaimMade, Request: h.record.Request})
	return Claimed{Hold: h}
}

// decode reads a row; nil for a missing one. An error has code StoreCorrupt and
// says that the call was not run.
func decode(row store.Row) (*Record, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, code.Errorf(code.StoreCorrupt, "claim %s: %w", row.Key, err)
	}
	return &r, nil
}

// Hold is a claim of this daemon. Close, NotRun or Unknown must be called once.
type Hold struct {
	claims    *Claims
	key       string
	version   int64
	record    Record
	uncertain bool
}

// Close keeps the outcome of the call. While the table cannot be reached it
// returns soon and the closing goes on in the background.
func (h *Hold) Close(ctx context.Context, o Outcome) {
	if len(o.Body) > h.claims.config.MaxOutcomeBytes {
		o = Outcome{Status: o.Status, TooLong: true}
	}
	h.close(ctx, StateDone, &o)
}

// NotRun frees the key: the call is known not to have run.
func (h *Hold) NotRun(ctx context.Context) {
	h.close(ctx, StateNotRun, nil)
}

func (h *Hold) close(ctx context.Context, state State, o *Outcome) {
	h.record.State = state
	h.record.Outcome = o
	h.record.Closed = h.claims.now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeWait)
	defer cancel()
	if !h.tryClose(ctx) {
		h.claims.later(h)
	}
	h.claims.deps.Events.Add(event.Event{
		Kind:    event.ClaimClosed,
		Request: h.record.Request,
		Text:    string(state),
	})
}

// tryClose writes the closed record; true when nothing is left to do. The version
// of an inserted row is not known if the key had a row before, and is then taken
// from the conflict.
func (h *Hold) tryClose(ctx context.Context) bool {
	inserted := h.version
	return h.closeAt(ctx) || h.version != inserted && h.closeAt(ctx)
}

// closeAt writes the closed record if the row has the known version. In conflict
// with a claim of this arrival it takes over its version.
func (h *Hold) closeAt(ctx context.Context) bool {
	w := h.claims.write(ctx, h.key, h.version, h.record)
	if w.result == Written {
		return true
	}
	if w.result != Conflict {
		return false
	}
	found, err := decode(w.found)
	if err != nil || found == nil || found.Token != h.record.Token {
		// The row is not ours: nothing of ours is to be closed.
		return true
	}
	if found.State != StateOpen {
		return true
	}
	h.version = w.found.Version
	return false
}

// later hands a claim to the duty that closes it in the background.
func (s *Claims) later(h *Hold) {
	s.open.Add(1)
	select {
	case s.late <- h:
	default:
		s.open.Add(-1)
		s.lateLost.Inc(1)
		s.deps.Log.Warn("claim_left_open", zap.String("request_id", h.record.Request))
	}
}

// Unknown keeps that the call was dispatched and that its outcome is not known;
// a repeat is told so for ever.
func (h *Hold) Unknown(ctx context.Context) {
	h.close(ctx, StateUnknown, nil)
}
