package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// faultKind is a kind of fault.
type faultKind struct {
	name string
	// inject injects a fault with random choices from random, and returns when the
	// fault is over.
	inject func(r *run, random *rand.Rand)
	// restarts is whether daemons end and start again.
	restarts bool
}

// faultKinds lists the kinds of faults. The random source of a run selects them by index,
// so new kinds are appended.
var faultKinds = []faultKind{
	{"kill", (*run).kill, true},
	{"leave", (*run).leave, true},
	{"freeze", (*run).freeze, false},
	{"reload", (*run).reload, false},
	{"herd_kill", (*run).killAll, true},
	{"store_faults", (*run).storeFaults, false},
	{"store_forgets", func(r *run, _ *rand.Rand) { r.platform.Store.DropHistory() }, false},
	{"store_link", func(r *run, random *rand.Rand) { disturbLink(r.stores[random.IntN(len(r.stores))], random) }, false},
	{"server_link", func(r *run, random *rand.Rand) { disturbLink(r.servers[random.IntN(len(r.servers))], random) }, false},
	{"server_faults", (*run).serverFaults, false},
	{"configuration", (*run).changeConfiguration, false},
}

// injectFaults starts faults with short pauses until the duration is over, so that faults
// overlap, and waits until all faults have ended.
func (r *run) injectFaults(ctx context.Context) {
	end := time.Now().Add(r.config.Duration)
	breaking, stop := context.WithDeadline(ctx, end)
	defer stop()
	// The random sources are separate, so that the other faults of a seed stay the same.
	breakRandom := rand.New(rand.NewPCG(r.config.Seed, 7))
	r.running.Go(func() { r.breakResponses(breaking, breakRandom) })
	restoreRandom := rand.New(rand.NewPCG(r.config.Seed, 8))
	if !r.config.KeepDaemons {
		r.running.Go(func() { r.restoreStore(breaking, restoreRandom) })
	}
	departureRandom := rand.New(rand.NewPCG(r.config.Seed, 9))
	r.running.Go(func() { r.announceDepartures(breaking, departureRandom) })
	crashRandom := rand.New(rand.NewPCG(r.config.Seed, 10))
	r.running.Go(func() { r.crashServers(breaking, crashRandom) })
	endlessRandom := rand.New(rand.NewPCG(r.config.Seed, 12))
	r.running.Go(func() { r.answerWithoutEnd(breaking, endlessRandom) })
	pathRandom := rand.New(rand.NewPCG(r.config.Seed, 15))
	r.running.Go(func() { r.cutPaths(breaking, pathRandom) })
	limitRandom := rand.New(rand.NewPCG(r.config.Seed, 11))
	r.running.Go(func() { r.limitServers(breaking, limitRandom) })
	silenceRandom := rand.New(rand.NewPCG(r.config.Seed, 16))
	r.running.Go(func() { r.silenceServers(breaking, silenceRandom) })
	stopRandom := rand.New(rand.NewPCG(r.config.Seed, 22))
	r.running.Go(func() { r.stopServers(breaking, stopRandom) })
	seriesRandom := rand.New(rand.NewPCG(r.config.Seed, 17))
	failureRandom := rand.New(rand.NewPCG(r.config.Seed, 21))
	r.running.Go(func() { r.failCalls(breaking, failureRandom) })
	hostileRandom := rand.New(rand.NewPCG(r.config.Seed, 23))
	if r.config.OldProgram == "" {
		r.running.Go(func() { r.sendHostileClients(breaking, hostileRandom) })
	}
	upgradeRandom := rand.New(rand.NewPCG(r.config.Seed, 19))
	switch {
	case r.config.KeepDaemons:
	case r.config.OldProgram == "":
		r.running.Go(func() { r.restartInSeries(breaking, seriesRandom) })
	default:
		r.running.Go(func() { r.upgrade(breaking, upgradeRandom) })
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		kind := faultKinds[r.random.IntN(len(faultKinds))]
		// Each fault has its own random source, so that the order in which overlapping
		// faults draw numbers does not matter.
		faultRandom := rand.New(rand.NewPCG(r.random.Uint64(), 3))
		if !kind.restarts || !r.config.KeepDaemons {
			r.count(kind.name)
			r.running.Go(func() { kind.inject(r, faultRandom) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(r.random, 0, maxFaultPause)):
		}
	}
	r.running.Wait()
	if r.config.OldProgram != "" {
		r.finishUpgrade(upgradeRandom)
	}
}

// clearFaults ends all faults of the store, the servers and the links.
func (r *run) clearFaults() {
	r.platform.Store.SetFault(nil)
	for _, e := range slices.Concat(r.platform.Engines, r.platform.PlainServers) {
		e.SetFault(nil)
		e.Silence(0)
	}
	for _, l := range slices.Concat(r.stores, r.servers) {
		if err := l.ClearFaults(); err != nil {
			r.recordViolation("heal a link: %v", err)
		}
	}
}

// randomDuration returns a random duration of at least low and less than high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// pickDaemon returns a random daemon.
func (r *run) pickDaemon(random *rand.Rand) *daemon { return r.daemons[random.IntN(len(r.daemons))] }

// restart ends the process of a daemon by stop, and starts a new process after up to a
// second. If stop fails, restart records a violation and kills the process.
func (r *run) restart(d *daemon, random *rand.Rand, stop func() error) {
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	if err := stop(); err != nil {
		r.recordViolation("%s: %v", d.settings, err)
		if err := d.kill(); err != nil {
			r.recordViolation("%s: %v", d.settings, err)
		}
	}
	time.Sleep(randomDuration(random, 0, time.Second))
	if err := d.start(); err != nil {
		r.recordViolation("start %s: %v", d.settings, err)
	}
}

// kill kills the process of a daemon and starts a new one.
func (r *run) kill(random *rand.Rand) {
	d := r.pickDaemon(random)
	r.restart(d, random, d.kill)
}

// leave asks a daemon to leave and starts a new process.
func (r *run) leave(random *rand.Rand) {
	d := r.pickDaemon(random)
	r.restart(d, random, d.leave)
}

// freeze stops the process of a daemon with SIGSTOP, for a time that is shorter or longer
// than the lease term, and resumes the process.
func (r *run) freeze(random *rand.Rand) {
	d := r.pickDaemon(random)
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	if err := d.signal(syscall.SIGSTOP, false); err != nil {
		r.recordViolation("%s: %v", d.settings, err)
	}
	time.Sleep(randomDuration(random, 200*time.Millisecond, 4*time.Second))
	if err := d.signal(syscall.SIGCONT, false); err != nil {
		r.recordViolation("%s: %v", d.settings, err)
	}
}

// reload asks a daemon to read its settings again.
func (r *run) reload(random *rand.Rand) {
	d := r.pickDaemon(random)
	d.faultMu.Lock()
	defer d.faultMu.Unlock()
	if err := d.signal(syscall.SIGHUP, false); err != nil {
		r.recordViolation("reload: %v", err)
	}
}

// killAll kills the processes of all daemons at the same time and starts new ones.
func (r *run) killAll(random *rand.Rand) {
	var wait sync.WaitGroup
	for _, d := range r.daemons {
		daemonRandom := rand.New(rand.NewPCG(random.Uint64(), 4))
		wait.Go(func() { r.restart(d, daemonRandom, d.kill) })
	}
	wait.Wait()
}

// randomFaults returns a function that selects one of faults at random for a share of the
// calls, and none for the other calls.
func randomFaults(random *rand.Rand, share float64, faults ...stand.Fault) func(*http.Request) stand.Fault {
	var mu sync.Mutex
	callRandom := rand.New(rand.NewPCG(random.Uint64(), 5))
	return func(*http.Request) stand.Fault {
		mu.Lock()
		defer mu.Unlock()
		if callRandom.Float64() >= share {
			return stand.NoFault
		}
		return faults[callRandom.IntN(len(faults))]
	}
}

// storeFaults makes the store refuse, lose or reset a share of the calls for a while.
func (r *run) storeFaults(random *rand.Rand) {
	share := []float64{0.2, 0.6, 1}[random.IntN(3)]
	r.platform.Store.SetFault(randomFaults(random, share, stand.Busy, stand.Limited, stand.LostAnswer, stand.Reset))
	time.Sleep(randomDuration(random, 300*time.Millisecond, 4*time.Second))
	r.platform.Store.SetFault(nil)
}

// serverFaults makes an engine or the plain service fail a share of the calls for a while.
func (r *run) serverFaults(random *rand.Rand) {
	servers := slices.Concat(r.platform.Engines, r.platform.PlainServers)
	e := servers[random.IntN(len(servers))]
	e.SetFault(randomFaults(random, 0.1+0.4*random.Float64(), stand.Busy, stand.LostAnswer, stand.Reset))
	time.Sleep(randomDuration(random, 300*time.Millisecond, 3*time.Second))
	e.SetFault(nil)
}

// breakResponses makes one server at a time answer a share of the calls without length and
// chunks, or break off their responses, until ctx ends.
func (r *run) breakResponses(ctx context.Context, random *rand.Rand) {
	servers := slices.Concat(r.platform.Engines, r.platform.PlainServers)
	for ctx.Err() == nil {
		e := servers[random.IntN(len(servers))]
		r.mu.Lock()
		r.faults["broken_responses"]++
		r.mu.Unlock()
		e.SetResponseFault(randomFaults(random, 0.1+0.4*random.Float64(), stand.Unframed, stand.Broken))
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 300*time.Millisecond, 2*time.Second)):
		}
		e.SetResponseFault(nil)
	}
}

