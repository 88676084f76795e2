// Package demo runs a deployment in one process over loopback sockets: the
// stand-ins, the daemons, callers and fault injection. It checks invariants
// against the stand-ins' own counters and the answers that callers received,
// never against what the daemons report about themselves.
//
// # Usage
//
//	s, err := demo.Run(ctx, demo.Config{
//		Deployment: deploy.Andesoft(), Seed: 1, Duration: 20 * time.Second,
//		Fault: demo.FaultMixed, Start: startNode, Progress: os.Stderr,
//	})
//	s.Violations() // the violated invariants; empty when all held
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
	"github.com/limpetlb/limpetlb/limpetlab/judge"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// FaultSchedule names a schedule of injected faults.
type FaultSchedule string

// The fault schedules.
const (
	FaultNone      FaultSchedule = "none"
	FaultPartition FaultSchedule = "partition"
	FaultKill      FaultSchedule = "kill"
	FaultStore     FaultSchedule = "store"
	FaultLeave     FaultSchedule = "leave"
	FaultMixed     FaultSchedule = "mixed"
	// FaultFreeze requires daemons that implement fleet.Freezer.
	FaultFreeze FaultSchedule = "freeze"
)

// Config configures a demo.
type Config struct {
	Deployment deploy.Deployment
	Seed       uint64
	// Duration is how long requests are sent.
	Duration time.Duration
	Fault    FaultSchedule
	// WeightStoreSpeed is the factor by which the weight store is faster than the
	// deployment's, so that the first loads end within a short demo.
	WeightStoreSpeed float64
	// Rate is the number of requests per second, including calls of the plain
	// service.
	Rate float64
	// Start starts a daemon.
	Start fleet.StartFunc
	// Progress receives human-readable progress lines; nil discards them.
	Progress io.Writer
}

// Delays, timeouts and periods of a demo.
const (
	vmListLag     = time.Second
	readyTimeout  = 60 * time.Second
	answerTimeout = 60 * time.Second
	// settleTime is the time between the last answer and the check.
	settleTime     = time.Second
	progressPeriod = 2 * time.Second
)

// demo is the state of a run.
type demo struct {
	config Config
	// switches holds the faults that are set per server.
	switches *fault.Switch
	// frozen are the daemons that are suspended.
	frozen []*fleet.Member
	// freezes counts how often a daemon was suspended.
	freezes int
	// failedLeaves counts daemons whose Leave returned an error.
	failedLeaves atomic.Int64
	// randomFaults holds the faults that occur at random.
	randomFaults *randomFaults
	world        *world.Environment
	fleet        *fleet.Fleet
	client       *caller.Client
	checker      *judge.Checker
	rand         *rand.Rand
	startedAt    time.Time
}

// Run runs a demo. It returns an error when the demo could not run; violated
// invariants are reported in the summary.
func Run(ctx context.Context, c Config) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.Deployment = c.Deployment.WithFasterStore(c.WeightStoreSpeed)
	d := &demo{
		config:       c,
		switches:     fault.NewSwitch(),
		randomFaults: newRandomFaults(c.Seed),
		client:       caller.New(),
		rand:         rand.New(rand.NewPCG(c.Seed, c.Seed)),
		startedAt:    time.Now(),
	}
	defer d.client.Close()
	w, err := world.Start(ctx, world.Config{
		Deployment: c.Deployment,
		Engine: engsim.Config{
			StepBase:       4 * time.Millisecond,
			StepPerRequest: 300 * time.Microsecond,
			CacheLag:       200 * time.Millisecond,
			CacheGap:       17,
			ReportPeriod:   250 * time.Millisecond,
		},
		VMLag:  vmListLag,
		Faults: fault.Chain{d.switches, d.randomFaults},
	})
	if err != nil {
		return Summary{}, err
	}
	defer w.Stop()
	d.world = w
	d.fleet = fleet.New(c.Deployment, w, c.Start)
	defer d.fleet.Stop()
	return d.run(ctx)
}

// run starts the daemons, applies the document, sends the load and returns the
// summary.
func (d *demo) run(ctx context.Context) (Summary, error) {
	if err := d.fleet.StartAll(ctx); err != nil {
		return Summary{}, err
	}
	d.logProgress("%d daemons and %d engines run in %d data centres", len(d.fleet.Live()), len(d.world.Engines), len(d.config.Deployment.DataCentres))
	doc := d.config.Deployment.Document(1)
	if err := d.fleet.Apply(ctx, doc); err != nil {
		return Summary{}, err
	}
	d.checker = judge.New(doc)
	if err := d.awaitModels(ctx, doc); err != nil {
		return Summary{}, err
	}
	loads, unloads := d.world.Stats().LoadCounts()
	d.logProgress("all %d models and %d adapters answer requests after %d loads", d.config.Deployment.Models, d.config.Deployment.Adapters, loads)
	started := time.Now()
	d.runLoad(ctx)
	elapsed := time.Since(started)
	d.logProgress("load ended, checking the invariants")
	time.Sleep(settleTime)
	return d.summary(loads+unloads, elapsed), nil
}

// logProgress writes a progress line, with the time since the start of the demo.
func (d *demo) logProgress(format string, args ...any) {
	if d.config.Progress == nil {
		return
	}
	_, _ = fmt.Fprintf(d.config.Progress, "%6.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
