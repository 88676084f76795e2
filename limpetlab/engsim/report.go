package engsim

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// meter counts generated tokens and prefilled prompt tokens since the last
// snapshot.
type meter struct {
	since  time.Time
	tokens int
	prompt int
}

// reportLoop renews the load report and removes expired generations every
// Config.ReportPeriod.
func (e *Engine) reportLoop() error {
	ticker := time.NewTicker(e.config.ReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		e.mu.Lock()
		e.instance.report = e.instance.pending
		e.instance.pending = e.snapshot()
		e.removeExpired()
		e.mu.Unlock()
	}
}

// snapshot returns a report of the current load and resets the meter. e.mu is
// held.
func (e *Engine) snapshot() engine.Report {
	inst := e.instance
	now := time.Now()
	inst.sequence++
	r := engine.Report{
		VM:         e.config.VM,
		Instance:   inst.id,
		Sequence:   inst.sequence,
		MeasuredAt: now,
		MemoryMB:   e.config.MemoryMB,
		UsedMB:     inst.used(),
		Running:    len(inst.running),
		Waiting:    len(inst.waiting),
		BatchLimit: e.config.BatchLimit,
		Role:       inst.role,
		Fence:      inst.fence,
	}
	for s := range inst.resident {
		r.Slots = append(r.Slots, s)
	}
	slices.SortFunc(r.Slots, func(a, b envdoc.Slot) int { return strings.Compare(a.String(), b.String()) })
	for _, g := range slices.Concat(inst.running, inst.waiting) {
		r.WaitingTokens += g.prefillLeft
	}
	if elapsed := now.Sub(inst.meter.since).Seconds(); elapsed > 0 {
		r.TokensPerSecond = float64(inst.meter.tokens) / elapsed
		r.PromptTokensPerSecond = float64(inst.meter.prompt) / elapsed
	}
	inst.meter = meter{since: now}
	return r
}

// removeExpired removes generations that ended more than Config.Retention ago. e.mu is
// held.
func (e *Engine) removeExpired() {
	cutoff := time.Now().Add(-e.config.Retention)
	for id, g := range e.instance.generations {
		if g.hasEnded() && g.endedAt.Before(cutoff) {
			delete(e.instance.generations, id)
		}
	}
}

// Report returns the published load report, which lags behind the state of the
// engine; see Config.ReportPeriod.
func (e *Engine) Report(context.Context) (engine.Report, error) {
	if err := e.applyReadFault("report"); err != nil {
		return engine.Report{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.instance.report
	r.Slots = slices.Clone(r.Slots)
	return r, nil
}

// CacheEvents returns the cache events after a sequence number, delayed by
// Config.CacheLag.
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]engine.CacheEvent, error) {
	if err := e.applyReadFault("cache"); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance.cache.eventsAfter(after, e.instance.id), nil
}

// applyReadFault applies the fault that the hook injects into a read.
func (e *Engine) applyReadFault(step string) error {
	action := e.faultAt(step, "")
	switch action.Kind {
	case fault.Down:
		return code.Errorf(code.BackendFailed, "engine is down")
	case fault.Drop, fault.Lost, fault.Refuse:
		return code.Errorf(code.BackendLost, "no answer to the read request")
	case fault.Delay:
		time.Sleep(action.Delay)
	}
	return nil
}
