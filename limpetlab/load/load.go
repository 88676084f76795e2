// Package load drives the callers' interface of running daemons, bounded in
// count and time, and reports percentiles.
//
// With a direct engine it measures the way through a daemon against a call of
// the engine itself, side by side in one run: each worker sends the same
// request both ways in turn.
//
// # Usage
//
//	r, err := load.Run(ctx, load.Config{Addresses: addresses, Key: key, Model: "m1", Count: 10000})
//	r.Through.P50
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
)

// Bounds of the latencies noted, in microseconds.
const (
	leastMicros = 1
	mostMicros  = 300_000_000
	digits      = 3
)

// Config says what to send.
type Config struct {
	// Addresses are the callers' interfaces of daemons, used in turn.
	Addresses []string
	Key       string
	Model     string
	// Count and Duration bound the run; the first that is reached ends it.
	Count    int
	Duration time.Duration
	// Workers send one request after the other.
	Workers   int
	MaxTokens int
	Stream    bool
	// Direct is the address of an engine that holds Slot; empty for none.
	Direct string
	Slot   envdoc.Slot
}

// Times are percentiles in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Result is the outcome of a run.
type Result struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	Lost     int64 `json:"lost"`
	// LostError is the error of the first lost request.
	LostError         string         `json:"lost_error,omitempty"`
	Codes             map[string]int `json:"codes"`
	Seconds           float64        `json:"seconds"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	Through           Times          `json:"through"`
	// Direct and AddedP50 are there when an engine was called directly.
	Direct   *Times   `json:"direct,omitempty"`
	AddedP50 *float64 `json:"added_p50_ms,omitempty"`
}

// run is a run in progress.
type run struct {
	config Config
	client *caller.Client
	engine *engine.Client
	left   atomic.Int64

	mu      sync.Mutex
	result  Result
	through *hdrhistogram.Histogram
	direct  *hdrhistogram.Histogram
}

// Run sends the requests and waits for their answers.
func Run(ctx context.Context, c Config) (Result, error) {
	if len(c.Addresses) == 0 || c.Count <= 0 || c.Workers <= 0 || c.Duration <= 0 {
		return Result{}, code.Errorf(code.BadParameter, "addresses, count, workers and duration are needed")
	}
	if c.Key == "" || c.Model == "" {
		return Result{}, code.Errorf(code.BadParameter, "the key of a caller and a model are needed")
	}
	r := &run{
		config:  c,
		client:  caller.New(),
		engine:  engine.NewClient(),
		result:  Result{Codes: make(map[string]int)},
		through: hdrhistogram.New(leastMicros, mostMicros, digits),
		direct:  hdrhistogram.New(leastMicros, mostMicros, digits),
	}
	defer r.client.Close()
	defer r.engine.Close()
	r.left.Store(int64(c.Count))
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	start := time.Now()
	var workers sync.WaitGroup
	for w := range c.Workers {
		workers.Go(func() { r.work(ctx, w) })
	}
	workers.Wait()
	r.result.Seconds = time.Since(start).Seconds()
	return r.outcome(), nil
}

// work sends requests until the count or the time is used up.
func (r *run) work(ctx context.Context, worker int) {
	for i := worker; r.left.Add(-1) >= 0 && ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("request %s", store.NewID())
		if r.config.Direct != "" && i%2 == 0 {
			r.callDirect(ctx, prompt)
		}
		r.callThrough(ctx, r.config.Addresses[i%len(r.config.Addresses)], prompt)
		if r.config.Direct != "" && i%2 == 1 {
			r.callDirect(ctx, prompt)
		}
	}
}

// callThrough sends a request through a daemon.
func (r *run) callThrough(ctx context.Context, address, prompt string) {
	a := r.client.Generate(ctx, address, caller.Generation{
		Key: r.config.Key, Model: r.config.Model, Prompt: prompt,
		Stream: r.config.Stream, MaxTokens: r.config.MaxTokens,
	})
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	switch {
	case a.Whole:
		r.result.Answered++
		note(r.through, a.Total)
	case a.Code != 0:
		r.result.Codes[a.Code.Info().Name]++
	default:
		r.lost(a)
	}
}

// lost counts a request that got neither an answer nor a code. The caller holds
// the lock.
func (r *run) lost(a caller.Answer) {
	r.result.Lost++
	if r.result.LostError == "" && a.Err != nil {
		r.result.LostError = a.Err.Error()
	}
}

// callDirect sends a request to the engine.
func (r *run) callDirect(ctx context.Context, prompt string) {
	start := time.Now()
	err := r.generate(ctx, prompt)
	took := time.Since(start)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.result.Codes["direct_"+code.Of(err).Info().Name]++
		return
	}
	note(r.direct, took)
}

// generate reads an answer of the engine to its end.
func (r *run) generate(ctx context.Context, prompt string) error {
	frames, err := r.engine.Generate(ctx, r.config.Direct, engine.Request{
		Attempt: store.NewID(), Slot: r.config.Slot, Prompt: prompt, MaxTokens: r.config.MaxTokens,
	})
	if err != nil {
		return err
	}
	defer func() { _ = frames.Close() }()
	for {
		if _, err := frames.Next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// note records a time.
func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), leastMicros))
}

// outcome returns the result.
func (r *run) outcome() Result {
	out := r.result
	out.RequestsPerSecond = float64(out.Answered) / out.Seconds
	out.Through = times(r.through)
	if r.config.Direct != "" {
		direct := times(r.direct)
		added := out.Through.P50 - direct.P50
		out.Direct, out.AddedP50 = &direct, &added
	}
	return out
}

// times returns the percentiles of a histogram.
func times(h *hdrhistogram.Histogram) Times {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{
		Count: h.TotalCount(),
		P50:   millis(50),
		P90:   millis(90),
		P99:   millis(99),
		Max:   float64(h.Max()) / 1000,
	}
}
