package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fakeComponents stands in for the components that take part when a daemon leaves.
// It records when, since start, each component was called.
type fakeComponents struct {
	start time.Time
	// durations holds, by component, how long Leave takes unless ctx ends
	// first.
	durations map[string]time.Duration
	// drainedAfter is when, since start, the last request in flight ends.
	drainedAfter time.Duration

	mu       sync.Mutex
	calledAt map[string]time.Duration
	results  map[string]error
}

func newFakeComponents(drainedAfter time.Duration, durations map[string]time.Duration) *fakeComponents {
	return &fakeComponents{
		start: time.Now(), durations: durations, drainedAfter: drainedAfter,
		calledAt: make(map[string]time.Duration), results: make(map[string]error),
	}
}

// fakeComponent is one component that leaves.
type fakeComponent struct {
	*fakeComponents
	name string
}

func (c fakeComponent) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.calledAt[c.name] = time.Since(c.start)
	c.mu.Unlock()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(c.durations[c.name]):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[c.name] = err
	return err
}

// fakeGate stands in for the interface for callers.
type fakeGate struct{ *fakeComponents }

func (g fakeGate) Leave() { g.calledAt["gate"] = time.Since(g.start) }

func (g fakeGate) InFlight() int {
	if time.Since(g.start) < g.drainedAfter {
		return 1
	}
	return 0
}

// runLeave runs the leave sequence and returns how long it took.
func (s *fakeComponents) runLeave(ctx context.Context, drainTimeout time.Duration) (time.Duration, error) {
	sequence := leaveSequence{
		gate: fakeGate{s}, members: fakeComponent{s, "members"}, batches: fakeComponent{s, "batches"}, orders: fakeComponent{s, "orders"},
		claims: fakeComponent{s, "claims"}, drainTimeout: drainTimeout, log: zap.NewNop(),
	}
	err := sequence.run(ctx)
	return time.Since(s.start), err
}

func TestLeaveRejectsAnnouncesAndHandsOverImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeComponents(time.Minute, map[string]time.Duration{"batches": 10 * time.Second, "orders": 20 * time.Second})
		elapsed, err := s.runLeave(t.Context(), time.Hour)
		require.NoError(t, err)
		require.Equal(t, time.Minute, elapsed)
		want := map[string]time.Duration{"gate": 0, "members": 0, "batches": 0, "orders": 0, "claims": time.Minute}
		require.Equal(t, want, s.calledAt)
		require.Equal(t, map[string]error{"members": nil, "batches": nil, "orders": nil, "claims": nil}, s.results)
	})
}

func TestLeaveWaitsForLoadBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elapsed, err := newFakeComponents(0, nil).runLeave(t.Context(), time.Hour)
		require.NoError(t, err)
		require.Equal(t, leaveGrace, elapsed)
	})
}

func TestLeaveStopsDrainAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeComponents(time.Hour, nil)
		elapsed, err := s.runLeave(t.Context(), time.Minute)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Minute, elapsed)
		require.Contains(t, s.results, "claims", "claims must be closed after an incomplete drain too")
	})
}

func TestLeaveStopsHandOverAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeComponents(0, map[string]time.Duration{"orders": time.Hour, "claims": time.Hour})
		elapsed, err := s.runLeave(t.Context(), time.Hour)
		require.NoError(t, err, "the drain was complete")
		require.Equal(t, 2*handOverTimeout, elapsed)
		require.ErrorIs(t, s.results["orders"], context.DeadlineExceeded)
	})
}

// TestLeaveClosesClaimsAfterLongDrain has a request end long after
// handOverTimeout. Closing claims must still have time.
func TestLeaveClosesClaimsAfterLongDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeComponents(3*handOverTimeout, map[string]time.Duration{"claims": time.Second})
		elapsed, err := s.runLeave(t.Context(), time.Hour)
		require.NoError(t, err)
		require.NoError(t, s.results["claims"])
		require.Equal(t, 3*handOverTimeout+time.Second, elapsed)
	})
}

func TestLeaveEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		elapsed, err := newFakeComponents(time.Hour, map[string]time.Duration{"orders": time.Hour}).runLeave(ctx, time.Hour)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Second, elapsed)
	})
}
