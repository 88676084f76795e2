// Package soak runs the daemons of the users' platform as separate processes against the
// stand-in of that platform, injects faults from outside the processes, and checks
// invariants from what callers and servers observe.
//
// Signals kill daemons, ask daemons to leave or to reload their settings, and stop and resume
// daemons. The connections of daemons to the store and to servers go through links that are
// cut, reset, slowed, or silenced in one or both directions. Daemons lose their paths to servers, each
// for itself. Clients that don't behave hold memory and connections of daemons. The store refuses calls, loses
// answers and drops its history, servers fail, and the configuration changes. Faults overlap,
// and a seed determines their sequence.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Config{Program: "bin/limpetlab", Seed: 1, Duration: time.Minute})
//	if len(report.Violations) > 0 { ... }
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
	"strings"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// Config holds the settings of a run.
type Config struct {
	// Program is the path of limpetlab, which runs the daemons.
	Program string
	// OldProgram is the path of an older build of limpetlab, which runs the daemons at first and is replaced by Program
	// daemon by daemon; empty for none.
	OldProgram string
	// Directory is the directory for the settings and logs of the daemons.
	Directory string
	// Seed determines the faults and the calls.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	Daemons  int
	// KeepDaemons leaves out the faults that restart daemons or restore the store, so that they use their retry budget: a
	// daemon that has just started retries nothing, and one whose list of daemons was lost uses little of the slack.
	KeepDaemons bool
	// Rate is the number of calls per second.
	Rate int
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Faults counts the faults by kind.
	Faults map[string]int `json:"faults"`
	// DuringFaults counts the calls during the injection of faults, AfterFaults the calls
	// after the recovery.
	DuringFaults stand.Counts `json:"storm"`
	AfterFaults  stand.Counts `json:"calm"`
	// Ends is how often servers ended under the calls that end servers, LateCrashes the number of
	// these calls that reached servers after the recovery.
	Ends        int `json:"ends"`
	LateCrashes int `json:"late_crashes"`
	// Streams counts the streams that callers take up again when they break.
	Streams stand.StreamCounts `json:"streams"`
	// Retries is the use of the retry budget of each service, in the window in which it was used the most.
	Retries []stand.RetryUse `json:"retries"`
	// PeakMemory is the largest resident memory of the daemons' last processes, in bytes.
	PeakMemory int64 `json:"peak_memory"`
	// Violations describes the violated invariants; it is empty if all invariants held.
	Violations []string `json:"broken"`
}

// Sizes of the stand-in, and limits of a run.
const (
	engines   = 4
	models    = 6
	perEngine = 2
	// plainServers is the number of servers of the plain service.
	plainServers = 3
	// streamRate is the number of streams per second whose callers take them up again.
	streamRate = 10
	// modelLoadTime is how long an engine takes to load a model.
	modelLoadTime = 200 * time.Millisecond
	// recoverTimeout is how long daemons may take to be ready after the last fault.
	recoverTimeout = 15 * time.Second
	// calmDuration is how long calls are sent after the recovery, and minCalmServed is
	// the share of these calls that must be served.
	calmDuration  = 3 * time.Second
	minCalmServed = 0.9
	// maxMemory is the memory in bytes that a daemon may use.
	maxMemory = 128 << 20
	// settlingDuration is how long calls are sent after the recovery until the daemons must have
	// learned which calls end engines, after maxEnds engines have ended. Then maxLateCrashes of
	// these calls may reach engines. Meanwhile an engine and the plain server have the limit
	// settlingLimit, in requests a second.
	settlingDuration = 7 * time.Second
	settlingLimit    = 2.7
	// limitEndDuration is how long calls are sent until the daemons must have learned that the
	// limits have ended: a server with a limit gets a call each 0.4 s, whose answer shows it.
	limitEndDuration = time.Second
	maxEnds          = 5
	maxLateCrashes   = 3
	// maxFaultPause bounds the pause between the starts of two faults.
	maxFaultPause = 900 * time.Millisecond
)

// softwareVersions are the versions of the engines' software, in turn.
var softwareVersions = []string{"v1", "v2"}

// run is a run in progress.
type run struct {
	config   Config
	platform *stand.Platform
	daemons  []*daemon
	// stores holds the link of each daemon to the store, servers the links to the servers.
	stores  []*link.Link
	servers []*link.Link
	// serverLinks holds the links to the servers by the addresses of the servers.
	serverLinks map[string]*link.Link
	// grace is the grace period in the settings of the daemons; 0 means that of the stand-in.
	grace time.Duration
	// linkProcesses are the processes through which daemons reach the servers.
	linkProcesses []*linkProcess
	random        *rand.Rand

	mu         sync.Mutex
	faults     map[string]int
	violations []string
	peakMemory int64
	// running counts the faults that have not ended.
	running sync.WaitGroup
}

