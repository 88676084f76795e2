package main

import (
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/limpetlb/limpetlb/limpetlab/chart"
	"github.com/limpetlb/limpetlb/limpetlab/pbench"
	"github.com/limpetlb/limpetlb/limpetlab/rbench"
)

// The names of the axes.
const (
	axisAttainment = "attainment"
	axisUrgent     = "attainment, urgent"
	axisMoves      = "moves so far"
	axisSends      = "sends a request"
	axisHours      = "time (h)"
	axisSeconds    = "time (s)"
)

// The priorities of the requests bench that are compared and drawn: all, and
// the most urgent one.
const (
	priorityAll    = "all"
	priorityUrgent = "live"
)

// charts returns the charts of both benches: for each deployment placement over
// the day, the phases of the requests bench as bars, and each of its scenarios
// over time.
func (a allResult) charts() []pageChart {
	var list []pageChart
	for _, p := range a.Placement {
		list = append(list, placementChart(p))
	}
	for _, q := range a.Requests {
		list = append(list, phaseChart(q))
		var scenarios []string
		for _, s := range q.Series {
			scenarios = appendNew(scenarios, s.Scenario)
		}
		for _, s := range scenarios {
			list = append(list, scenarioChart(q, s))
		}
	}
	return list
}

// placementChart draws attainment and moves over the day.
func placementChart(r pbench.Result) pageChart {
	met := chart.Panel{Y: axisAttainment, Ceiling: 1}
	moves := chart.Panel{X: axisHours, Y: axisMoves}
	for _, s := range r.Series {
		var a, m plotter.XYs
		for _, p := range s.Points {
			a = append(a, plotter.XY{X: p.Hours, Y: p.Attainment})
			m = append(m, plotter.XY{X: p.Hours, Y: float64(p.Moves)})
		}
		met.Curves = append(met.Curves, chart.Curve{Name: s.Policy, Points: a})
		moves.Curves = append(moves.Curves, chart.Curve{Name: s.Policy, Points: m})
	}
	return pageChart{
		File: "placement-" + r.Deployment + ".svg", Title: r.Deployment + ": placement over the day",
		panels: []chart.Panel{met, moves},
	}
}

// scenarioChart draws attainment and sends over the phases of a scenario.
func scenarioChart(r rbench.Result, scenario string) pageChart {
	met := chart.Panel{Y: axisAttainment, Ceiling: 1}
	urgent := chart.Panel{Y: axisUrgent, Ceiling: 1}
	sends := chart.Panel{X: axisSeconds, Y: axisSends, Ceiling: 2}
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
		met.Curves = append(met.Curves, chart.Curve{Name: s.Policy, Points: a})
		urgent.Curves = append(urgent.Curves, chart.Curve{Name: s.Policy, Points: u})
		sends.Curves = append(sends.Curves, chart.Curve{Name: s.Policy, Points: n})
		met.Marks = marks(s.Points)
	}
	urgent.Marks, sends.Marks = met.Marks, met.Marks
	return pageChart{
		File:   "requests-" + r.Deployment + "-" + scenario + ".svg",
		Title:  r.Deployment + ": requests, scenario " + scenario,
		panels: []chart.Panel{met, urgent, sends},
	}
}

// marks returns a mark at the beginning of each phase.
func marks(points []rbench.Point) []chart.Mark {
	var list []chart.Mark
	for i, p := range points {
		if i == 0 || p.Phase != points[i-1].Phase {
			list = append(list, chart.Mark{X: p.Seconds, Text: p.Phase})
		}
	}
	return list
}

// phaseChart draws the attainment of each phase, of all and of urgent requests.
func phaseChart(r rbench.Result) pageChart {
	all := phasePanel(r, priorityAll)
	all.Y = axisAttainment
	urgent := phasePanel(r, priorityUrgent)
	urgent.X, urgent.Y = "phase", axisUrgent
	return pageChart{
		File: "requests-" + r.Deployment + ".svg", Title: r.Deployment + ": requests by phase",
		panels: []chart.Panel{all, urgent},
	}
}

// phasePanel returns the bars of a priority.
func phasePanel(r rbench.Result, priority string) chart.Panel {
	p := chart.Panel{Ceiling: 1}
	var policies []string
	for _, w := range r.Rows {
		p.Groups = appendNew(p.Groups, w.Phase)
		policies = appendNew(policies, w.Policy)
	}
	for _, policy := range policies {
		b := chart.Bars{Name: policy, Values: make(plotter.Values, len(p.Groups))}
		for _, w := range r.Rows {
			if w.Policy == policy && w.Priority == priority {
				b.Values[slices.Index(p.Groups, w.Phase)] = w.Attainment
			}
		}
		p.Bars = append(p.Bars, b)
	}
	return p
}
