package main

import (
	"context"
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"github.com/limpetlb/limpetlb/limpetlab/bound"
	"github.com/limpetlb/limpetlb/limpetlab/chart"
)

// reportBench runs the benchmarks and writes an HTML page with their charts.
type reportBench struct {
	benchFlags
	Directory string `help:"Directory to write the page and its charts to." default:"bench-report"`
}

// reportTemplate is the HTML template of the page.
//
//go:embed bench_report.html
var reportTemplate string

// pageData holds the values that the template refers to.
type pageData struct {
	allResult
	// Command is the command line that reproduces the page.
	Command string
	Bounds  []pageBound
	Charts  []pageChart
}

// pageBound is a bound with its deployment and benchmark.
type pageBound struct {
	Deployment, Bench string
	bound.Bound
}

// pageChart is a chart of the page and the name of its image file.
type pageChart struct {
	File, Title string
	panels      []chart.Panel
}

// Run runs the benchmarks and writes the page.
func (c *reportBench) Run(ctx context.Context) error {
	results, err := runAll(ctx, c.benchFlags)
	if err != nil {
		return err
	}
	return c.report(results)
}

// report writes the charts and the page, and prints the path of the page.
func (c *reportBench) report(results allResult) error {
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	data := pageData{allResult: results, Command: c.command(), Bounds: results.bounds(), Charts: results.charts()}
	for _, ch := range data.Charts {
		if err := chart.Draw(filepath.Join(c.Directory, ch.File), ch.Title, ch.panels); err != nil {
			return err
		}
	}
	index := filepath.Join(c.Directory, "index.html")
	if err := data.write(index); err != nil {
		return err
	}
	fmt.Println(index)
	return nil
}

// command returns the command line that reproduces the report.
func (c *reportBench) command() string {
	line := fmt.Sprintf("go run ./limpetlab bench report --seed %d --directory %s", c.Seed, c.Directory)
	if c.Quick {
		line += " --quick"
	}
	return line
}

// write renders the page to a file.
func (d pageData) write(file string) error {
	page, err := template.New("report").Parse(reportTemplate)
	if err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := page.Execute(f, d); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// bounds returns the bounds of both benchmarks, by deployment.
func (a allResult) bounds() []pageBound {
	var list []pageBound
	for i, d := range deployments {
		for _, b := range a.Placement[i].Bounds {
			list = append(list, pageBound{Deployment: d, Bench: "placement", Bound: b})
		}
		for _, b := range a.Requests[i].Bounds {
			list = append(list, pageBound{Deployment: d, Bench: "requests", Bound: b})
		}
	}
	return list
}

// appendUnique appends name to the list unless the list contains name.
func appendUnique(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}
