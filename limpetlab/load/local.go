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

// Sizes and times of the local deployment.
const (
	localEngines      = 4
	localSpeed        = 100
	localStepTime     = 200 * time.Microsecond
	localBatchLimit   = 256
	localReportPeriod = 250 * time.Millisecond
	readyTimeout      = 30 * time.Second
	readyPollPeriod   = 50 * time.Millisecond
	probeMaxTokens    = 1
)

// Local is a daemon with fast stand-in engines in this process.
type Local struct {
	world *world.Environment
	fleet *fleet.Fleet
	model envdoc.Model
}

// StartLocal starts a daemon with fast stand-in engines and waits until all engines
// hold the only model and the daemon answers a request for the model.
func StartLocal(ctx context.Context, start fleet.StartFunc) (*Local, error) {
	d := deploy.Andesoft().WithFasterStore(localSpeed)
	d.DataCentres = d.DataCentres[:1]
	d.Daemons, d.Engines, d.ServiceVMs, d.Models, d.Adapters = 1, localEngines, 1, 1, 0
	w, err := world.Start(ctx, world.Config{
		Deployment: d,
		Engine:     engsim.Config{StepBase: localStepTime, BatchLimit: localBatchLimit, ReportPeriod: localReportPeriod},
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
	if err := l.awaitReady(ctx); err != nil {
		l.Stop()
		return nil, err
	}
	return l, nil
}

// awaitReady waits until all engines hold the model and the daemon answers, and for two
// report periods after that. An error has code NoEngine.
func (l *Local) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := caller.New()
	defer client.Close()
	for ctx.Err() == nil {
		a := client.Generate(ctx, l.Addresses()[0], caller.Generation{
			Key: l.Key(), Model: l.model.Name, Prompt: "ready?", MaxTokens: probeMaxTokens,
		})
		if a.Complete && l.allLoaded() {
			time.Sleep(2 * localReportPeriod)
			return nil
		}
		time.Sleep(readyPollPeriod)
	}
	return code.Errorf(code.NoEngine, "model not ready after %v", readyTimeout)
}

// allLoaded reports whether each engine holds the model.
func (l *Local) allLoaded() bool {
	for _, e := range l.world.Engines {
		if len(e.Stats().Resident) == 0 {
			return false
		}
	}
	return true
}

// Addresses returns the address of the daemon's callers' interface.
func (l *Local) Addresses() []string {
	return []string{l.fleet.Live()[0].Daemon.CallerAddr()}
}

// Key returns the key of a declared caller.
func (l *Local) Key() string { return deploy.CallerKey(deploy.CallerUrgent) }

// Model returns the name of the model.
func (l *Local) Model() string { return l.model.Name }

// EngineSlot returns the slot of the model on the engines.
func (l *Local) EngineSlot() envdoc.Slot {
	return envdoc.Slot{Model: l.model.Name, Version: l.model.Version}
}

// EngineAddress returns the address of one of the engines.
func (l *Local) EngineAddress() string { return l.world.Engines[0].VM.Address }

// Stop stops the daemon and the stand-ins.
func (l *Local) Stop() {
	l.fleet.Stop()
	l.world.Stop()
}
