package engsim

import (
	"context"
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// Fleet routes calls to in-process engines by address, without a network.
type Fleet struct {
	mu      sync.RWMutex
	engines map[string]*Engine
}

var (
	_ engine.Orderer   = (*Fleet)(nil)
	_ engine.Generator = (*Fleet)(nil)
	_ engine.Reporter  = (*Fleet)(nil)
)

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{engines: make(map[string]*Engine)}
}

// Add registers an engine at address.
func (f *Fleet) Add(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = e
}

// engineAt returns the engine at address.
func (f *Fleet) engineAt(address string) (*Engine, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if e, ok := f.engines[address]; ok {
		return e, nil
	}
	return nil, code.Errorf(code.BackendFailed, "no engine at %s", address)
}

// Order implements engine.Orderer.
func (f *Fleet) Order(ctx context.Context, address string, o engine.Order) (engine.OrderAnswer, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return engine.OrderAnswer{}, err
	}
	return e.Order(ctx, o)
}

// Generate implements engine.Generator.
func (f *Fleet) Generate(ctx context.Context, address string, r engine.Request) (engine.Frames, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return nil, err
	}
	return e.Generate(ctx, r)
}

// Resume implements engine.Generator.
func (f *Fleet) Resume(ctx context.Context, address, attempt string, offset int) (engine.Frames, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return nil, err
	}
	return e.Resume(ctx, attempt, offset)
}

// Cancel implements engine.Generator.
func (f *Fleet) Cancel(ctx context.Context, address, attempt string) error {
	e, err := f.engineAt(address)
	if err != nil {
		return err
	}
	return e.Cancel(ctx, attempt)
}

// Report implements engine.Reporter.
func (f *Fleet) Report(ctx context.Context, address string) (engine.Report, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return engine.Report{}, err
	}
	return e.Report(ctx)
}

// CacheEvents implements engine.Reporter.
func (f *Fleet) CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return nil, err
	}
	return e.CacheEvents(ctx, after)
}
