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

// meter counts tokens since the last report.
type meter struct {
	since  time.Time
	tokens int
	prompt int
}

// reportDuty renews the load report and forgets old generations.
func (e *Engine) reportDuty() error {
	ticker := time.NewTicker(e.config.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		e.mu.Lock()
		e.life.report = e.life.pending
		e.life.pending = e.snapshot()
		e.forget()
		e.mu.Unlock()
	}
}

// snapshot measures the load. e.mu is held.
func (e *Engine) snapshot() engine.Report {
	l := e.life
	now := time.Now()
	l.sequence++
	r := engine.Report{
		VM:         e.config.VM,
		Instance:   l.id,
		Sequence:   l.sequence,
		At:         now,
		MemoryMB:   e.config.MemoryMB,
		UsedMB:     l.used(),
		Running:    len(l.running),
		Waiting:    len(l.waiting),
		BatchLimit: e.config.BatchLimit,
		Role:       l.role,
		Fence:      l.fence,
	}
	for s := range l.resident {
		r.Slots = append(r.Slots, s)
	}
	slices.SortFunc(r.Slots, func(a, b envdoc.Slot) int { return strings.Compare(a.String(), b.String()) })
	for _, g := range slices.Concat(l.running, l.waiting) {
		r.WaitingTokens += g.prefill
	}
	if span := now.Sub(l.meter.since).Seconds(); span > 0 {
		r.TokensPerSecond = float64(l.meter.tokens) / span
		r.PromptTokensPerSecond = float64(l.meter.prompt) / span
	}
	l.meter = meter{since: now}
	return r
}

// forget drops generations that ended long ago. e.mu is held.
func (e *Engine) forget() {
	until := time.Now().Add(-e.config.Keep)
	for id, g := range e.life.generations {
		if g.over() && g.ended.Before(until) {
			delete(e.life.generations, id)
		}
	}
}

// Report returns the load report, which lags.
func (e *Engine) Report(context.Context) (engine.Report, error) {
	if err := e.readFault("report"); err != nil {
		return engine.Report{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.life.report
	r.Slots = slices.Clone(r.Slots)
	return r, nil
}

// CacheEvents returns the cache events after a sequence number.
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]engine.CacheEvent, error) {
	if err := e.readFault("cache"); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.cache.after(after, e.life.id), nil
}

// readFault applies the fault of a read.
func (e *Engine) readFault(step string) error {
	a := e.fault(step, "")
	switch a.Kind {
	case fault.Down:
		return code.Errorf(code.BackendFailed, "the engine is down")
	case fault.Drop, fault.Lost, fault.Refuse:
		return code.Errorf(code.BackendLost, "no answer")
	case fault.Delay:
		time.Sleep(a.Delay)
	}
	return nil
}