// crashPart is the prompt part that ends engines, crashRequests the paths of the requests that end servers. A
// server that ended is down for less than maxDowntime.
const (
	crashPart   = "bad"
	maxDowntime = 1500 * time.Millisecond
)

var crashRequests = []string{stand.SafeRoute + "bad", stand.UnsafeRoute + "bad", stand.EngineRoute + "bad"}

// crashServers makes calls with crashPart, or one request that callers repeat, end servers, from some time on
// until the end of the run. The downtime of servers changes until ctx ends.
func (r *run) crashServers(ctx context.Context, random *rand.Rand) {
	kindRandom := rand.New(rand.NewPCG(r.config.Seed, 14))
	name, crash := "crashing_prompts", func(downtime time.Duration) { r.platform.CrashOnPart(crashPart, downtime) }
	if kindRandom.IntN(2) == 0 {
		path := crashRequests[kindRandom.IntN(len(crashRequests))]
		name, crash = "crashing_requests", func(downtime time.Duration) { r.platform.CrashOnRequest(path, downtime) }
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(randomDuration(random, 0, r.config.Duration/2)):
		}
		r.mu.Lock()
		r.faults[name]++
		r.mu.Unlock()
		crash(randomDuration(random, 100*time.Millisecond, maxDowntime))
	}
}

