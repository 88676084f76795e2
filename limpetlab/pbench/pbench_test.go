package pbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// TestQuickRunMeetsBounds runs both deployments and requires that all bounds are
// met.
func TestQuickRunMeetsBounds(t *testing.T) {
	for _, deployment := range []string{"andesoft", "ibeji"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Config{Deployment: deployment, Seed: 1, Quick: true})
			require.NoError(t, err)
			for _, row := range r.Rows {
				t.Logf("%+v", row)
			}
			require.Empty(t, r.Violations)
			for i, s := range r.Series {
				checkSeries(t, r.Rows[i], s, r.Hours)
			}
		})
	}
}

// TestSameSeedSameResult requires that two runs with the same seed give the same
// results.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	firstRow, firstSeries, err := simulate(t.Context(), deploy.Andesoft(), PolicyPlanner, 7, 10*time.Minute)
	require.NoError(t, err)
	secondRow, secondSeries, err := simulate(t.Context(), deploy.Andesoft(), PolicyPlanner, 7, 10*time.Minute)
	require.NoError(t, err)
	require.Equal(t, firstRow, secondRow)
	require.Equal(t, firstSeries, secondSeries)
}

// checkSeries requires that a series covers the measured time, that its moves never
// decrease, and that they end at the number of the row.
func checkSeries(t *testing.T, row Row, s Series, hours float64) {
	require.Equal(t, row.Policy, s.Policy)
	require.LessOrEqual(t, len(s.Points), maxPoints)
	require.Greater(t, len(s.Points), maxPoints/2)
	last := s.Points[len(s.Points)-1]
	require.InDelta(t, hours, last.Hours, 1e-9)
	require.Equal(t, row.Moves, last.Moves)
	moves := 0
	for _, p := range s.Points {
		require.GreaterOrEqual(t, p.Moves, moves)
		require.LessOrEqual(t, p.Attainment, 1.0)
		moves = p.Moves
	}
}
