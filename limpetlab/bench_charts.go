package main

import (
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/limpetlb/limpetlb/limpetlab/chart"
	"github.com/limpetlb/limpetlb/limpetlab/pbench"
	"github.com/limpetlb/limpetlb/limpetlab/rbench"
)

// Labels of the axes.
const (
	axisAttainment = "attainment"
	axisUrgent     = "attainment, urgent"
	axisMoves      = "moves so far"
	axisSends      = "sends per request"
	axisHours      = "time (h)"
	axisSeconds    = "time (s)"
)

// The priorities of the requests benchmark that are compared and charted: all
// requests, and the most urgent priority.
const (
	priorityAll    = "all"
	priorityUrgent = "live"
)

// charts returns the charts of both benchmarks. Each deployment has one chart of
// placement over the day, one bar chart of the phases of the requests benchmark,
// and one chart over time for each scenario of the requests benchmark.
func (a allResult) charts() []pageChart {
	var list []pageChart
	for _, p := range a.Placement {
		list = append(list, placementChart(p))
	}
	for _, q := range a.Requests {
		list = append(list, phaseChart(q))
		var scenarios []string
		for _, s := range q.Series {
			scenarios = appendUnique(scenarios, s.Scenario)
		}
		for _, s := range scenarios {
			list = append(list, scenarioChart(q, s))
		}
	}
	return list
}

// placementChart returns the chart of attainment and moves over the day.
func placementChart(r pbench.Result) pageChart {
	attainment := chart.Panel{YLabel: axisAttainment, MaxY: 1}
	moves := chart.Panel{XLabel: axisHours, YLabel: axisMoves}
	for _, s := range r.Series {
		var a, m plotter.XYs
		for _, p := range s.Points {
			a = append(a, plotter.XY{X: p.Hours, Y: p.Attainment})
			m = append(m, plotter.XY{X: p.Hours, Y: float64(p.Moves)})
		}
		attainment.Curves = append(attainment.Curves, chart.Curve{Name: s.Policy, Points: a})
		moves.Curves = append(moves.Curves, chart.Curve{Name: s.Policy, Points: m})
	}
	return pageChart{
		File: "placement-" + r.Deployment + ".svg", Title: r.Deployment + ": placement over the day",
		panels: []chart.Panel{attainment, moves},
	}
}

// scenarioChart returns the chart of attainment and sends per request over the
// time of a scenario, with a mark at the beginning of each phase.
func scenarioChart(r rbench.Result, scenario string) pageChart {
	attainment := chart.Panel{YLabel: axisAttainment, MaxY: 1}
	urgent := chart.Panel{YLabel: axisUrgent, MaxY: 1}
	sends := chart.Panel{XLabel: axisSeconds, YLabel: axisSends, MaxY: 2}
	for _, s := range r.Series {
		if s.Scenario != scenario {
			continue
		}
		var a, u, n plotter.XYs
		for _, p := range s.Points {
			a = append(a, plotter.XY{X: p.Seconds, Y: p.Attainment})
			u = append(u, plotter.XY{X: p.Seconds, Y: p.Urgent})
			n = append(n, plotter.XY{X: p.Seconds, Y: p.SendsPerRequest})
		}
		attainment.Curves = append(attainment.Curves, chart.Curve{Name: s.Policy, Points: a})
		urgent.Curves = append(urgent.Curves, chart.Curve{Name: s.Policy, Points: u})
		sends.Curves = append(sends.Curves, chart.Curve{Name: s.Policy, Points: n})
		attainment.Marks = phaseMarks(s.Points)
	}
	urgent.Marks, sends.Marks = attainment.Marks, attainment.Marks
	return pageChart{
		File:   "requests-" + r.Deployment + "-" + scenario + ".svg",
		Title:  r.Deployment + ": requests, scenario " + scenario,
		panels: []chart.Panel{attainment, urgent, sends},
	}
}

// phaseMarks returns a mark at the beginning of each phase.
func phaseMarks(points []rbench.Point) []chart.Mark {
	var marks []chart.Mark
	for i, p := range points {
		if i == 0 || p.Phase != points[i-1].Phase {
			marks = append(marks, chart.Mark{X: p.Seconds, Text: p.Phase})
		}
	}
	return marks
}

// phaseChart returns the bar chart of attainment in each phase, of all requests
// and of the most urgent ones.
func phaseChart(r rbench.Result) pageChart {
	all := phasePanel(r, priorityAll)
	all.YLabel = axisAttainment
	urgent := phasePanel(r, priorityUrgent)
	urgent.XLabel, urgent.YLabel = "phase", axisUrgent
	return pageChart{
		File: "requests-" + r.Deployment + ".svg", Title: r.Deployment + ": requests by phase",
		panels: []chart.Panel{all, urgent},
	}
}

// phasePanel returns the bars of a priority, with one group for each phase.
func phasePanel(r rbench.Result, priority string) chart.Panel {
	p := chart.Panel{MaxY: 1}
	var policies []string
	for _, row := range r.Rows {
		p.Groups = appendUnique(p.Groups, row.Phase)
		policies = appendUnique(policies, row.Policy)
	}
	for _, policy := range policies {
		b := chart.Bars{Name: policy, Values: make(plotter.Values, len(p.Groups))}
		for _, row := range r.Rows {
			if row.Policy == policy && row.Priority == priority {
				b.Values[slices.Index(p.Groups, row.Phase)] = row.Attainment
			}
		}
		p.Bars = append(p.Bars, b)
	}
	return p
}