// limitServers makes one server at a time name a limit for a while, until ctx ends.
func (r *run) limitServers(ctx context.Context, random *rand.Rand) {
	servers := slices.Concat(r.platform.Engines, r.platform.PlainServers)
	for ctx.Err() == nil {
		e := servers[random.IntN(len(servers))]
		r.mu.Lock()
		r.faults["server_limit"]++
		r.mu.Unlock()
		e.SetLimit(0.5 + 10*random.Float64())
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 300*time.Millisecond, 3*time.Second)):
		}
		e.SetLimit(0)
	}
}

// endlessShare is the share of calls that a server answers without end.
const endlessShare = 0.2

// answerWithoutEnd makes one server at a time answer some calls without end, until ctx ends.
func (r *run) answerWithoutEnd(ctx context.Context, random *rand.Rand) {
	servers := slices.Concat(r.platform.Engines, r.platform.PlainServers)
	for ctx.Err() == nil {
		e := servers[random.IntN(len(servers))]
		r.mu.Lock()
		r.faults["endless_answers"]++
		r.mu.Unlock()
		callRandom := rand.New(rand.NewPCG(random.Uint64(), 13))
		// The server calls the function for one call at a time.
		e.SetEndless(func() bool { return callRandom.Float64() < endlessShare })
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 300*time.Millisecond, 2*time.Second)):
		}
		e.SetEndless(nil)
	}
}

// Copies from which the store is restored have an age below maxCopyAge. The operator and the
// servers write again within maxRewriteDelay.
const (
	maxCopyAge      = 8 * time.Second
	maxRewriteDelay = 2 * time.Second
)

// restoreStore restores the store from copies of its data, until ctx ends.
func (r *run) restoreStore(ctx context.Context, random *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(randomDuration(random, time.Second, 6*time.Second)):
		}
		r.mu.Lock()
		r.faults["store_restored"]++
		r.mu.Unlock()
		r.platform.Store.Restore(randomDuration(random, 0, maxCopyAge), randomDuration(random, 0, maxRewriteDelay))
	}
}

// announceDepartures makes one engine at a time refuse all calls for a stated time, or announce that
// it is leaving and start again after a while, until ctx ends.
func (r *run) announceDepartures(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		e := r.platform.Engines[random.IntN(len(r.platform.Engines))]
		length := randomDuration(random, 300*time.Millisecond, 3*time.Second)
		leaves := random.IntN(2) == 0
		name := "server_backoff"
		if leaves {
			name = "server_leaving"
			e.Leave()
		} else {
			e.RefuseCalls(length)
		}
		r.mu.Lock()
		r.faults[name]++
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(length):
		}
		if leaves {
			e.Restart()
		}
	}
}

// disturbLink cuts, silences or slows a link for a while, or resets its connections.
func disturbLink(l *link.Link, random *rand.Rand) {
	duration := randomDuration(random, 100*time.Millisecond, 3*time.Second)
	switch random.IntN(6) {
	case 0:
		l.Cut()
	case 1:
		l.Hold(true, false)
	case 2:
		l.Hold(false, true)
	case 3:
		l.Hold(true, true)
	case 4:
		l.SetDelay(randomDuration(random, 5*time.Millisecond, 100*time.Millisecond))
	case 5:
		l.Reset()
		return
	}
	time.Sleep(duration)
	// Heal ends overlapping faults of the same link too, which shortens them.
	if err := l.ClearFaults(); err != nil {
		l.Cut()
	}
}

// changeConfiguration writes a new version of the configuration with up to 29 routes
// beside the usual routes.
func (r *run) changeConfiguration(random *rand.Rand) {
	var routes []map[string]any
	for i := range random.IntN(30) {
		routes = append(routes, stand.Route(fmt.Sprint("more-", i), fmt.Sprint("/more-", i, "/")))
	}
	r.platform.Configure(routes...)
}
