package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// checkRetries records the services whose servers got more retries than the budget of all daemons allows, and returns
// the window of each service in which most of the budget was used.
func (r *run) checkRetries() []stand.RetryUse {
	var uses []stand.RetryUse
	for _, service := range []string{stand.EngineName, stand.PlainName} {
		u := r.platform.RetryUse(service)
		r.checkRetryUse(u)
		uses = append(uses, u)
	}
	return uses
}

// checkRetryUse records if the budget of a service was exceeded.
func (r *run) checkRetryUse(u stand.RetryUse) {
	if u.Excess() > 0 {
		r.recordViolation("retry budget: %s", u)
	}
}

// maxSilence is how long sound servers are silent at the most.
const maxSilence = 2500 * time.Millisecond

// silenceServers makes all servers of a kind, or some, silent for a moment while the configuration changes, until ctx
// ends.
func (r *run) silenceServers(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 500*time.Millisecond, 4*time.Second)) {
		servers := r.platform.Engines
		if random.IntN(4) == 0 {
			servers = r.platform.PlainServers
		}
		share := []float64{0.6, 1}[random.IntN(2)]
		length := randomDuration(random, 500*time.Millisecond, maxSilence)
		r.count("silence")
		for _, e := range servers {
			if random.Float64() < share {
				e.Silence(length)
			}
		}
		if random.IntN(2) == 0 {
			r.changeConfiguration(random)
		}
	}
}

// failCalls makes all engines answer a part of their calls with a failure for a while, until ctx ends.
func (r *run) failCalls(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, 500*time.Millisecond, 6*time.Second)) {
		r.count("failures")
		share := 0.2 + 0.6*random.Float64()
		for _, e := range slices.Concat(r.platform.Engines, r.platform.PlainServers) {
			e.SetFault(randomFaults(random, share, stand.Failure))
		}
		sleep(ctx, randomDuration(random, 500*time.Millisecond, 4*time.Second))
		for _, e := range slices.Concat(r.platform.Engines, r.platform.PlainServers) {
			e.SetFault(nil)
		}
	}
}

// restartInSeries kills daemons one after the other, or asks them to leave, so that restarts overlap, until ctx ends.
func (r *run) restartInSeries(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, time.Second, 8*time.Second)) {
		r.count("series")
		gap := randomDuration(random, 0, 500*time.Millisecond)
		for _, i := range random.Perm(len(r.daemons)) {
			d, daemonRandom, kills := r.daemons[i], rand.New(rand.NewPCG(random.Uint64(), 18)), random.IntN(2) == 0
			r.running.Go(func() {
				stop := d.leave
				if kills {
					stop = d.kill
				}
				r.restart(d, daemonRandom, stop)
			})
			if !sleep(ctx, gap) {
				return
			}
		}
	}
}

// count counts a fault.
func (r *run) count(fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fault]++
}

// sleep waits and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
