package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/link"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// startRun starts daemons as processes, with a stand-in of their platform.
func startRun(t *testing.T, daemons, engines int) *run {
	t.Helper()
	return startRunWithGrace(t, daemons, engines, 0)
}

// startRunWithGrace starts daemons with a grace period in seconds; 0 means that of the stand-in.
func startRunWithGrace(t *testing.T, daemons, engines, grace int) *run {
	t.Helper()
	return startRunWith(t, daemons, stand.Config{Engines: engines, GraceSeconds: grace})
}

// startRunWith starts daemons with a stand-in of some settings.
func startRunWith(t *testing.T, daemons int, c stand.Config) *run {
	t.Helper()
	program, err := Build(t.Context(), t.TempDir())
	require.NoError(t, err)
	r := &run{
		config: Config{Program: program, Directory: t.TempDir(), Seed: 1, Daemons: daemons}, random: rand.New(rand.NewPCG(1, 2)),
		faults: map[string]int{}, serverLinks: map[string]*link.Link{}, grace: time.Duration(c.GraceSeconds) * time.Second,
	}
	c.Models, c.ModelsPerEngine, c.PlainServers, c.LoadTime, c.ProxyAddress = models, 3, plainServers, modelLoadTime, r.startStoppableLink
	r.platform, err = stand.New(t.Context(), c)
	require.NoError(t, err)
	require.NoError(t, r.start(t.Context()))
	t.Cleanup(func() { require.NoError(t, r.stop()) })
	return r
}

// TestRetriesOfRestartedDaemonsStayWithinBudget guards against daemons that begin with an empty count of retries.
func TestRetriesOfRestartedDaemonsStayWithinBudget(t *testing.T) {
	t.Parallel()
	r := startRun(t, 4, 6)
	for i, e := range r.platform.Engines {
		e.SetFault(randomFaults(rand.New(rand.NewPCG(1, uint64(i))), 0.6, stand.Failure))
	}
	const calm, gap, restarts = 24 * time.Second, 2500 * time.Millisecond, 4
	restartsEnd := make(chan struct{})
	go func() {
		defer close(restartsEnd)
		time.Sleep(calm)
		for range restarts {
			var running sync.WaitGroup
			for i, d := range r.daemons {
				running.Go(func() { r.restart(d, rand.New(rand.NewPCG(2, uint64(i))), d.kill) })
			}
			running.Wait()
			time.Sleep(gap)
		}
	}()
	counts := r.platform.SendCalls(t.Context(), r.callerAddresses(), 1, 180, calm+restarts*gap)
	<-restartsEnd
	require.Positive(t, counts.Served)
	use := r.platform.RetryUse(stand.EngineName)
	t.Log(use)
	require.Positive(t, use.Retries)
	require.LessOrEqual(t, use.Excess(), 0.0, "%s", use)
}

// TestRetriesOfCallsThatStoppedServersReadLateStayWithinBudget guards against calls that count as read by a server that
// is stopped, which reads them when it goes on.
func TestRetriesOfCallsThatStoppedServersReadLateStayWithinBudget(t *testing.T) {
	t.Parallel()
	const (
		engines, stopped = 6, 3
		calm, stop       = 16 * time.Second, 18 * time.Second
		// failing is how long after the stop the other engines begin to fail.
		failing, rest = 4 * time.Second, 4 * time.Second
	)
	r := startRun(t, 4, engines)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.running.Go(func() {
		sleep(ctx, calm)
		r.stopFor(ctx, stop, []int{0, 1, 2}[:stopped])
	})
	r.running.Go(func() {
		sleep(ctx, calm+failing)
		for i, e := range r.platform.Engines {
			e.SetFault(randomFaults(rand.New(rand.NewPCG(1, uint64(i))), 0.6, stand.Failure))
		}
	})
	counts := r.platform.SendCalls(t.Context(), r.callerAddresses(), 1, 180, calm+stop+rest)
	cancel()
	r.running.Wait()
	use := r.platform.RetryUse(stand.EngineName)
	t.Log(use, counts)
	require.Positive(t, counts.Served)
	require.Positive(t, use.Retries)
	require.LessOrEqual(t, use.Excess(), 0.0, "%s", use)
}
