package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// TestBudgetsNeverExceedWhole draws data centres that ask, lend and let loans
// lapse, with clocks that differ by less than the margin: all they may take
// together is never more than the whole.
func TestBudgetsNeverExceedWhole(t *testing.T) {
	whole := envdoc.Budgets{LoadsPerSecond: 1.4, LoadsAtOnce: 14, AdaptersInTransit: 110}
	centres := []string{"dc1", "dc2", "dc3", "dc4"}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1e9, 0)
		rows := make([]Budget, len(centres))
		skews := make([]time.Duration, len(centres))
		for i, dc := range centres {
			rows[i].DataCentre = dc
			skews[i] = time.Duration(rapid.IntRange(0, int(loanMargin/time.Millisecond)).Draw(rt, "skew")) * time.Millisecond
		}
		borrowed := false
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 3).Draw(rt, "centre")
			own := now.Add(skews[i])
			rows[i] = budgetRow(rows[i], fixedShare(whole, centres, centres[i]), rows, rapid.IntRange(0, 6).Draw(rt, "waiting"), own)
			var sum Limits
			for j, dc := range centres {
				limits := effective(fixedShare(whole, centres, dc), rows, dc, now.Add(skews[j]))
				require.GreaterOrEqual(rt, limits.AtOnce, 1)
				borrowed = borrowed || limits.AtOnce > 4
				sum = sum.add(limits, 1)
			}
			require.LessOrEqual(rt, sum.AtOnce, whole.LoadsAtOnce)
			require.LessOrEqual(rt, sum.Adapters, whole.AdaptersInTransit)
			require.LessOrEqual(rt, sum.PerSecond, whole.LoadsPerSecond+1e-9)
		}
	})
}

func TestUnusedShareIsLent(t *testing.T) {
	whole := envdoc.Budgets{LoadsPerSecond: 1.4, LoadsAtOnce: 14, AdaptersInTransit: 110}
	centres := []string{"dc1", "dc2"}
	now := time.Unix(1e9, 0)
	asks := Budget{DataCentre: "dc2", Waiting: 5, At: now.UnixMilli()}
	lends := budgetRow(Budget{DataCentre: "dc1"}, fixedShare(whole, centres, "dc1"), []Budget{asks}, 0, now)
	rows := []Budget{asks, lends}
	share := fixedShare(whole, centres, "dc2")
	require.Equal(t, share.AtOnce+6, effective(share, rows, "dc2", now).AtOnce)
	require.Equal(t, 1, effective(fixedShare(whole, centres, "dc1"), rows, "dc1", now).AtOnce)
	later := now.Add(loanTerm)
	require.Equal(t, share, effective(share, rows, "dc2", later))
	require.Equal(t, 7, effective(fixedShare(whole, centres, "dc1"), rows, "dc1", later).AtOnce)
}
