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
	// settleTime is how long a fleet runs before it is measured, idleTime how
	// long it is measured.
	settleTime = 3 * time.Second
	idleTime   = 3 * time.Second
	// leaseTerm and planPeriod are the defaults of the daemon.
	leaseTerm  = 8 * time.Second
	planPeriod = time.Second
)

// daemons measures whole idle daemons of one data centre, with the engines'
// stand-ins in the same process.
func daemons(start fleet.StartFunc) []measure {
	sizes := []int{4, 8, 16}
	last := map[int]idle{}
	return []measure{
		{"whole daemon", "processor time a second of all", "us", "daemons", sizes, sizes[2], func(ctx context.Context, n int) (float64, error) {
			i, err := runIdle(ctx, start, n)
			last[n] = i
			return i.processor, err
		}},
		{"whole daemon", "heap of all", "bytes", "daemons", sizes, sizes[2], func(_ context.Context, n int) (float64, error) {
			return last[n].heap, nil
		}},
	}
}

// idle is what idle daemons cost in all.
type idle struct {
	processor, heap float64
}

// runIdle runs daemons without callers.
func runIdle(ctx context.Context, start fleet.StartFunc, n int) (idle, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := deploy.Andesoft()
	d.DataCentres = d.DataCentres[:1]
	d.Daemons = n
	before := heap()
	w, err := world.Start(ctx, world.Config{Deployment: d})
	if err != nil {
		return idle{}, err
	}
	defer w.Stop()
	f := fleet.New(d, w, func(ctx context.Context, c conf.Config) (fleet.Daemon, error) {
		c.LeaseTerm, c.PlanPeriod = leaseTerm, planPeriod
		return start(ctx, c)
	})
	defer f.Stop()
	if err := f.StartAll(ctx); err != nil {
		return idle{}, fmt.Errorf("%d daemons: %w", n, err)
	}
	time.Sleep(settleTime)
	spent := processor()
	time.Sleep(idleTime)
	spent = processor() - spent
	i := idle{processor: float64(spent) / idleTime.Seconds() / float64(time.Microsecond), heap: heap() - before}
	return i, nil
}
