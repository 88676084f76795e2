package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// Sizes of a run of RunEnds.
const (
	endsEngines = 8
	endsEvents  = 20
	endsPeriod  = 60 * time.Millisecond
	// finalRoute is the route of streams that no server may continue.
	finalRoute = "/say/"
)

// The names of the faults of RunEnds, which are the causes of responses that broke off too.
const (
	killedServer  = "killed server"
	resetServer   = "reset"
	stoppedServer = "stopped server"
	stoppedDaemon = "stopped daemon"
	killedDaemon  = "killed daemon"
	besideUpload  = "reset beside an upload"
	noFault       = "no fault"
	// atStoppedDaemon is added to the name of a fault of a server that met a stopped daemon.
	atStoppedDaemon = ", daemon stopped"
)

// EndsReport is the result of RunEnds.
type EndsReport struct {
	Seed   uint64         `json:"seed"`
	Faults map[string]int `json:"faults"`
	// Calls counts the calls by kind, Complete those with a whole response.
	Calls    map[string]int `json:"calls"`
	Complete map[string]int `json:"complete"`
	// Incomplete are the responses that callers took for complete although they lack events or bytes; the maps count
	// them by the kind of call, which includes the framing, by caller and by cause.
	Incomplete []IncompleteCall `json:"incomplete"`
	ByKind     map[string]int   `json:"by_kind"`
	ByCaller   map[string]int   `json:"by_caller"`
	ByCause    map[string]int   `json:"by_cause"`
	// Violations describes other violated invariants.
	Violations []string `json:"broken"`
}

// IncompleteCall is a call whose response looked complete and was not.
type IncompleteCall struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Caller string `json:"caller"`
	Cause  string `json:"cause"`
	// Found describes what arrived, Faults are those of its servers and its daemon, with times since the begin of the call
	// and the time of the last bytes, Log has the log lines of the call.
	Found  string   `json:"found"`
	Faults []string `json:"faults"`
	Log    []string `json:"log"`
}

// endsRun is a run of RunEnds in progress.
type endsRun struct {
	*run
	markMu sync.Mutex
	marks  []mark
	calls  []*endsCall
}

// RunEnds runs daemons and the links to servers as processes, kills, resets and stops the servers' processes while it stops
// and kills daemons, and reports the responses that their callers took for complete although they were not. With
// c.OldProgram, all daemons are of the old build. It reads Program, OldProgram, Directory, Seed, Duration and Daemons
// of c. An error means that the run could not be carried out.
func RunEnds(ctx context.Context, c Config) (report EndsReport, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &endsRun{run: &run{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), faults: map[string]int{}, serverLinks: map[string]*link.Link{}}}
	defer func() { err = errors.Join(err, r.stop()) }()
	r.platform, err = stand.New(ctx, stand.Config{
		Engines: endsEngines, Models: models, ModelsPerEngine: 3, PlainServers: plainServers, LoadTime: modelLoadTime,
		EventPeriod: endsPeriod, EventCount: endsEvents, MaxBodyBytes: 4 << 20, ProxyAddress: r.startStoppableLink,
	})
	if err != nil {
		return report, err
	}
	r.frameResponses()
	r.platform.Configure(stand.FinalStreamRoute("say", finalRoute))
	if err := r.start(ctx); err != nil {
		return report, err
	}
	faultCtx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	for i, inject := range []func(context.Context, *rand.Rand){r.killServers, r.resetServers, r.stopSomeServers, r.freezeDaemons, r.killDaemons} {
		random := rand.New(rand.NewPCG(c.Seed, uint64(30+i)))
		r.running.Go(func() { inject(faultCtx, random) })
	}
	r.sendEndsCalls(faultCtx, ctx)
	r.running.Wait()
	if !r.awaitReady(ctx) {
		r.recordViolation("not all daemons were ready within %s after the last fault", recoverTimeout)
	}
	return r.reportEnds()
}

// mark records a fault.
func (r *endsRun) mark(kind string, target int, length time.Duration) {
	r.count(kind)
	r.markMu.Lock()
	defer r.markMu.Unlock()
	now := time.Now()
	r.marks = append(r.marks, mark{kind: kind, target: target, at: now, to: now.Add(length)})
}

// killServer kills the process of a server and starts it again after a time.
func (r *endsRun) killServer(i int, downtime time.Duration) {
	if err := r.linkProcesses[i].restart(downtime, func() { r.mark(killedServer, i, downtime) }); err != nil {
		r.recordViolation("restart the link process of a server: %v", err)
	}
}

// resetServer resets the connections of a server.
func (r *endsRun) resetServer(i int) {
	r.mark(resetServer, i, 0)
	r.signalServer(i, syscall.SIGUSR1)
}

