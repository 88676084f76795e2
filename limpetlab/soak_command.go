package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/soak"
)

// soakCommand runs the fault soak.
type soakCommand struct {
	Program  string        `help:"Path of limpetp; it is built if none is given."`
	Seed     uint64        `help:"Seed of load and faults." default:"1"`
	Seeds    int           `help:"How many seeds to run, from the first on." default:"1"`
	Duration time.Duration `help:"Time of faults for each seed." default:"20s"`
	Daemons  int           `help:"Number of daemons." default:"4"`
	Rate     int           `help:"Calls a second." default:"60"`
	Keep     string        `help:"Folder for settings and logs; a temporary one, that is deleted, if empty."`
	JSON     bool          `help:"Print one JSON object a seed."`
}

// Run implements the command.
func (c *soakCommand) Run(ctx context.Context) (err error) {
	folder := c.Keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return err
	}
	program := c.Program
	if program == "" {
		if program, err = soak.Build(ctx, folder); err != nil {
			return err
		}
	}
	broken := 0
	for i := range c.Seeds {
		report, err := soak.Run(ctx, soak.Config{
			Program: program, Folder: folder, Seed: c.Seed + uint64(i), Duration: c.Duration, Daemons: c.Daemons, Rate: c.Rate,
		})
		if err != nil {
			return err
		}
		broken += len(report.Broken)
		if err := c.print(report); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d times", errBroken, broken)
	}
	return nil
}

func (c *soakCommand) print(r soak.Report) error {
	if c.JSON {
		return printJSON(r)
	}
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	_, err := fmt.Printf("seed %d: %d faults; storm %d of %d served, calm %d of %d; broken %v\n",
		r.Seed, total, r.Storm.Served, r.Storm.Calls, r.Calm.Served, r.Calm.Calls, r.Broken)
	return err
}
