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
		})
	}
}

// TestSameSeed requires that a seed gives the same figures twice.
func TestSameSeed(t *testing.T) {
	t.Parallel()
	first, err := measure(t.Context(), deploy.Andesoft(), PolicyLimpetlb, 7, 10*time.Minute)
	require.NoError(t, err)
	second, err := measure(t.Context(), deploy.Andesoft(), PolicyLimpetlb, 7, 10*time.Minute)
	require.NoError(t, err)
	require.Equal(t, first, second)
}
