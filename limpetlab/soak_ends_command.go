package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/limpetlb/limpetlb/limpetlab/soak"
)

// runEnds runs soak.RunEnds once for each seed, with a directory for each, and returns errViolation if a caller took a
// response for complete that was not.
func (c *soakCommand) runEnds(ctx context.Context, config soak.Config) error {
	violations := 0
	top := config.Directory
	for i := range c.Seeds {
		config.Seed = c.Seed + uint64(i)
		config.Directory = filepath.Join(top, fmt.Sprint("ends-", config.Seed))
		if err := os.MkdirAll(config.Directory, 0o750); err != nil {
			return err
		}
		report, err := soak.RunEnds(ctx, config)
		if err != nil {
			return err
		}
		violations += len(report.Incomplete) + len(report.Violations)
		if err := printEnds(report, c.JSON); err != nil {
			return err
		}
	}
	if violations > 0 {
		return fmt.Errorf("%w: %d violations", errViolation, violations)
	}
	return nil
}

// printEnds prints a report as JSON or as one line of text for the run and one for each incomplete response.
func printEnds(r soak.EndsReport, asJSON bool) error {
	if asJSON {
		return printJSON(r)
	}
	calls, complete := 0, 0
	for kind, n := range r.Calls {
		calls, complete = calls+n, complete+r.Complete[kind]
	}
	if _, err := fmt.Printf("seed %d: faults %v; %d of %d calls complete; %d taken for complete: %v %v %v; violations %v\n",
		r.Seed, r.Faults, complete, calls, len(r.Incomplete), r.ByKind, r.ByCaller, r.ByCause, r.Violations); err != nil {
		return err
	}
	for _, call := range r.Incomplete {
		if _, err := fmt.Printf("  %s %s, %s: %s (%s) %q\n", call.ID, call.Kind, call.Caller, call.Found, call.Cause, call.Log); err != nil {
			return err
		}
	}
	return nil
}
