// Package soak runs the daemons of the users' platform as processes of their own against
// its stand-in, injects faults from outside them, and checks the promises from what callers
// and servers see.
//
// Daemons are killed, asked to leave, stopped and resumed by signals. Their connections to
// the store and to servers go through links that are cut, reset, slowed and silenced one way
// or both. The store refuses, loses answers and forgets its history, servers fail, and the
// configuration changes. Faults come in series, overlap and follow from a seed.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Config{Program: "bin/limpetp", Seed: 1, Duration: time.Minute})
//	if len(report.Broken) > 0 { ... }
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// Config of a run.
type Config struct {
	// Program is the path of limpetp.
	Program string
	// Folder takes settings and logs.
	Folder string
	Seed   uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	Daemons  int
	// Rate is the number of calls a second.
	Rate int
}

// Report is what a run saw.
type Report struct {
	Seed uint64 `json:"seed"`
	// Faults counts the faults by kind.
	Faults map[string]int `json:"faults"`
	// Storm counts the calls while faults were injected, Calm those after.
	Storm stand.Counts `json:"storm"`
	Calm  stand.Counts `json:"calm"`
	// Broken are the promises that did not hold.
	Broken []string `json:"broken"`
}

const (
	engines   = 4
	models    = 6
	perEngine = 2
	modelLoad = 200 * time.Millisecond
	// recoverIn is how long daemons may take to be ready after the last fault.
	recoverIn = 15 * time.Second
	// calmLength is how long calls are sent after it, calmServed the part of them that
	// must be served.
	calmLength = 3 * time.Second
	calmServed = 0.9
	// seriesMost is the longest pause between two faults.
	seriesMost = 900 * time.Millisecond
)

// run is one run.
type run struct {
	config  Config
	world   *stand.World
	daemons []*daemon
	stores  []*link.Link
	servers []*link.Link
	random  *rand.Rand

	mu     sync.Mutex
	faults map[string]int
	broken []string
	// under waits for the faults that are under way.
	under sync.WaitGroup
}

// Run runs the daemons under faults and returns what was seen. An error means that the run
// itself could not be made.
func Run(ctx context.Context, c Config) (report Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), faults: map[string]int{}}
	r.world, err = stand.New(ctx, stand.Config{Engines: engines, Models: models, PerEngine: perEngine, Load: modelLoad, Via: r.via})
	if err != nil {
		return report, err
	}
	defer func() { err = errors.Join(err, r.stop()) }()
	if err := r.start(ctx); err != nil {
		return report, err
	}
	fronts := r.fronts()
	storm := make(chan stand.Counts, 1)
	go func() { storm <- r.world.Play(ctx, fronts, c.Seed, c.Rate, c.Duration) }()
	r.inject(ctx)
	report = Report{Seed: c.Seed, Faults: r.faults, Storm: <-storm}
	r.heal()
	if !r.ready(ctx) {
		r.breaks("not all daemons were ready %s after the last fault", recoverIn)
	}
	report.Calm = r.world.Play(ctx, fronts, c.Seed+1<<32, c.Rate, calmLength)
	r.check(report.Storm, report.Calm)
	report.Broken = r.broken
	return report, ctx.Err()
}

// via opens the link to a server.
func (r *run) via(address string) (string, error) {
	l, err := link.Start(address)
	if err != nil {
		return "", err
	}
	r.servers = append(r.servers, l)
	return l.Address(), nil
}

// start starts the daemons, each with a link to the store of its own.
func (r *run) start(ctx context.Context) error {
	for i := range r.config.Daemons {
		l, err := link.Start(r.world.StoreAddress())
		if err != nil {
			return err
		}
		r.stores = append(r.stores, l)
		vm := fmt.Sprint("vm-", i)
		text, front, ready, err := r.world.SettingsVia(vm, l.Address())
		if err != nil {
			return err
		}
		settings := filepath.Join(r.config.Folder, vm+".toml")
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		d := &daemon{program: r.config.Program, settings: settings, log: filepath.Join(r.config.Folder, vm+".log"), front: front, ready: ready, ended: r.ended}
		if err := d.start(); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	if !r.ready(ctx) {
		return errors.New("the daemons did not become ready")
	}
	return nil
}

func (r *run) fronts() []string {
	var out []string
	for _, d := range r.daemons {
		out = append(out, d.front)
	}
	return out
}

// stop ends the processes of the run.
func (r *run) stop() error {
	var err error
	for _, d := range r.daemons {
		err = errors.Join(err, d.end())
	}
	for _, l := range slices.Concat(r.stores, r.servers) {
		l.Cut()
	}
	return err
}

// ready waits until all daemons are ready; false if they are not in time.
func (r *run) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recoverIn)
	defer cancel()
	for _, d := range r.daemons {
		for !stand.Ready(d.ready) {
			select {
			case <-ctx.Done():
				return false
			case <-time.After(readyStep):
			}
		}
	}
	return true
}

// breaks notes a promise that did not hold.
func (r *run) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// ended is told when a daemon ended by itself.
func (r *run) ended(d *daemon, err error) { r.breaks("%s ended by itself: %v", d.settings, err) }

// check checks the promises after a run.
func (r *run) check(storm, calm stand.Counts) {
	for _, c := range []stand.Counts{storm, calm} {
		if c.Wrong > 0 {
			r.breaks("%d answers of another call, or not whole", c.Wrong)
		}
		if c.Twice > 0 {
			r.breaks("%d calls ran twice that may run once", c.Twice)
		}
		if c.Ran > 0 {
			r.breaks("%d calls ran and were refused", c.Ran)
		}
	}
	if float64(calm.Served) < calmServed*float64(calm.Calls) {
		r.breaks("%d of %d calls served after the faults", calm.Served, calm.Calls)
	}
	if storm.Served == 0 {
		r.breaks("no call served during the faults")
	}
	for _, e := range r.world.Engines {
		if why := e.Crashed(); why != "" {
			r.breaks("%s crashed: %s", e.ID, why)
		}
	}
}

// Build builds limpetp in a folder and returns the path of the program.
func Build(ctx context.Context, folder string) (string, error) {
	program := filepath.Join(folder, "limpetp")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/limpetlb/limpetlb/platform/limpetp").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build limpetp: %w: %s", err, out)
	}
	return program, nil
}
