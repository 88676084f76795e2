// Package demo runs a deployment in one process over loopback sockets: the
// stand-ins, the daemons, callers and faults. It judges what came out by the
// stand-ins' own books and by what the callers got, never by what the daemons
// say of themselves.
//
// # Usage
//
//	s, err := demo.Run(ctx, demo.Config{
//		Deployment: deploy.Andesoft(), Seed: 1, Duration: 20 * time.Second,
//		Fault: demo.FaultMixed, Start: startNode, Progress: os.Stderr,
//	})
//	s.Broken() // the promises that did not hold; empty when all did
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

// Fault is a schedule of faults.
type Fault string

// The schedules.
const (
	FaultNone      Fault = "none"
	FaultPartition Fault = "partition"
	FaultKill      Fault = "kill"
	FaultStore     Fault = "store"
	FaultLeave     Fault = "leave"
	FaultMixed     Fault = "mixed"
	// FaultFreeze needs daemons that are fleet.Freezer.
	FaultFreeze Fault = "freeze"
)

// Config says what to run.
type Config struct {
	Deployment deploy.Deployment
	Seed       uint64
	// Duration is the time of the load.
	Duration time.Duration
	Fault    Fault
	// Speed makes the weight store faster, so that a short demo gets past
	// its first loads.
	Speed float64
	// Rate is the number of requests a second, calls of the plain service
	// included.
	Rate  float64
	Start fleet.StartFunc
	// Progress takes lines for people.
	Progress io.Writer
}

// Times of a demo.
const (
	vmListLag      = time.Second
	readyTimeout   = 60 * time.Second
	answerTimeout  = 60 * time.Second
	settleTime     = time.Second
	progressPeriod = 2 * time.Second
)

// demo is a run in progress.
type demo struct {
	config   Config
	switches *fault.Switch
	// frozen are the daemons that are stopped.
	frozen []*fleet.Member
	// stops counts how often one was stopped.
	stops int
	// failedLeaves counts daemons that left with an error.
	failedLeaves atomic.Int64
	chance       *chance
	world        *world.World
	fleet        *fleet.Fleet
	client       *caller.Client
	judge        *judge.Judge
	rand         *rand.Rand
	begun        time.Time
}

// Run runs the demo to its end. An error means that it could not run; broken
// promises are in the summary.
func Run(ctx context.Context, c Config) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.Deployment = c.Deployment.Faster(c.Speed)
	d := &demo{
		config:   c,
		switches: fault.NewSwitch(),
		chance:   newChance(c.Seed),
		client:   caller.New(),
		rand:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
		begun:    time.Now(),
	}
	defer d.client.Close()
	w, err := world.Start(ctx, world.Config{
		Deployment: c.Deployment,
		Engine: engsim.Config{
			StepBase:       4 * time.Millisecond,
			StepPerRequest: 300 * time.Microsecond,
			CacheLag:       200 * time.Millisecond,
			CacheGap:       17,
			ReportEvery:    250 * time.Millisecond,
		},
		VMLag:  vmListLag,
		Faults: fault.Chain{d.switches, d.chance},
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

// run starts the daemons, applies the document, loads and judges.
func (d *demo) run(ctx context.Context) (Summary, error) {
	if err := d.fleet.StartAll(ctx); err != nil {
		return Summary{}, err
	}
	d.say("%d daemons and %d engines run in %d data centres", len(d.fleet.Live()), len(d.world.Engines), len(d.config.Deployment.DataCentres))
	doc := d.config.Deployment.Document(1)
	if err := d.fleet.Apply(ctx, doc); err != nil {
		return Summary{}, err
	}
	d.judge = judge.New(doc)
	if err := d.awaitReachable(ctx, doc); err != nil {
		return Summary{}, err
	}
	loads, unloads := d.world.Books().Loads()
	d.say("all %d models and %d adapters answer after %d loads", d.config.Deployment.Models, d.config.Deployment.Adapters, loads)
	started := time.Now()
	d.load(ctx)
	elapsed := time.Since(started)
	d.say("load ended, judging")
	time.Sleep(settleTime)
	return d.summary(loads+unloads, elapsed), nil
}

// say prints a line of progress.
func (d *demo) say(format string, args ...any) {
	if d.config.Progress == nil {
		return
	}
	_, _ = fmt.Fprintf(d.config.Progress, "%6.1fs  %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, args...))
}
