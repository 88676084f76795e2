package engsim

import (
	"context"
	"sync"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// LocalClient routes calls to in-process engines by address, without a network.
type LocalClient struct {
	mu      sync.RWMutex
	engines map[string]*Engine
}

var (
	_ engine.OrderSender = (*LocalClient)(nil)
	_ engine.Generator   = (*LocalClient)(nil)
	_ engine.Reporter    = (*LocalClient)(nil)
)

// NewLocalClient returns a client without engines.
func NewLocalClient() *LocalClient {
	return &LocalClient{engines: make(map[string]*Engine)}
}

// Add registers an engine at address.
func (f *LocalClient) Add(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = e
}

// engineAt returns the engine at address.
func (f *LocalClient) engineAt(address string) (*Engine, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if e, ok := f.engines[address]; ok {
		return e, nil
	}
	return nil, code.Errorf(code.BackendFailed, "no engine at %s", address)
}

// Order implements engine.OrderSender.
func (f *LocalClient) Order(ctx context.Context, address string, o engine.Order) (engine.OrderResult, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return engine.OrderResult{}, err
	}
	return e.Order(ctx, o)
}

// Generate implements engine.Generator.
func (f *LocalClient) Generate(ctx context.Context, address string, r engine.Request) (engine.Frames, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return nil, err
	}
	return e.Generate(ctx, r)
}

// Resume implements engine.Generator.
func (f *LocalClient) Resume(ctx context.Context, address, attempt string, offset int) (engine.Frames, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return nil, err
	}
	return e.Resume(ctx, attempt, offset)
}

// Cancel implements engine.Generator.
func (f *LocalClient) Cancel(ctx context.Context, address, attempt string) error {
	e, err := f.engineAt(address)
	if err != nil {
		return err
	}
	return e.Cancel(ctx, attempt)
}

// Report implements engine.Reporter.
func (f *LocalClient) Report(ctx context.Context, address string) (engine.Report, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return engine.Report{}, err
	}
	return e.Report(ctx)
}

// CacheEvents implements engine.Reporter.
func (f *LocalClient) CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	e, err := f.engineAt(address)
	if err != nil {
		return nil, err
	}
	return e.CacheEvents(ctx, after)
}
