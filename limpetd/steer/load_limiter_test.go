package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

// TestLoadLimiterBoundsLoadsInAnyWindow starts loads at random times and with random changes
// of the lease holder, each of which starts a new limiter. In no window of five seconds may
// more loads begin than the weight store allows.
func TestLoadLimiterBoundsLoadsInAnyWindow(t *testing.T) {
	const (
		window    = 5 * time.Second
		tolerance = 1.1
		burst     = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 9).Draw(t, "rate")
		now := time.Unix(1000, 0)
		newLimiter := func() *loadLimiter {
			return &loadLimiter{perSecond: rate, burst: storeBurst, unanswered: map[string]time.Time{}}
		}
		limiter := newLimiter()
		var begun []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				limiter = newLimiter()
			}
			for n := min(limiter.available(now), rapid.IntRange(0, 4).Draw(t, "loads")); n > 0; n-- {
				limiter.level--
				begun = append(begun, now)
			}
		}
		for i, first := range begun {
			n := 0
			for _, at := range begun[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), rate*window.Seconds()*tolerance+burst)
		}
	})
}

// TestLoadLimiterCountsUnansweredOrders guards against exceeding the limit when an engine
// carries out a load order late that it did not answer.
func TestLoadLimiterCountsUnansweredOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := &loadLimiter{perSecond: 1.4, burst: storeBurst, unanswered: map[string]time.Time{}}
	require.Zero(t, limiter.available(now), "a new limiter allows no loads at first")
	now = now.Add(10 * time.Second)
	require.Equal(t, storeBurst, limiter.available(now))
	limiter.unanswered["e1"] = now.Add(lateOrderTerm)
	require.Equal(t, storeBurst-1, limiter.available(now))
	require.Equal(t, storeBurst, limiter.available(now.Add(lateOrderTerm+time.Millisecond)))
}
