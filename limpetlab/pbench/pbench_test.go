package pbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// TestQuick requires that both deployments keep the bounds.
func TestQuick(t *testing.T) {
	for _, deployment := range []string{"andesoft", "ibeji"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Config{Deployment: deployment, Seed: 1, Quick: true})
			require.NoError(t, err)
			for _, row := range r.Rows {
				t.Logf("%+v", row)
			}
			require.Empty(t, r.Broken)
			for i, s := range r.Series {
				checkSeries(t, r.Rows[i], s, r.Hours)
			}
		})
	}
}

// TestSameSeed requires that a seed gives the same figures twice.
func TestSameSeed(t *testing.T) {
	t.Parallel()
	first, points, err := measure(t.Context(), deploy.Andesoft(), PolicyLimpetlb, 7, 10*time.Minute)
	require.NoError(t, err)
	second, again, err := measure(t.Context(), deploy.Andesoft(), PolicyLimpetlb, 7, 10*time.Minute)
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Equal(t, points, again)
}

// checkSeries requires that a series covers the time and ends as its row does.
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
