package load

import (
	"context"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/engsim"
	"github.com/limpetlb/limpetlb/limpetlab/fleet"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// Size and pace of the local target.
const (
	localEngines  = 4
	localSpeed    = 100
	localStep     = 200 * time.Microsecond
	localBatch    = 256
	localReports  = 250 * time.Millisecond
	readyTimeout  = 30 * time.Second
	readyPause    = 50 * time.Millisecond
	probeMaxToken = 1
)

// Local is one daemon with fast engines in this process.
type Local struct {
	world *world.World
	fleet *fleet.Fleet
	model envdoc.Model
}

// StartLocal starts one daemon with fast engines and waits until its model
// answers on all of them.
func StartLocal(ctx context.Context, start fleet.StartFunc) (*Local, error) {
	d := deploy.Andesoft().Faster(localSpeed)
	d.DataCentres = d.DataCentres[:1]
	d.Daemons, d.Engines, d.ServiceVMs, d.Models, d.Adapters = 1, localEngines, 1, 1, 0
	w, err := world.Start(ctx, world.Config{
		Deployment: d,
		Engine:     engsim.Config{StepBase: localStep, BatchLimit: localBatch, ReportEvery: localReports},
	})
	if err != nil {
		return nil, err
	}
	l := &Local{world: w, fleet: fleet.New(d, w, start)}
	if err := l.fleet.StartAll(ctx); err != nil {
		l.Stop()
		return nil, err
	}
	doc := d.Document(1)
	l.model = doc.Models[0]
	doc.Models[0].MinReplicas = localEngines
	if err := l.fleet.Apply(ctx, doc); err != nil {
		l.Stop()
		return nil, err
	}
	if err := l.await(ctx); err != nil {
		l.Stop()
		return nil, err
	}
	return l, nil
}

// await waits until all engines hold the model and the daemon answers.
func (l *Local) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := caller.New()
	defer client.Close()
	for ctx.Err() == nil {
		a := client.Generate(ctx, l.Addresses()[0], caller.Generation{
			Key: l.Key(), Model: l.model.Name, Prompt: "ready?", MaxTokens: probeMaxToken,
		})
		if a.Whole && l.loaded() {
			time.Sleep(2 * localReports)
			return nil
		}
		time.Sleep(readyPause)
	}
	return code.Errorf(code.NoEngine, "the model does not answer after %v", readyTimeout)
}

// loaded tells whether each engine holds the model.
func (l *Local) loaded() bool {
	for _, e := range l.world.Engines {
		if len(e.Books().Resident) == 0 {
			return false
		}
	}
	return true
}

// Addresses returns the callers' interface.
func (l *Local) Addresses() []string {
	return []string{l.fleet.Live()[0].Daemon.CallerAddr()}
}

// Key returns the key of a declared caller.
func (l *Local) Key() string { return deploy.Key(deploy.CallerUrgent) }

// Model returns the name of the model.
func (l *Local) Model() string { return l.model.Name }

// Slot returns what the engines hold.
func (l *Local) Slot() envdoc.Slot {
	return envdoc.Slot{Model: l.model.Name, Version: l.model.Version}
}

// Direct returns the address of an engine.
func (l *Local) Direct() string { return l.world.Engines[0].VM.Address }

// Stop ends all.
func (l *Local) Stop() {
	l.fleet.Stop()
	l.world.Stop()
}
