package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the charts.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	barWidth    = 7 * vg.Length(1)
)

// reportBench writes a page of charts.
type reportBench struct {
	benchFlags
	Directory string `help:"Directory to write the page to." default:"bench-report"`
}

// bar is a figure of a policy in a group.
type bar struct {
	policy string
	group  string
	value  float64
}

// Run implements the command.
func (c *reportBench) Run(ctx context.Context) error {
	all, err := runAll(ctx, c.benchFlags)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	page := "<!doctype html><meta charset=\"utf-8\"><title>limpetlb benches</title>\n<h1>Benches by policy</h1>\n"
	charts := all.charts()
	for _, name := range slices.Sorted(maps.Keys(charts)) {
		file := name + ".svg"
		if err := draw(filepath.Join(c.Directory, file), name, charts[name]); err != nil {
			return err
		}
		page += fmt.Sprintf("<p><img src=%q alt=%q></p>\n", file, name)
	}
	index := filepath.Join(c.Directory, "index.html")
	if err := os.WriteFile(index, []byte(page), 0o644); err != nil {
		return err
	}
	fmt.Println(index)
	return nil
}

// charts returns the bars of each chart by its name.
func (a allResult) charts() map[string][]bar {
	charts := make(map[string][]bar)
	for _, p := range a.Placement {
		for _, r := range p.Rows {
			charts["placement-attainment"] = append(charts["placement-attainment"], bar{r.Policy, p.Deployment, r.AttainmentPerAccelerator})
			charts["placement-moves"] = append(charts["placement-moves"], bar{r.Policy, p.Deployment, float64(r.Moves)})
		}
	}
	for _, q := range a.Requests {
		name := "requests-attainment-" + q.Deployment
		for _, r := range q.Rows {
			charts[name] = append(charts[name], bar{r.Policy, r.Phase + " " + r.Priority, r.Attainment})
		}
	}
	return charts
}

// draw writes a chart with a group of bars for each group and one for each
// policy in it.
func draw(file, title string, bars []bar) error {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	var groups, policies []string
	for _, b := range bars {
		groups = appendNew(groups, b.group)
		policies = appendNew(policies, b.policy)
	}
	for i, policy := range policies {
		values := make(plotter.Values, len(groups))
		for _, b := range bars {
			if b.policy == policy {
				values[index(groups, b.group)] = b.value
			}
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(2*i-len(policies)+1) / 2
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(groups...)
	return p.Save(chartWidth, chartHeight, file)
}

// appendNew appends a name that is not in the list yet.
func appendNew(list []string, name string) []string {
	if index(list, name) >= 0 {
		return list
	}
	return append(list, name)
}

// index returns the place of a name in the list, -1 for none.
func index(list []string, name string) int {
	for i, n := range list {
		if n == name {
			return i
		}
	}
	return -1
}
