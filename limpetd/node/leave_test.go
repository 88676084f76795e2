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

// stand is a daemon's duties as far as leaving asks for them. It keeps the times
// since the beginning at which steps were asked for.
type stand struct {
	began time.Time
	// takes is how long a step of a name takes; it ends earlier with its ctx.
	takes map[string]time.Duration
	// drained is when the last request in flight ends.
	drained time.Duration

	mu    sync.Mutex
	asked map[string]time.Duration
	ended map[string]error
}

func newStand(drained time.Duration, takes map[string]time.Duration) *stand {
	return &stand{
		began: time.Now(), takes: takes, drained: drained,
		asked: make(map[string]time.Duration), ended: make(map[string]error),
	}
}

// step is one of the duties.
type step struct {
	*stand
	name string
}

func (s step) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.asked[s.name] = time.Since(s.began)
	s.mu.Unlock()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(s.takes[s.name]):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[s.name] = err
	return err
}

// door is the callers' interface.
type door struct{ *stand }

func (d door) Leave() { d.asked["gate"] = time.Since(d.began) }

func (d door) Inflight() int {
	if time.Since(d.began) < d.drained {
		return 1
	}
	return 0
}

// leave lets the daemon leave and returns how long it took.
func (s *stand) leave(ctx context.Context, longest time.Duration) (time.Duration, error) {
	d := departure{
		gate: door{s}, members: step{s, "members"}, batches: step{s, "batches"}, orders: step{s, "orders"},
		claims: step{s, "claims"}, longest: longest, log: zap.NewNop(),
	}
	err := d.run(ctx)
	return time.Since(s.began), err
}

func TestLeavingRefusesAndTellsAndHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(time.Minute, map[string]time.Duration{"batches": 10 * time.Second, "orders": 20 * time.Second})
		took, err := s.leave(t.Context(), time.Hour)
		require.NoError(t, err)
		require.Equal(t, time.Minute, took)
		want := map[string]time.Duration{"gate": 0, "members": 0, "batches": 0, "orders": 0, "claims": time.Minute}
		require.Equal(t, want, s.asked)
		require.Equal(t, map[string]error{"members": nil, "batches": nil, "orders": nil, "claims": nil}, s.ended)
	})
}

func TestLeavingStaysForTheBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, err := newStand(0, nil).leave(t.Context(), time.Hour)
		require.NoError(t, err)
		require.Equal(t, leaveGrace, took)
	})
}

func TestLeavingEndsADrainThatTakesTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(time.Hour, nil)
		took, err := s.leave(t.Context(), time.Minute)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Minute, took)
		require.Contains(t, s.ended, "claims", "claims are closed in any case")
	})
}

func TestLeavingGivesUpTheHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(0, map[string]time.Duration{"orders": time.Hour, "claims": time.Hour})
		took, err := s.leave(t.Context(), time.Hour)
		require.NoError(t, err, "the drain was whole")
		require.Equal(t, 2*handOver, took)
		require.ErrorIs(t, s.ended["orders"], context.DeadlineExceeded)
	})
}

// TestLeavingClosesClaimsAfterALongDrain lets a request end long after the time
// for the handing over.
func TestLeavingClosesClaimsAfterALongDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStand(3*handOver, map[string]time.Duration{"claims": time.Second})
		took, err := s.leave(t.Context(), time.Hour)
		require.NoError(t, err)
		require.NoError(t, s.ended["claims"])
		require.Equal(t, 3*handOver+time.Second, took)
	})
}

func TestLeavingEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		took, err := newStand(time.Hour, map[string]time.Duration{"orders": time.Hour}).leave(ctx, time.Hour)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Second, took)
	})
}
