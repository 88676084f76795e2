package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/demo"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// TestDemoHoldsItsPromises runs whole daemons over real sockets with all kinds
// of fault. It checks counts of broken promises, which no pace excuses.
func TestDemoHoldsItsPromises(t *testing.T) {
	s, err := demo.Run(t.Context(), demo.Config{
		Deployment: deploy.Ibeji(), Seed: 1, Duration: 6 * time.Second, Fault: demo.FaultMixed,
		Speed: 50, Rate: 60, Start: startNode, Progress: os.Stderr,
	})
	require.NoError(t, err)
	require.Empty(t, s.Broken(), s.Notes)
	require.Positive(t, s.Answered)
	require.Positive(t, s.Moves)
}

func TestCompareNamesWhatIsWorse(t *testing.T) {
	file := filepath.Join(t.TempDir(), "figures.json")
	earlier := figures{Seed: 1, Attainment: map[string]float64{"a": 10, "b": 10}, Moves: map[string]float64{"c": 100, "d": 100}}
	require.NoError(t, earlier.write(file))
	now := figures{Seed: 1, Attainment: map[string]float64{"a": 9.8, "b": 9}, Moves: map[string]float64{"c": 109, "d": 120}}
	worse, err := compare(file, now)
	require.NoError(t, err)
	require.Len(t, worse, 2)
	require.Contains(t, worse[0], "b: attainment 9")
	require.Contains(t, worse[1], "d: 120 moves")
	now.Seed = 2
	_, err = compare(file, now)
	require.Error(t, err)
}
