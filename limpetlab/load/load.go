// Package load sends requests to the callers' interface of running daemons, up to
// a maximum count and duration, and reports latency percentiles.
//
// If the address of an engine is given, a run also measures the latency that a
// daemon adds: each worker sends each request both through a daemon and directly
// to the engine, alternating which of the two comes first.
//
// # Usage
//
//	result, err := load.Run(ctx, load.Config{Addresses: addresses, Key: key, Model: "m1", Count: 10000})
//	result.ViaDaemon.P50
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

// Range of the recorded latencies in microseconds, and the number of significant
// digits of a recorded latency.
const (
	minMicros = 1
	maxMicros = 300_000_000
	digits    = 3
)

// Config holds the targets and the requests of a run.
type Config struct {
	// Addresses are the addresses of the callers' interfaces of daemons. Each worker
	// uses them in turn.
	Addresses []string
	// Key is the key of a declared caller.
	Key string
	// Model is the name of the model or adapter to request.
	Model string
	// Count and Duration limit the requests and the time of the run. The limit that
	// is reached first ends the run.
	Count    int
	Duration time.Duration
	// Workers is the number of concurrent workers, each of which sends one request at
	// a time.
	Workers int
	// MaxTokens limits the length of an answer.
	MaxTokens int
	Stream    bool
	// EngineAddress is the address of an engine to call directly, which holds EngineSlot; empty
	// for none.
	EngineAddress string
	EngineSlot    envdoc.Slot
}

// Percentiles holds latency percentiles in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Result holds the counts and latencies of a run.
type Result struct {
	// Requests counts the requests that ended, direct calls not included, and
	// Answered the requests with a complete answer.
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	// Lost counts the requests that ended without a complete answer or a code.
	Lost int64 `json:"lost"`
	// LostError is the error of the first lost request that has one.
	LostError string `json:"lost_error,omitempty"`
	// Codes counts the failed requests by code. Codes of direct calls have the prefix
	// "direct_".
	Codes             map[string]int `json:"codes"`
	Seconds           float64        `json:"seconds"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	// ViaDaemon holds the latencies of complete answers through daemons.
	ViaDaemon Percentiles `json:"through"`
	// Direct holds the latencies of direct calls, and AddedP50 the difference of the
	// medians in milliseconds. Both are nil if no engine was called directly.
	Direct   *Percentiles `json:"direct,omitempty"`
	AddedP50 *float64     `json:"added_p50_ms,omitempty"`
}

// run is a run in progress.
type run struct {
	config Config
	client *caller.Client
	engine *engine.Client
	// remaining is the number of requests that are still to be sent.
	remaining atomic.Int64

	mu      sync.Mutex
	result  Result
	through *hdrhistogram.Histogram
	direct  *hdrhistogram.Histogram
}

// Run sends the requests and waits for their answers. An error has code BadParameter
// if a required value in c is missing.
func Run(ctx context.Context, c Config) (Result, error) {
	if len(c.Addresses) == 0 || c.Count <= 0 || c.Workers <= 0 || c.Duration <= 0 {
		return Result{}, code.Errorf(code.BadParameter, "addresses, count, workers and duration are required")
	}
	if c.Key == "" || c.Model == "" {
		return Result{}, code.Errorf(code.BadParameter, "the key of a caller and a model are required")
	}
	r := &run{
		config:  c,
		client:  caller.New(),
		engine:  engine.NewClient(),
		result:  Result{Codes: make(map[string]int)},
		through: hdrhistogram.New(minMicros, maxMicros, digits),
		direct:  hdrhistogram.New(minMicros, maxMicros, digits),
	}
	defer r.client.Close()
	defer r.engine.Close()
	r.remaining.Store(int64(c.Count))
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	start := time.Now()
	var workers sync.WaitGroup
	for w := range c.Workers {
		workers.Go(func() { r.work(ctx, w) })
	}
	workers.Wait()
	r.result.Seconds = time.Since(start).Seconds()
	return r.finalResult(), nil
}

// work sends requests until the count is used up or ctx is done.
func (r *run) work(ctx context.Context, worker int) {
	for i := worker; r.remaining.Add(-1) >= 0 && ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("request %s", store.NewID())
		if r.config.EngineAddress != "" && i%2 == 0 {
			r.callDirect(ctx, prompt)
		}
		r.callThrough(ctx, r.config.Addresses[i%len(r.config.Addresses)], prompt)
		if r.config.EngineAddress != "" && i%2 == 1 {
			r.callDirect(ctx, prompt)
		}
	}
}

// callThrough sends a request through the daemon at address and records the outcome.
// A request that is in flight when ctx ends is not counted.
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
	case a.Complete:
		r.result.Answered++
		record(r.through, a.Total)
	case a.Code != 0:
		r.result.Codes[a.Code.Info().Name]++
	default:
		r.countLost(a)
	}
}

// countLost counts a request that got neither a complete answer nor a code. r.mu is
// held.
func (r *run) countLost(a caller.Outcome) {
	r.result.Lost++
	if r.result.LostError == "" && a.Err != nil {
		r.result.LostError = a.Err.Error()
	}
}

// callDirect sends a request directly to the engine and records its latency.
func (r *run) callDirect(ctx context.Context, prompt string) {
	start := time.Now()
	err := r.generate(ctx, prompt)
	latency := time.Since(start)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.result.Codes["direct_"+code.Of(err).Info().Name]++
		return
	}
	record(r.direct, latency)
}

// generate sends a request to the engine and reads the answer to its end.
func (r *run) generate(ctx context.Context, prompt string) error {
	frames, err := r.engine.Generate(ctx, r.config.EngineAddress, engine.Request{
		Attempt: store.NewID(), Slot: r.config.EngineSlot, Prompt: prompt, MaxTokens: r.config.MaxTokens,
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

// record records a latency. A latency below the range is recorded as minMicros, and a
// latency above the range is dropped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), minMicros))
}

// finalResult returns the result with its rates and percentiles.
func (r *run) finalResult() Result {
	final := r.result
	final.RequestsPerSecond = float64(final.Answered) / final.Seconds
	final.ViaDaemon = percentiles(r.through)
	if r.config.EngineAddress != "" {
		direct := percentiles(r.direct)
		added := final.ViaDaemon.P50 - direct.P50
		final.Direct, final.AddedP50 = &direct, &added
	}
	return final
}

// percentiles returns the percentiles of a histogram of microseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   millis(50),
		P90:   millis(90),
		P99:   millis(99),
		Max:   float64(h.Max()) / 1000,
	}
}
