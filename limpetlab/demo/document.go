package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
)

// Parameters of the requests that probe models.
const (
	probePause  = 100 * time.Millisecond
	probeTokens = 1
)

// awaitModels waits until every declared model and adapter answers a probe. Each
// name is probed through one of the daemons, in turn. It returns an error when a
// name does not answer within readyTimeout.
func (d *demo) awaitModels(ctx context.Context, doc *envdoc.Document) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var names []string
	for _, m := range doc.Models {
		names = append(names, m.Name)
		for _, a := range m.Adapters {
			names = append(names, a.Name)
		}
	}
	missing := make(chan string, len(names))
	var probes sync.WaitGroup
	for i, name := range names {
		live := d.fleet.Live()
		m := live[i%len(live)]
		probes.Go(func() {
			if !d.probeModel(ctx, m, name) {
				missing <- name
			}
		})
	}
	probes.Wait()
	close(missing)
	var unreachable []string
	for name := range missing {
		unreachable = append(unreachable, name)
	}
	if len(unreachable) > 0 {
		return fmt.Errorf("%d of %d models and adapters do not answer within %v, for example %s",
			len(unreachable), len(names), readyTimeout, unreachable[0])
	}
	return nil
}

// probeModel requests a generation of probeTokens tokens until it succeeds or ctx
// ends, and reports whether it succeeded.
func (d *demo) probeModel(ctx context.Context, m *fleet.Member, model string) bool {
	for ctx.Err() == nil {
		a := d.client.Generate(ctx, m.Daemon.CallerAddr(), caller.Generation{
			Key: deploy.CallerKey(deploy.CallerUrgent), Model: model, Prompt: "ready?", MaxTokens: probeTokens,
		})
		if a.Complete {
			return true
		}
		time.Sleep(probePause)
	}
	return false
}
