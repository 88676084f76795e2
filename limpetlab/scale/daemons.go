package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

const (
	// warmupTime is how long a fleet runs before the measurement, and measureTime
	// the length of the measurement.
	warmupTime  = 3 * time.Second
	measureTime = 3 * time.Second
	// leaseTerm and planPeriod equal the daemon's defaults.
	leaseTerm  = 8 * time.Second
	planPeriod = time.Second
)

// daemonMeasures measures complete idle daemons of one data centre. The simulated
// engines run in the same process.
func daemonMeasures(start fleet.StartFunc) []measure {
	sizes := []int{4, 8, 16}
	results := map[int]idleCost{}
	return []measure{
		{"whole daemon", "processor time a second of all", "us", "daemons", sizes, sizes[2], func(ctx context.Context, n int) (float64, error) {
			cost, err := measureIdle(ctx, start, n)
			results[n] = cost
			return cost.cpuTime, err
		}},
		{"whole daemon", "heap of all", "bytes", "daemons", sizes, sizes[2], func(_ context.Context, n int) (float64, error) {
			return results[n].heap, nil
		}},
	}
}

// idleCost holds the processor time a second, in microseconds, and the heap bytes
// of all daemons of an idle fleet.
type idleCost struct {
	cpuTime, heap float64
}

// measureIdle measures n daemons that receive no requests.
func measureIdle(ctx context.Context, start fleet.StartFunc, n int) (idleCost, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := deploy.Andesoft()
	d.DataCentres = d.DataCentres[:1]
	d.Daemons = n
	heapBefore := liveHeapBytes()
	w, err := world.Start(ctx, world.Config{Deployment: d})
	if err != nil {
		return idleCost{}, err
	}
	defer w.Stop()
	f := fleet.New(d, w, func(ctx context.Context, c conf.Config) (fleet.Daemon, error) {
		c.LeaseTerm, c.PlanPeriod = leaseTerm, planPeriod
		return start(ctx, c)
	})
	defer f.Stop()
	if err := f.StartAll(ctx); err != nil {
		return idleCost{}, fmt.Errorf("start %d daemons: %w", n, err)
	}
	time.Sleep(warmupTime)
	used := processCPUTime()
	time.Sleep(measureTime)
	used = processCPUTime() - used
	cost := idleCost{cpuTime: float64(used) / measureTime.Seconds() / float64(time.Microsecond), heap: liveHeapBytes() - heapBefore}
	return cost, nil
}
