package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/demo"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// demoCommand runs the demo.
type demoCommand struct {
	Deployment string        `help:"Deployment to run: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
	Seed       uint64        `help:"Seed of load and faults." default:"1"`
	Duration   time.Duration `help:"Time of the load." default:"20s"`
	Fault      string        `help:"Faults: none, partition, kill, store, leave or mixed." enum:"none,partition,kill,store,leave,mixed" default:"none"`
	Rate       float64       `help:"Requests a second." default:"80"`
	Speed      float64       `help:"Factor by which the weight store is faster than the deployment's." default:"20"`
	JSON       bool          `help:"Print the summary as one JSON object."`
	Quiet      bool          `help:"Print no progress."`
	Platform   bool          `help:"Run the daemons of the users' platform against its stand-in, without faults; prints JSON."`
}

// Run implements the command.
func (c *demoCommand) Run(ctx context.Context) error {
	if c.Platform {
		return c.runPlatform(ctx)
	}
	d, err := deploy.ByName(c.Deployment)
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stderr
	if c.Quiet {
		progress = nil
	}
	s, err := demo.Run(ctx, demo.Config{
		Deployment: d,
		Seed:       c.Seed,
		Duration:   c.Duration,
		Fault:      demo.Fault(c.Fault),
		Speed:      c.Speed,
		Rate:       c.Rate,
		Start:      startNode,
		Progress:   progress,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(s)
	} else {
		_, err = fmt.Println(s.String())
	}
	if err != nil {
		return err
	}
	if broken := s.Broken(); len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, ", "))
	}
	return nil
}