// Run runs the daemons under faults and reports the calls and the violated invariants. An
// error means that the run could not be carried out.
func Run(ctx context.Context, c Config) (report Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), faults: map[string]int{}, serverLinks: map[string]*link.Link{}}
	r.platform, err = stand.New(ctx, stand.Config{Engines: engines, Models: models, ModelsPerEngine: perEngine, PlainServers: plainServers, Software: softwareVersions, LoadTime: modelLoadTime, ProxyAddress: r.startServerLink, ServerDown: r.cutServerLink})
	if err != nil {
		return report, err
	}
	defer func() { err = errors.Join(err, r.stop()) }()
	if err := r.start(ctx); err != nil {
		return report, err
	}
	callerAddresses := r.callerAddresses()
	streams := make(chan stand.StreamCounts, 1)
	go func() {
		streams <- r.platform.SendStreams(ctx, func() []string { return callerAddresses }, c.Seed, streamRate, c.Duration+settlingDuration)
	}()
	storm := make(chan stand.Counts, 1)
	go func() { storm <- r.platform.SendCalls(ctx, callerAddresses, c.Seed, c.Rate, c.Duration) }()
	r.injectFaults(ctx)
	report = Report{Seed: c.Seed, Faults: r.faults, DuringFaults: <-storm}
	r.clearFaults()
	if !r.awaitReady(ctx) {
		r.recordViolation("not all daemons were ready within %s after the last fault", recoverTimeout)
	}
	limited := []*stand.Engine{r.platform.Engines[r.random.IntN(engines)], r.platform.Plain}
	for _, e := range limited {
		e.SetLimit(settlingLimit)
	}
	settling := r.platform.SendCalls(ctx, callerAddresses, c.Seed+1<<33, c.Rate, settlingDuration)
	for _, e := range limited {
		r.checkLimit(e.ID, e.LimitUse())
		e.SetLimit(0)
	}
	ending := r.platform.SendCalls(ctx, callerAddresses, c.Seed+1<<34, c.Rate, limitEndDuration)
	calmFrom := time.Now()
	report.AfterFaults = r.platform.SendCalls(ctx, callerAddresses, c.Seed+1<<32, c.Rate, calmDuration)
	report.Ends, report.LateCrashes = len(r.platform.Ends()), r.platform.ArrivalsSince(calmFrom)
	r.check(report.DuringFaults, []stand.Counts{settling, ending}, report.AfterFaults)
	r.checkEnds(report.Ends, report.LateCrashes)
	report.Streams = <-streams
	r.checkStreams(report.Streams)
	report.Retries = r.checkRetries()
	for _, d := range r.daemons {
		r.checkMemory(d)
	}
	report.Violations, report.PeakMemory = r.violations, r.peakMemory
	return report, ctx.Err()
}

// startServerLink starts a link to a server, with a second one in a process of its own behind it, and returns the
// address of the first.
func (r *run) startServerLink(address string) (string, error) {
	target, err := r.startStoppableLink(address)
	if err != nil {
		return "", err
	}
	l, err := link.Start(target)
	if err != nil {
		return "", err
	}
	r.servers = append(r.servers, l)
	r.serverLinks[address] = l
	return l.Address(), nil
}

// cutServerLink makes the link to a server refuse connections while the server is down. What the process of the server
// has not read is lost with it.
func (r *run) cutServerLink(address string, down bool) {
	l := r.serverLinks[address]
	var err error
	if down {
		l.Cut()
		for _, p := range r.linkProcesses {
			if p.target == address {
				err = errors.Join(p.end(), p.start())
			}
		}
	} else {
		err = l.ClearFaults()
	}
	if err != nil {
		r.recordViolation("restore the link to %s: %v", address, err)
	}
}

