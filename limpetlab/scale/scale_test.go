package scale

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLineGoesThroughItsPoints(t *testing.T) {
	slope, height := line([]int{1, 2, 4}, []float64{5, 8, 14}, 10)
	require.InDelta(t, 3, slope, 1e-9)
	require.InDelta(t, 32, height, 1e-9)
}

// TestBytesComeOutAgain measures the bytes of calls and rows twice.
func TestBytesComeOutAgain(t *testing.T) {
	for _, m := range slices.Concat(traffic(), placing(), documents()) {
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

// TestTotalsBreakTheirLimits breaks a limit by a row that is too high, and by one
// that is missing.
func TestTotalsBreakTheirLimits(t *testing.T) {
	r, err := Run(t.Context(), Config{Quick: true})
	require.NoError(t, err)
	require.Len(t, r.Totals, 2)
	require.Empty(t, r.Broken)
	rows := r.Rows
	for i := range rows {
		if rows[i].Role == roleWatcher && rows[i].Measure == "reading a report" {
			r.Rows = slices.Clone(rows)
			r.Rows[i].AtTarget += limitBytes
			r.Totals = nil
			r.conclude(true)
			require.Len(t, r.Broken, 2)
			r.Rows = slices.Delete(slices.Clone(rows), i, i+1)
			r.conclude(true)
			require.Len(t, r.Broken, 2)
		}
	}
}

// TestTotalsAreBoundedBeforeRounding breaks a limit by less than rounding hides.
func TestTotalsAreBoundedBeforeRounding(t *testing.T) {
	var r Result
	r.limit(newTotal("t", unitBytes, Part{"a", limitBytes}, Part{"b", 1}), limitBytes)
	require.Len(t, r.Broken, 1)
	require.Equal(t, limitBytes, r.Totals[0].Sum)
}
