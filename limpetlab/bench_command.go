package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/limpetlb/limpetlb/limpetlab/pbench"
	"github.com/limpetlb/limpetlb/limpetlab/rbench"
	"github.com/limpetlb/limpetlb/limpetlab/scale"
)

// benchCommand holds the benches.
type benchCommand struct {
	Placement placementBench `cmd:"" help:"Measure placement against greedy and static placement."`
	Requests  requestsBench  `cmd:"" help:"Measure routing and admission against other policies."`
	All       allBench       `cmd:"" help:"Run all benches for both deployments."`
	Capacity  capacityBench  `cmd:"" help:"Measure what each role costs at several sizes."`
	Report    reportBench    `cmd:"" help:"Write a page with the figures of all benches by policy."`
}

// benchFlags are shared by the benches.
type benchFlags struct {
	Seed  uint64 `help:"Seed of the load." default:"1"`
	Quick bool   `help:"Measure a shorter time."`
	JSON  bool   `help:"Print one JSON object (always done; accepted for uniformity)."`
}

// deployments are those that the benches know.
var deployments = []string{"andesoft", "ibeji"}

// placementBench measures placement.
type placementBench struct {
	benchFlags
	Deployment string `help:"Deployment: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
}

// Run implements the command.
func (c *placementBench) Run(ctx context.Context) error {
	r, err := pbench.Run(ctx, pbench.Config{Deployment: c.Deployment, Seed: c.Seed, Quick: c.Quick})
	if err != nil {
		return err
	}
	if !c.Quick {
		boundPlans(&r.List)
	}
	return conclude(r, r.Broken)
}

// requestsBench measures routing and admission.
type requestsBench struct {
	benchFlags
	Deployment string `help:"Deployment: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
}

// Run implements the command.
func (c *requestsBench) Run(ctx context.Context) error {
	r, err := rbench.Run(ctx, rbench.Config{Deployment: c.Deployment, Seed: c.Seed, Quick: c.Quick})
	if err != nil {
		return err
	}
	return conclude(r, r.Broken)
}

// capacityBench measures what each role costs.
type capacityBench struct {
	Runs  int  `help:"Runs of which the median is taken." default:"5"`
	Quick bool `help:"Measure only the bytes of messages and calls, once."`
	JSON  bool `help:"Print one JSON object (always done; accepted for uniformity)."`
}

// Run implements the command.
func (c *capacityBench) Run(ctx context.Context) error {
	r, err := scale.Run(ctx, scale.Config{Start: startNode, Runs: c.Runs, Quick: c.Quick})
	if err != nil {
		return err
	}
	return conclude(r, r.Broken)
}

// allBench runs all benches.
type allBench struct {
	benchFlags
	Figures string `help:"File with the figures of an earlier commit to compare with." placeholder:"FILE"`
	Write   string `help:"File to write the figures to." placeholder:"FILE"`
}

// allResult is the outcome of all benches.
type allResult struct {
	Placement []pbench.Result `json:"placement"`
	Requests  []rbench.Result `json:"requests"`
	Broken    []string        `json:"broken"`
}

// Run implements the command.
func (c *allBench) Run(ctx context.Context) error {
	all, err := runAll(ctx, c.benchFlags)
	if err != nil {
		return err
	}
	now := all.figures(c.benchFlags)
	if c.Figures != "" {
		worse, err := compare(c.Figures, now)
		if err != nil {
			return err
		}
		all.Broken = append(all.Broken, worse...)
	}
	if c.Write != "" {
		if err := now.write(c.Write); err != nil {
			return err
		}
	}
	return conclude(all, all.Broken)
}

// runAll runs all benches for both deployments.
func runAll(ctx context.Context, f benchFlags) (allResult, error) {
	all := allResult{Broken: []string{}}
	for _, d := range deployments {
		p, err := pbench.Run(ctx, pbench.Config{Deployment: d, Seed: f.Seed, Quick: f.Quick})
		if err != nil {
			return all, err
		}
		r, err := rbench.Run(ctx, rbench.Config{Deployment: d, Seed: f.Seed, Quick: f.Quick})
		if err != nil {
			return all, err
		}
		all.Placement = append(all.Placement, p)
		all.Requests = append(all.Requests, r)
		for _, b := range p.Broken {
			all.Broken = append(all.Broken, d+" placement: "+b)
		}
		for _, b := range r.Broken {
			all.Broken = append(all.Broken, d+" requests: "+b)
		}
	}
	return all, nil
}

// conclude prints a result, and fails when a bound is broken.
func conclude(result any, broken []string) error {
	if err := printJSON(result); err != nil {
		return err
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}
