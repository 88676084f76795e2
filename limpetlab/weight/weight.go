// Package weight simulates the rate-limited weight store, from which engines load
// models and adapters.
//
// A model load takes FullSpeedModels/ModelsPerSecond seconds while at most FullSpeedModels
// loads are in progress, and proportionally longer with more loads. An adapter load takes
// between AdapterMin and AdapterMax, depending on a hash of the slot's name, while at most
// FullSpeedAdapters loads are in progress, and proportionally longer with more loads.
//
// # Usage
//
//	w := weight.New(weight.Config{ModelsPerSecond: 1.4, FullSpeedModels: 14})
//	err := w.Load(ctx, slot) // returns when the weights are loaded
package weight

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// ServerName is the server name of the weight store in the calls of its fault hook.
const ServerName = "weight"

// Config sets the rates and durations of loads.
type Config struct {
	// ModelsPerSecond is the rate of model loads while FullSpeedModels loads are in
	// progress. If ModelsPerSecond is 0, model loads take no time.
	ModelsPerSecond float64
	// FullSpeedModels is the number of concurrent model loads, and FullSpeedAdapters the
	// number of concurrent adapter loads, up to which loads run at full speed; with more
	// loads each takes longer. 0 means that all loads run at full speed.
	FullSpeedModels   int
	AdapterMin        time.Duration
	AdapterMax        time.Duration
	FullSpeedAdapters int
	// Speed divides the durations of loads; 0 means 1.
	Speed float64
}

// Stats holds the numbers of loads, and the largest numbers of concurrent loads.
// LoadsOverLimit counts model loads that started while FullSpeedModels or more others were in
// progress.
type Stats struct {
	ModelLoads     int64 `json:"model_loads"`
	AdapterLoads   int64 `json:"adapter_loads"`
	PeakModels     int   `json:"most_models_at_once"`
	PeakAdapters   int   `json:"most_adapters_at_once"`
	LoadsOverLimit int64 `json:"loads_over_at_once"`
}

// Option configures a Store.
type Option func(*Store)

// WithFaults sets the hook that injects faults into loads.
func WithFaults(p fault.Provider) Option {
	return func(s *Store) { s.faults = p }
}

// Store is a simulated weight store. It is safe for concurrent use.
type Store struct {
	config Config
	faults fault.Provider

	mu sync.Mutex
	// models and adapters are the numbers of loads in progress.
	models   int
	adapters int
	stats    Stats
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

// Load waits until the weights of a slot are loaded or ctx ends.
func (s *Store) Load(ctx context.Context, slot envdoc.Slot) error {
	duration := s.startLoad(slot)
	defer s.endLoad(slot)
	action := fault.Of(s.faults, fault.Call{Server: ServerName, Step: "load", Key: slot.String()})
	if action.Kind == fault.Delay {
		duration += action.Delay
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// startLoad counts a load and returns the load's duration.
func (s *Store) startLoad(slot envdoc.Slot) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.Adapter != "" {
		s.adapters++
		s.stats.AdapterLoads++
		s.stats.PeakAdapters = max(s.stats.PeakAdapters, s.adapters)
		return s.scaleDuration(s.adapterTime(slot), s.adapters, s.config.FullSpeedAdapters)
	}
	s.models++
	s.stats.ModelLoads++
	s.stats.PeakModels = max(s.stats.PeakModels, s.models)
	if s.config.FullSpeedModels > 0 && s.models > s.config.FullSpeedModels {
		s.stats.LoadsOverLimit++
	}
	return s.scaleDuration(s.modelTime(), s.models, s.config.FullSpeedModels)
}

// endLoad counts the end of a load.
func (s *Store) endLoad(slot envdoc.Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.Adapter != "" {
		s.adapters--
		return
	}
	s.models--
}

// modelTime returns the duration of a model load without congestion.
func (s *Store) modelTime() time.Duration {
	if s.config.ModelsPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(s.config.FullSpeedModels) / s.config.ModelsPerSecond * float64(time.Second))
}

// adapterTime returns the duration of an adapter load without congestion.
func (s *Store) adapterTime(slot envdoc.Slot) time.Duration {
	span := s.config.AdapterMax - s.config.AdapterMin
	if span <= 0 {
		return s.config.AdapterMin
	}
	return s.config.AdapterMin + time.Duration(xxhash.Sum64String(slot.String())%uint64(span))
}

// scaleDuration extends the duration d of a load in proportion if n concurrent loads
// exceed limit, and divides it by Speed.
func (s *Store) scaleDuration(d time.Duration, n, limit int) time.Duration {
	if limit > 0 && n > limit {
		d = d * time.Duration(n) / time.Duration(limit)
	}
	return time.Duration(float64(d) / s.config.Speed)
}

// Stats returns the current counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