// start starts the daemons, each with its own link to the store, and waits until all
// daemons are ready.
func (r *run) start(ctx context.Context) error {
	for i := range r.config.Daemons {
		l, err := link.Start(r.platform.StoreAddress())
		if err != nil {
			return err
		}
		r.stores = append(r.stores, l)
		vm := fmt.Sprint("vm-", i)
		text, callerAddress, readyAddress, err := r.platform.SettingsWithStore(vm, l.Address())
		if err != nil {
			return err
		}
		settings := filepath.Join(r.config.Directory, vm+".toml")
		if err := os.WriteFile(settings, []byte(limitMemory(text)), 0o600); err != nil {
			return err
		}
		program := r.config.Program
		if r.config.OldProgram != "" {
			program = r.config.OldProgram
		}
		d := &daemon{program: program, settings: settings, log: filepath.Join(r.config.Directory, vm+".log"), paths: filepath.Join(r.config.Directory, vm+".paths"), callerAddress: callerAddress, readyAddress: readyAddress, onUnexpectedExit: r.onUnexpectedExit, grace: r.grace}
		if err := d.start(); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	if !r.awaitReady(ctx) {
		return errors.New("the daemons did not become ready")
	}
	return nil
}

// callerAddresses returns the addresses at which the daemons accept calls.
func (r *run) callerAddresses() []string {
	var addresses []string
	for _, d := range r.daemons {
		addresses = append(addresses, d.callerAddress)
	}
	return addresses
}

// stop kills the daemons and cuts all links.
func (r *run) stop() error {
	var err error
	for _, d := range r.daemons {
		err = errors.Join(err, d.end())
	}
	for _, l := range slices.Concat(r.stores, r.servers) {
		l.Cut()
	}
	for _, p := range r.linkProcesses {
		err = errors.Join(err, p.end())
	}
	return err
}

// awaitReady waits until all daemons are ready, and reports whether they were ready
// within recoverTimeout.
func (r *run) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	for _, d := range r.daemons {
		for !stand.Ready(d.readyAddress) {
			select {
			case <-ctx.Done():
				return false
			case <-time.After(readyPollPeriod):
			}
		}
	}
	return true
}

// recordViolation records that an invariant was violated.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// onUnexpectedExit records that the process of a daemon ended without being asked to.
func (r *run) onUnexpectedExit(d *daemon, err error) {
	r.recordViolation("%s: unexpected exit: %v", d.settings, err)
}

// checkLimit records if a server got more requests than its limit allows.
func (r *run) checkLimit(id string, u stand.LimitUse) {
	if u.Excess > 0 {
		r.recordViolation("%s got %.1f requests more than its limit allows", id, u.Excess)
	}
}

// checkMemory records if the process of a daemon has used more memory than a daemon may.
func (r *run) checkMemory(d *daemon) {
	peak, err := d.peakMemory()
	if err != nil {
		r.recordViolation("%s: memory: %v", d.settings, err)
		return
	}
	r.peakMemory = max(r.peakMemory, peak)
	if peak > maxMemory {
		r.recordViolation("%s used %d MB", d.settings, peak>>20)
	}
}

// checkEnds records if calls that end engines were not refused after the recovery, although the daemons
// have had settlingDuration, with calls, to find out which do. What they knew before may be lost: all of them may
// have been killed while the store refused writes.
func (r *run) checkEnds(ends, late int) {
	if allowed := max(maxEnds-(ends-late), 0) + maxLateCrashes; late > allowed {
		r.recordViolation("%d calls that end engines reached engines after the faults, %d are allowed; %d ended in all", late, allowed, ends)
	}
}

// checkStreams records if streams had events from engines of several software versions.
func (r *run) checkStreams(c stand.StreamCounts) {
	if c.Mixed > 0 {
		r.recordViolation("%d of %d streams had events from several software versions", c.Mixed, c.Begun)
	}
}

// check records the invariants that the calls of a run violate: each answer belongs to its
// call and is complete, calls that may run once run at most once, refused calls don't run,
// daemons serve calls during the faults and recover after them, and no engine crashes.
func (r *run) check(storm stand.Counts, settling []stand.Counts, calm stand.Counts) {
	for _, c := range append([]stand.Counts{storm, calm}, settling...) {
		if c.WrongResponse > 0 {
			r.recordViolation("%d answers that were incomplete or belonged to another call: %s", c.WrongResponse, strings.Join(c.WrongCalls, ", "))
		}
		if c.RanTwice > 0 {
			r.recordViolation("%d calls that may run once ran more than once", c.RanTwice)
		}
		if c.RefusedButRan > 0 {
			r.recordViolation("%d refused calls ran", c.RefusedButRan)
		}
	}
	if sound := calm.Calls - calm.Crashing; float64(calm.Served) < minCalmServed*float64(sound) {
		r.recordViolation("only %d of %d calls were served after the faults", calm.Served, sound)
	}
	if storm.Served == 0 {
		r.recordViolation("no call was served during the faults")
	}
	for _, e := range r.platform.Engines {
		if reason := e.Crashed(); reason != "" {
			r.recordViolation("%s crashed: %s", e.ID, reason)
		}
	}
}

// Build builds limpetlab in a directory and returns the path of the program.
func Build(ctx context.Context, directory string) (string, error) {
	program := filepath.Join(directory, "limpetlab")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/limpetlb/limpetlb/limpetlab").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build limpetlab: %w: %s", err, out)
	}
	return program, nil
}
