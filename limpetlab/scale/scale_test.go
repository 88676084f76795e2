package scale

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitLinePassesThroughCollinearPoints(t *testing.T) {
	slope, height := fitLine([]int{1, 2, 4}, []float64{5, 8, 14}, 10)
	require.InDelta(t, 3, slope, 1e-9)
	require.InDelta(t, 32, height, 1e-9)
}

// TestByteMeasuresAreReproducible takes each measure of bytes twice. The results
// must be close to each other, and grow with the size.
func TestByteMeasuresAreReproducible(t *testing.T) {
	for _, m := range slices.Concat(trafficMeasures(), placementMeasures(), documentMeasures()) {
		if m.unit != "bytes" || m.name == "facts and planner" {
			continue
		}
		first, err := m.row(t.Context(), 1)
		require.NoError(t, err)
		again, err := m.row(t.Context(), 1)
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(first.Sizes), 3, m.name)
		require.Positive(t, first.AtTarget, m.name)
		require.InEpsilon(t, first.AtTarget, again.AtTarget, 0.5, m.name)
		require.Greater(t, first.Values[len(first.Values)-1], first.Values[0], m.name)
	}
}

// TestTotalsOverLimitAreReported exceeds the limits by a row with a high value, and
// breaks them by removing the row, which makes the totals NaN.
func TestTotalsOverLimitAreReported(t *testing.T) {
	r, err := Run(t.Context(), Config{Quick: true})
	require.NoError(t, err)
	require.Len(t, r.Totals, 2)
	require.Empty(t, r.Violations)
	rows := r.Rows
	for i := range rows {
		if rows[i].Role == roleWatcher && rows[i].Measure == "reading a report" {
			r.Rows = slices.Clone(rows)
			r.Rows[i].AtTarget += limitBytes
			r.Totals = nil
			r.addTotals(true)
			require.Len(t, r.Violations, 2)
			r.Rows = slices.Delete(slices.Clone(rows), i, i+1)
			r.addTotals(true)
			require.Len(t, r.Violations, 2)
		}
	}
}

// TestTotalsAreCheckedBeforeRounding exceeds a limit by so little that the rounded
// sum equals the limit.
func TestTotalsAreCheckedBeforeRounding(t *testing.T) {
	var r Result
	r.addTotal(newTotal("t", unitBytes, Part{"a", limitBytes}, Part{"b", 1}), limitBytes)
	require.Len(t, r.Violations, 1)
	require.Equal(t, limitBytes, r.Totals[0].Sum)
}

// TestRetainedBytesExcludesArgumentsOfBuild builds a copy of a part of a buffer that is not used again.
func TestRetainedBytesExcludesArgumentsOfBuild(t *testing.T) {
	buffer := make([]byte, 8<<20)
	bytes := retainedBytes(func() any { return slices.Clone(buffer[:1<<20]) })
	require.InEpsilon(t, 1<<20, bytes, 0.5)
}
