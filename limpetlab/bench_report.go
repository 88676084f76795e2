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

// reportBench writes a page of charts.
type reportBench struct {
	benchFlags
	Directory string `help:"Directory to write the page to." default:"bench-report"`
}

// reportPage is the template of the page.
//
//go:embed bench_report.html
var reportPage string

// pageData is what the page shows.
type pageData struct {
	allResult
	// Command is the command that makes the page again.
	Command string
	Bounds  []pageBound
	Charts  []pageChart
}

// pageBound is a bound of a bench.
type pageBound struct {
	Deployment, Bench string
	bound.Bound
}

// pageChart is a chart of the page.
type pageChart struct {
	File, Title string
	panels      []chart.Panel
}

// Run implements the command.
func (c *reportBench) Run(ctx context.Context) error {
	all, err := runAll(ctx, c.benchFlags)
	if err != nil {
		return err
	}
	return c.report(all)
}

// report writes the charts and the page, and prints the name of the page.
func (c *reportBench) report(all allResult) error {
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	data := pageData{allResult: all, Command: c.command(), Bounds: all.bounds(), Charts: all.charts()}
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

// command returns the command line of the report.
func (c *reportBench) command() string {
	line := fmt.Sprintf("go run ./limpetlab bench report --seed %d --directory %s", c.Seed, c.Directory)
	if c.Quick {
		line += " --quick"
	}
	return line
}

// write writes the page to a file.
func (d pageData) write(file string) error {
	page, err := template.New("report").Parse(reportPage)
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

// bounds returns the bounds of all benches.
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

// appendNew appends a name that is not in the list yet.
func appendNew(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}
