package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

// TestLimitsNeverExceedBudgets draws data centres that ask for loans, grant loans and
// let them expire, with clocks that differ by less than loanMargin. The sum of their
// limits must never exceed the budgets.
func TestLimitsNeverExceedBudgets(t *testing.T) {
	budgets := envdoc.Budgets{LoadsPerSecond: 1.4, LoadsAtOnce: 14, AdaptersInTransit: 110}
	dataCentres := []string{"dc1", "dc2", "dc3", "dc4"}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1e9, 0)
		rows := make([]BudgetRow, len(dataCentres))
		skews := make([]time.Duration, len(dataCentres))
		for i, dc := range dataCentres {
			rows[i].DataCentre = dc
			skews[i] = time.Duration(rapid.IntRange(0, int(loanMargin/time.Millisecond)).Draw(rt, "skew")) * time.Millisecond
		}
		borrowed := false
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 3).Draw(rt, "centre")
			localNow := now.Add(skews[i])
			rows[i] = nextBudgetRow(rows[i], fixedShare(budgets, dataCentres, dataCentres[i]), rows, rapid.IntRange(0, 6).Draw(rt, "waiting"), localNow)
			var sum Limits
			for j, dc := range dataCentres {
				limits := effectiveLimits(fixedShare(budgets, dataCentres, dc), rows, dc, now.Add(skews[j]))
				require.GreaterOrEqual(rt, limits.AtOnce, 1)
				borrowed = borrowed || limits.AtOnce > 4
				sum = sum.addScaled(limits, 1)
			}
			require.LessOrEqual(rt, sum.AtOnce, budgets.LoadsAtOnce)
			require.LessOrEqual(rt, sum.Adapters, budgets.AdaptersInTransit)
			require.LessOrEqual(rt, sum.PerSecond, budgets.LoadsPerSecond+1e-9)
		}
	})
}

// TestUnusedShareIsLent requires that a data centre without waiting loads lends all but one
// of its concurrent loads, and has its share back after loanTerm.
func TestUnusedShareIsLent(t *testing.T) {
	budgets := envdoc.Budgets{LoadsPerSecond: 1.4, LoadsAtOnce: 14, AdaptersInTransit: 110}
	dataCentres := []string{"dc1", "dc2"}
	now := time.Unix(1e9, 0)
	borrower := BudgetRow{DataCentre: "dc2", Waiting: 5, At: now.UnixMilli()}
	lender := nextBudgetRow(BudgetRow{DataCentre: "dc1"}, fixedShare(budgets, dataCentres, "dc1"), []BudgetRow{borrower}, 0, now)
	rows := []BudgetRow{borrower, lender}
	share := fixedShare(budgets, dataCentres, "dc2")
	require.Equal(t, share.AtOnce+6, effectiveLimits(share, rows, "dc2", now).AtOnce)
	require.Equal(t, 1, effectiveLimits(fixedShare(budgets, dataCentres, "dc1"), rows, "dc1", now).AtOnce)
	later := now.Add(loanTerm)
	require.Equal(t, share, effectiveLimits(share, rows, "dc2", later))
	require.Equal(t, 7, effectiveLimits(fixedShare(budgets, dataCentres, "dc1"), rows, "dc1", later).AtOnce)
}
