package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/chart"
	"github.com/limpetlb/limpetlb/limpetlab/pbench"
	"github.com/limpetlb/limpetlb/limpetlab/rbench"
)

// sampleResult returns a small result of both benchmarks with one broken bound for
// each deployment.
func sampleResult() allResult {
	var a allResult
	for _, d := range deployments {
		p := pbench.Result{Deployment: d, List: bound.New()}
		p.Rows = []pbench.Row{{Policy: "limpetlb", Moves: 7}}
		p.Series = []pbench.Series{{Policy: "limpetlb", Points: []pbench.Point{{Hours: 1, Attainment: 1, Moves: 3}, {Hours: 2, Attainment: 1, Moves: 7}}}}
		p.AtMost("moves of greedy", 0.5, 0.75)
		q := rbench.Result{Deployment: d, List: bound.New()}
		q.Rows = []rbench.Row{{Policy: "limpet", Phase: "rest", Priority: "all", Attainment: 0.9}}
		q.Series = []rbench.Series{{Scenario: "day", Policy: "limpet", Points: []rbench.Point{
			{Seconds: 1, Phase: "rest"}, {Seconds: 2, Phase: "rest"}, {Seconds: 3, Phase: "burst"},
		}}}
		q.AtLeast("rest: gain", 1, 1.25)
		a.Placement, a.Requests = append(a.Placement, p), append(a.Requests, q)
	}
	return a
}

func TestReportContainsFiguresBoundsAndCharts(t *testing.T) {
	c := &reportBench{benchFlags: benchFlags{Seed: 3, Quick: true}, Directory: t.TempDir()}
	require.NoError(t, c.report(sampleResult()))
	page, err := os.ReadFile(filepath.Join(c.Directory, "index.html"))
	require.NoError(t, err)
	for _, text := range []string{
		"bench report --seed 3 --directory " + c.Directory + " --quick",
		`<td>moves of greedy</td><td class="number">at most 0.5</td><td class="number">0.75</td><td class="broken">no</td>`,
		`<td>rest: gain</td><td class="number">at least 1</td><td class="number">1.25</td><td>yes</td>`,
		`<td>ibeji</td><td>limpetlb</td>`, `<td class="number">0.9000</td>`,
	} {
		require.Contains(t, string(page), text)
	}
	for _, ch := range sampleResult().charts() {
		require.Contains(t, string(page), `<img src="`+ch.File+`"`)
		require.FileExists(t, filepath.Join(c.Directory, ch.File))
	}
}

func TestPhaseMarksAtPhaseBegin(t *testing.T) {
	points := sampleResult().Requests[0].Series[0].Points
	require.Equal(t, []chart.Mark{{X: 1, Text: "rest"}, {X: 3, Text: "burst"}}, phaseMarks(points))
}
