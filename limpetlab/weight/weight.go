// Package weight is a stand-in for the rate-limited weight store, from which
// engines load models and adapters.
//
// A model load takes AtOnce/PerSecond seconds while at most AtOnce are under
// way, and proportionally longer beyond. An adapter load takes between
// AdapterMin and AdapterMax, by its name, while at most AdaptersInTransit are
// under way, and proportionally longer beyond.
//
// # Usage
//
//	w := weight.New(weight.Config{PerSecond: 1.4, AtOnce: 14})
//	err := w.Load(ctx, slot) // returns when the weights are there
package weight

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// Name is the stand-in's server name in its fault hook.
const Name = "weight"

// Config sets the rates.
type Config struct {
	PerSecond         float64
	AtOnce            int
	AdapterMin        time.Duration
	AdapterMax        time.Duration
	AdaptersInTransit int
	// Speed divides all times; 0 means 1.
	Speed float64
}

// Books are what the store saw.
type Books struct {
	ModelLoads      int64 `json:"model_loads"`
	AdapterLoads    int64 `json:"adapter_loads"`
	MostModels      int   `json:"most_models_at_once"`
	MostAdapters    int   `json:"most_adapters_at_once"`
	LoadsOverAtOnce int64 `json:"loads_over_at_once"`
}

// Option changes a Store.
type Option func(*Store)

// WithFaults sets the fault hook.
func WithFaults(p fault.Provider) Option {
	return func(s *Store) { s.faults = p }
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	config Config
	faults fault.Provider

	mu       sync.Mutex
	models   int
	adapters int
	books    Books
}

// New returns a weight store.
func New(c Config, opts ...Option) *Store {
	if c.Speed == 0 {
		c.Speed = 1
	}
	s := &Store{config: c}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Load waits until the weights of s are loaded or ctx ends.
func (s *Store) Load(ctx context.Context, slot envdoc.Slot) error {
	took := s.begin(slot)
	defer s.end(slot)
	a := fault.Of(s.faults, fault.Call{Server: Name, Step: "load", Key: slot.String()})
	if a.Kind == fault.Delay {
		took += a.Delay
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// begin counts a load and returns its time.
func (s *Store) begin(slot envdoc.Slot) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.Adapter != "" {
		s.adapters++
		s.books.AdapterLoads++
		s.books.MostAdapters = max(s.books.MostAdapters, s.adapters)
		return s.stretch(s.adapterTime(slot), s.adapters, s.config.AdaptersInTransit)
	}
	s.models++
	s.books.ModelLoads++
	s.books.MostModels = max(s.books.MostModels, s.models)
	if s.config.AtOnce > 0 && s.models > s.config.AtOnce {
		s.books.LoadsOverAtOnce++
	}
	return s.stretch(s.modelTime(), s.models, s.config.AtOnce)
}

// end counts the end of a load.
func (s *Store) end(slot envdoc.Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.Adapter != "" {
		s.adapters--
		return
	}
	s.models--
}

// modelTime is the time of a model load at full speed.
func (s *Store) modelTime() time.Duration {
	if s.config.PerSecond == 0 {
		return 0
	}
	return time.Duration(float64(s.config.AtOnce) / s.config.PerSecond * float64(time.Second))
}

// adapterTime is the time of an adapter load at full speed.
func (s *Store) adapterTime(slot envdoc.Slot) time.Duration {
	span := s.config.AdapterMax - s.config.AdapterMin
	if span <= 0 {
		return s.config.AdapterMin
	}
	return s.config.AdapterMin + time.Duration(xxhash.Sum64String(slot.String())%uint64(span))
}

// stretch lengthens a time in proportion when n loads exceed limit.
func (s *Store) stretch(d time.Duration, n, limit int) time.Duration {
	if limit > 0 && n > limit {
		d = d * time.Duration(n) / time.Duration(limit)
	}
	return time.Duration(float64(d) / s.config.Speed)
}

// Books returns what the store saw so far.
func (s *Store) Books() Books {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.books
}
