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

// demoCommand runs a deployment under load and faults in this process.
type demoCommand struct {
	Deployment string        `help:"Deployment to run: andesoft or ibeji." enum:"andesoft,ibeji" default:"andesoft"`
	Seed       uint64        `help:"Seed of the workload and of the faults." default:"1"`
	Duration   time.Duration `help:"How long requests are sent." default:"20s"`
	Fault      string        `help:"Schedule of faults: none, partition, kill, store, leave or mixed." enum:"none,partition,kill,store,leave,mixed" default:"none"`
	Rate       float64       `help:"Requests per second." default:"80"`
	Speed      float64       `help:"Factor by which the weight store is faster than that of the deployment." default:"20"`
	JSON       bool          `help:"Print the summary as one JSON object."`
	Quiet      bool          `help:"Do not print progress to standard error."`
	Platform   bool          `help:"Instead run the daemons of the users' platform against the stand-in of that platform, without faults, and print JSON. Uses only --seed, --rate and --duration."`
}

// Run runs the demo and returns errViolation if an invariant was violated.
func (c *demoCommand) Run(ctx context.Context) error {
	if c.Platform {
		return c.runPlatform(ctx)
	}
	deployment, err := deploy.ByName(c.Deployment)
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stderr
	if c.Quiet {
		progress = nil
	}
	summary, err := demo.Run(ctx, demo.Config{
		Deployment:       deployment,
		Seed:             c.Seed,
		Duration:         c.Duration,
		Fault:            demo.FaultSchedule(c.Fault),
		WeightStoreSpeed: c.Speed,
		Rate:             c.Rate,
		Start:            startDaemon,
		Progress:         progress,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(summary)
	} else {
		_, err = fmt.Println(summary.String())
	}
	if err != nil {
		return err
	}
	if violations := summary.Violations(); len(violations) > 0 {
		return fmt.Errorf("%w: %s", errViolation, strings.Join(violations, ", "))
	}
	return nil
}
