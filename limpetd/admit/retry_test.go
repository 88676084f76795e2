package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

func TestRetriesStayWithinTheBudget(t *testing.T) {
	s := newTestState(4, 1000)
	first, retries := 0, 0
	for i := range 2000 {
		now := testTime.Add(time.Duration(i) * 10 * time.Millisecond)
		c := s.Offer(now, request(now, "live", 0, time.Minute))
		if c.Granted() {
			first++
			s.Release(now, c, OutcomeCallerGone)
		}
		r := s.Offer(now, retry(request(now, "live", 0, time.Minute), 1))
		require.False(t, r.Granted(), "a retry waits for its backoff")
		if r.Err != nil {
			require.Equal(t, code.RetryBudget, code.Of(r.Err))
		}
		for _, d := range s.Step(now) {
			if d.Granted() {
				retries++
				s.Release(now, d, OutcomeCallerGone)
			}
		}
	}
	require.Greater(t, retries, first/20)
	require.LessOrEqual(t, retries, first/10)
}

func TestRetryWaitHasFullJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt := 1; attempt < 12; attempt++ {
		limit := min(retryBaseWait<<(attempt-1), maxRetryWait)
		short, long := 0, 0
		for range 1000 {
			w := retryWait(attempt, random)
			require.LessOrEqual(t, w, limit)
			short += boolToInt(w < limit/4)
			long += boolToInt(w > limit*3/4)
		}
		require.Greater(t, short, 180)
		require.Greater(t, long, 180)
	}
}

// TestUnreachedSendIsNotChargedToTheRetryBudget fails a call of a daemon that has just
// started, whose retry budget is empty. A retry is granted only if the failed send
// reached no engine.
func TestUnreachedSendIsNotChargedToTheRetryBudget(t *testing.T) {
	s := newTestState(1, 100)
	c := s.Offer(testTime, request(testTime, "live", 0, time.Minute))
	require.True(t, c.Granted())
	s.Release(testTime, c, OutcomeFailed)
	again := retry(request(testTime, "live", 0, time.Minute), 1)
	require.Equal(t, code.RetryBudget, code.Of(s.Offer(testTime, again).Err))
	again.PreviousUnreached = true
	c = s.Offer(testTime, again)
	require.False(t, c.Granted(), "a retry waits for its backoff")
	require.NoError(t, c.Err)
	require.Equal(t, []*Call{c}, s.Step(testTime.Add(retryBaseWait)))
	require.True(t, c.Granted(), "the only engine is tried again")
}
