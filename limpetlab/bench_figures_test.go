package main

import (
	"math"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompareReportsRegressions(t *testing.T) {
	file := filepath.Join(t.TempDir(), "figures.json")
	earlier := figures{
		Seed:       1,
		Attainment: map[string]float64{"a": 10, "b": 10, "gone": 10, "none": 10},
		Moves:      map[string]float64{"c": 100, "d": 100, "few": 2, "gone": 1},
		Sends:      map[string]float64{"e": 1, "f": 1},
	}
	require.NoError(t, earlier.write(file))
	current := figures{
		Seed:       1,
		Attainment: map[string]float64{"a": 9.95, "b": 9.8, "none": math.NaN(), "new": 10},
		Moves:      map[string]float64{"c": 109, "d": 120, "few": 11},
		Sends:      map[string]float64{"e": 1.02, "f": 1.05},
	}
	regressions, err := compare(file, current)
	require.NoError(t, err)
	require.Equal(t, []string{
		"b: 9.8 attainment, was 10",
		"gone: no attainment, was 10",
		"none: NaN attainment, was 10",
		"new: 10 attainment, not among the earlier figures",
		"d: 120 moves, was 100",
		"gone: no moves, was 1",
		"f: 1.05 sends per request, was 1",
	}, regressions)
	current.Seed = 2
	_, err = compare(file, current)
	require.Error(t, err)
}

// TestFiguresCoverOwnPolicies compares a result with its own figures, and then a
// result with more moves of limpetlb's policy with the same figures.
func TestFiguresCoverOwnPolicies(t *testing.T) {
	file := filepath.Join(t.TempDir(), "figures.json")
	flags := benchFlags{Seed: 1, Quick: true}
	a := sampleResult()
	require.NoError(t, a.figures(flags).write(file))
	regressions, err := compare(file, a.figures(flags))
	require.NoError(t, err)
	require.Empty(t, regressions)
	a.Placement[0].Rows[0].Moves += maxAddedMoves + 1
	regressions, err = compare(file, a.figures(flags))
	require.NoError(t, err)
	require.Equal(t, []string{"andesoft placement: 18 moves, was 7"}, regressions)
}