// killServers kills one server after the other until ctx ends. Their downtimes overlap.
func (r *endsRun) killServers(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 300*time.Millisecond, 1200*time.Millisecond)) {
		i, downtime := random.IntN(len(r.linkProcesses)), randomDuration(random, 200*time.Millisecond, 1500*time.Millisecond)
		r.running.Go(func() { r.killServer(i, downtime) })
	}
}

// resetServers resets one server after the other until ctx ends.
func (r *endsRun) resetServers(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 200*time.Millisecond, 800*time.Millisecond)) {
		r.resetServer(random.IntN(len(r.linkProcesses)))
	}
}

// stopSomeServers stops one server after the other until ctx ends.
func (r *endsRun) stopSomeServers(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 500*time.Millisecond, 3*time.Second)) {
		i, length := random.IntN(len(r.linkProcesses)), randomDuration(random, 300*time.Millisecond, 1500*time.Millisecond)
		r.mark(stoppedServer, i, length)
		r.running.Go(func() { r.stopFor(ctx, length, []int{i}) })
	}
}

// freezeDaemons stops one daemon after the other until ctx ends. Meanwhile, each server is reset with a probability of a
// half, and one is killed in a third of the cases.
func (r *endsRun) freezeDaemons(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 400*time.Millisecond, 1200*time.Millisecond)) {
		i, length := random.IntN(len(r.daemons)), randomDuration(random, 300*time.Millisecond, 1200*time.Millisecond)
		wait := randomDuration(random, 0, length)
		order := random.Perm(len(r.linkProcesses))
		resets, kills := order[:len(order)/2], random.IntN(3) == 0
		killed, downtime := order[len(order)-1], randomDuration(random, 200*time.Millisecond, 1500*time.Millisecond)
		r.running.Go(func() {
			d := r.daemons[i]
			d.faultMu.Lock()
			defer d.faultMu.Unlock()
			r.mark(stoppedDaemon, i, length)
			r.signalDaemon(d, syscall.SIGSTOP)
			time.Sleep(wait)
			for _, s := range resets {
				r.resetServer(s)
			}
			if kills {
				r.running.Go(func() { r.killServer(killed, downtime) })
			}
			time.Sleep(length - wait)
			r.signalDaemon(d, syscall.SIGCONT)
		})
	}
}

// signalDaemon sends a signal that does not end the process of a daemon.
func (r *endsRun) signalDaemon(d *daemon, s syscall.Signal) {
	if err := d.signal(s, false); err != nil {
		r.recordViolation("%s: %v", d.settings, err)
	}
}

// killDaemons kills one daemon after the other until ctx ends.
func (r *endsRun) killDaemons(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 2*time.Second, 5*time.Second)) {
		i, daemonRandom := random.IntN(len(r.daemons)), rand.New(rand.NewPCG(random.Uint64(), 4))
		r.running.Go(func() {
			r.restart(r.daemons[i], daemonRandom, func() error {
				r.mark(killedDaemon, i, 0)
				return r.daemons[i].kill()
			})
		})
	}
}

// reportEnds counts the calls by their outcomes.
func (r *endsRun) reportEnds() (EndsReport, error) {
	report := EndsReport{
		Seed: r.config.Seed, Faults: r.faults, Calls: map[string]int{}, Complete: map[string]int{}, ByKind: map[string]int{},
		ByCaller: map[string]int{}, ByCause: map[string]int{}, Violations: r.violations,
	}
	servers := map[string]map[int]bool{}
	for i, e := range r.servingEngines() {
		for _, run := range e.Runs() {
			if servers[run.ID] == nil {
				servers[run.ID] = map[int]bool{}
			}
			servers[run.ID][i] = true
		}
	}
	r.delayResets()
	for _, c := range r.calls {
		report.Calls[c.kind]++
		switch {
		case c.whole:
			report.Complete[c.kind]++
		case c.fault != "":
			cause := r.causeOf(c, servers[c.id])
			report.ByKind[c.kind]++
			report.ByCaller[c.caller.name]++
			report.ByCause[cause]++
			lines, err := logLines(r.daemons[c.daemon].log, c.id)
			if err != nil {
				return report, err
			}
			report.Incomplete = append(report.Incomplete, IncompleteCall{ID: c.id, Kind: c.kind, Caller: c.caller.name, Cause: cause, Found: c.fault, Faults: r.faultsOf(c, servers[c.id]), Log: lines})
		}
	}
	return report, nil
}

// logLines returns the lines of a log about the end of a request.
func logLines(file, id string) ([]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the log of a daemon: %w", err)
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		ends := strings.Contains(line, "request_ended") || strings.Contains(line, "response_broken")
		if ends && strings.Contains(line+" ", "="+id+" ") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines, nil
}
