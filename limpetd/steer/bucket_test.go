package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/limpetlb/limpetlb/limpetd/seeds"
)

// TestLoadsFromTheWeightStoreStayUnderItsRate spends what the bucket allows at any times,
// through changes of steerer: in no five seconds do more loads begin than the store allows.
func TestLoadsFromTheWeightStoreStayUnderItsRate(t *testing.T) {
	const (
		window = 5 * time.Second
		over   = 1.1
		spare  = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 9).Draw(t, "rate")
		now := time.Unix(1000, 0)
		fresh := func() *bucket {
			return &bucket{perSecond: rate, burst: storeBurst, unanswered: map[string]time.Time{}}
		}
		k := fresh()
		var begun []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				k = fresh()
			}
			for n := min(k.left(now), rapid.IntRange(0, 4).Draw(t, "loads")); n > 0; n-- {
				k.level--
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
			require.LessOrEqual(t, float64(n), rate*window.Seconds()*over+spare)
		}
	})
}

// TestLoadWithoutAnswerCountsUntilItCanNoLongerBegin: an order that got no answer may be
// carried out late.
func TestLoadWithoutAnswerCountsUntilItCanNoLongerBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &bucket{perSecond: 1.4, burst: storeBurst, unanswered: map[string]time.Time{}}
	require.Zero(t, k.left(now), "a new steerer begins with none")
	now = now.Add(10 * time.Second)
	require.Equal(t, storeBurst, k.left(now))
	k.unanswered["e1"] = now.Add(lateOrder)
	require.Equal(t, storeBurst-1, k.left(now))
	require.Equal(t, storeBurst, k.left(now.Add(lateOrder+time.Millisecond)))
}
