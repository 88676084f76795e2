package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/limpetlb/limpetlb/limpetlab/pbench"
	"github.com/limpetlb/limpetlb/limpetlab/rbench"
	"github.com/limpetlb/limpetlb/limpetlab/scale"
)

// benchCommand groups the benchmarks.
type benchCommand struct {
	Placement placementBench `cmd:"" help:"Compare placement with a greedy and a static policy in a simulation."`
	Requests  requestsBench  `cmd:"" help:"Compare routing and admission with baseline policies in a simulation."`
	All       allBench       `cmd:"" help:"Run the placement and requests benchmarks for both deployments."`
	Capacity  capacityBench  `cmd:"" help:"Measure the cost of each role of a daemon at several fleet sizes."`
	Report    reportBench    `cmd:"" help:"Write an HTML page that charts the placement and requests benchmarks by policy."`
}

// benchFlags are the flags shared by the simulated benchmarks.
type benchFlags struct {
	Seed  uint64 `help:"Seed of the workload." default:"1"`
	Quick bool   `help:"Simulate a shorter workload."`
	JSON  bool   `help:"Accepted for uniformity, without effect: results are always printed as one JSON object."`
}

// deployments lists the names of the deployments that the benchmarks run.
var deployments = []string{"andesoft", "ibeji"}

// placementBench compares placement policies.
type placementBench struct {
	benchFlags
	Deployment string `help:"Deployment to simulate: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
}

// Run runs the benchmark.
func (c *placementBench) Run(ctx context.Context) error {
	r, err := pbench.Run(ctx, pbench.Config{Deployment: c.Deployment, Seed: c.Seed, Quick: c.Quick})
	if err != nil {
		return err
	}
	if !c.Quick {
		addPlanBounds(&r.List)
	}
	return printResult(r, r.Violations)
}

// requestsBench compares routing and admission policies.
type requestsBench struct {
	benchFlags
	Deployment string `help:"Deployment to simulate: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
}

// Run runs the benchmark.
func (c *requestsBench) Run(ctx context.Context) error {
	r, err := rbench.Run(ctx, rbench.Config{Deployment: c.Deployment, Seed: c.Seed, Quick: c.Quick})
	if err != nil {
		return err
	}
	return printResult(r, r.Violations)
}

// capacityBench measures the cost of each role of a daemon.
type capacityBench struct {
	Runs  int  `help:"Number of runs; each figure is their median." default:"5"`
	Quick bool `help:"Measure only the sizes of messages and calls, in one run."`
	JSON  bool `help:"Accepted for uniformity, without effect: results are always printed as one JSON object."`
}

// Run runs the benchmark.
func (c *capacityBench) Run(ctx context.Context) error {
	r, err := scale.Run(ctx, scale.Config{Start: startDaemon, Runs: c.Runs, Quick: c.Quick})
	if err != nil {
		return err
	}
	return printResult(r, r.Violations)
}

// allBench runs the placement and requests benchmarks for both deployments.
type allBench struct {
	benchFlags
	Figures string `help:"File with the figures of an earlier commit; the command fails if a figure is worse, missing or new." placeholder:"FILE"`
	Write   string `help:"File to write the figures of this run to." placeholder:"FILE"`
}

// allResult holds the results of the placement and requests benchmarks, one per
// deployment.
type allResult struct {
	Placement  []pbench.Result `json:"placement"`
	Requests   []rbench.Result `json:"requests"`
	Violations []string        `json:"broken"`
}

// Run runs the benchmarks, and compares or writes their figures if asked to.
func (c *allBench) Run(ctx context.Context) error {
	results, err := runAll(ctx, c.benchFlags)
	if err != nil {
		return err
	}
	current := results.figures(c.benchFlags)
	if c.Figures != "" {
		regressions, err := compare(c.Figures, current)
		if err != nil {
			return err
		}
		results.Violations = append(results.Violations, regressions...)
	}
	if c.Write != "" {
		if err := current.write(c.Write); err != nil {
			return err
		}
	}
	return printResult(results, results.Violations)
}

// runAll runs the placement and requests benchmarks for both deployments.
func runAll(ctx context.Context, f benchFlags) (allResult, error) {
	results := allResult{Violations: []string{}}
	for _, d := range deployments {
		p, err := pbench.Run(ctx, pbench.Config{Deployment: d, Seed: f.Seed, Quick: f.Quick})
		if err != nil {
			return results, err
		}
		r, err := rbench.Run(ctx, rbench.Config{Deployment: d, Seed: f.Seed, Quick: f.Quick})
		if err != nil {
			return results, err
		}
		results.Placement = append(results.Placement, p)
		results.Requests = append(results.Requests, r)
		for _, b := range p.Violations {
			results.Violations = append(results.Violations, d+" placement: "+b)
		}
		for _, b := range r.Violations {
			results.Violations = append(results.Violations, d+" requests: "+b)
		}
	}
	return results, nil
}

// printResult prints a result as JSON and returns errViolation if a bound is broken.
func printResult(result any, broken []string) error {
	if err := printJSON(result); err != nil {
		return err
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errViolation, strings.Join(broken, "; "))
	}
	return nil
}
