package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/soak"
)

// soakCommand runs the fault soak of the users' platform.
type soakCommand struct {
	Program  string        `help:"Path of the limpetlab program, which runs the daemons; built with the go command if empty."`
	Old      string        `help:"Commit whose build runs the daemons at first; they are replaced by the present build one after the other."`
	Seed     uint64        `help:"First seed of the workload and of the faults." default:"1"`
	Seeds    int           `help:"Number of runs, with consecutive seeds." default:"1"`
	Duration time.Duration `help:"How long faults are injected in each run." default:"20s"`
	Daemons  int           `help:"Number of daemons." default:"4"`
	Ends     bool          `help:"Break off responses of all framings at servers that are killed, reset and stopped beside daemons that are stopped and killed, instead of the other faults; with --old, all daemons are of that commit."`
	Steady   bool          `help:"Restart no daemons, so that they use their retry budget."`
	Rate     int           `help:"Calls per second." default:"60"`
	Keep     string        `help:"Directory for the settings and logs of the daemons; if empty, a temporary directory that is deleted at the end."`
	JSON     bool          `help:"Print one JSON object per seed."`
}

// Run runs the soak once for each seed and returns errViolation if an invariant was
// violated.
func (c *soakCommand) Run(ctx context.Context) (err error) {
	directory := c.Keep
	if directory == "" {
		if directory, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	}
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return err
	}
	program := c.Program
	if program == "" {
		if program, err = soak.Build(ctx, directory); err != nil {
			return err
		}
	}
	oldProgram := ""
	if c.Old != "" {
		if oldProgram, err = soak.BuildCommit(ctx, directory, c.Old); err != nil {
			return err
		}
	}
	if c.Ends {
		return c.runEnds(ctx, soak.Config{Program: program, OldProgram: oldProgram, Directory: directory, Duration: c.Duration, Daemons: c.Daemons})
	}
	violations := 0
	for i := range c.Seeds {
		report, err := soak.Run(ctx, soak.Config{
			Program: program, OldProgram: oldProgram, Directory: directory, Seed: c.Seed + uint64(i), Duration: c.Duration, Daemons: c.Daemons, KeepDaemons: c.Steady, Rate: c.Rate,
		})
		if err != nil {
			return err
		}
		violations += len(report.Violations)
		if err := c.print(report); err != nil {
			return err
		}
	}
	if violations > 0 {
		return fmt.Errorf("%w: %d violations", errViolation, violations)
	}
	return nil
}

// print prints a report as JSON or as one line of text.
func (c *soakCommand) print(r soak.Report) error {
	if c.JSON {
		return printJSON(r)
	}
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	_, err := fmt.Printf("seed %d: %d faults; served %d of %d calls during the faults and %d of %d after them; violations %v\n",
		r.Seed, faults, r.DuringFaults.Served, r.DuringFaults.Calls, r.AfterFaults.Served, r.AfterFaults.Calls, r.Violations)
	return err
}
