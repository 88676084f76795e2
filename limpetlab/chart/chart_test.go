package chart

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot/plotter"
)

func TestDrawIncludesTextsAndIsDeterministic(t *testing.T) {
	panels := []Panel{
		{
			XLabel: "time (s)", YLabel: "attainment", MaxY: 1, Marks: []Mark{{X: 1, Text: "burst"}},
			Curves: []Curve{{Name: "limpet", Points: plotter.XYs{{X: 0, Y: 1}, {X: 2, Y: 0.5}}}},
		},
		{XLabel: "phase", YLabel: "share", Groups: []string{"calm", "rest"}, Bars: []Bars{{Name: "limpet", Values: plotter.Values{1, 0.5}}}},
	}
	var files []string
	for _, name := range []string{"first.svg", "second.svg"} {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, Draw(file, "a title", panels))
		body, err := os.ReadFile(file)
		require.NoError(t, err)
		files = append(files, string(body))
	}
	require.Equal(t, files[0], files[1])
	for _, text := range []string{"a title", "time (s)", "attainment", "burst", "phase", "share", "calm", "rest"} {
		require.Contains(t, files[0], ">"+text+"<")
	}
	panels[0].Curves[0].Points[0].Y = math.NaN()
	require.Error(t, Draw(filepath.Join(t.TempDir(), "chart.svg"), "a title", panels))
}

func TestTicksAreRoundNumbers(t *testing.T) {
	labels := func(low, high float64) []string {
		var list []string
		for _, k := range (ticks{minTicksY}).Ticks(low, high) {
			list = append(list, k.Label)
		}
		return list
	}
	require.Equal(t, []string{"0", "0.2", "0.4", "0.6", "0.8", "1"}, labels(0, 1.08))
	require.Equal(t, []string{"0", "1000", "2000", "3000", "4000"}, labels(0, 4400))
}
