package engsim

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

var (
	slotA    = envdoc.Slot{Model: "a", Version: "1"}
	slotB    = envdoc.Slot{Model: "b", Version: "1"}
	adapterA = envdoc.Slot{Model: "a", Adapter: "x", Version: "1"}
)

// newEngine returns an engine with 100 MB of memory whose loads take ten seconds
// of fake time.
func newEngine(t *testing.T, c Config, faults fault.Provider) *Engine {
	c.VM = "engine-1"
	c.MemoryMB = 100
	w := weight.New(weight.Config{ModelsPerSecond: 1.4, FullSpeedModels: 14, AdapterMin: 6 * time.Millisecond})
	e := New(t.Context(), c, w, WithFaults(faults))
	t.Cleanup(func() { require.NoError(t, e.Stop()) })
	return e
}

// sendOrder sends an order to the engine, with a new ID when the order has none,
// and returns the answer.
func sendOrder(t *testing.T, e *Engine, o engine.Order) engine.OrderResult {
	if o.ID == "" {
		o.ID = store.NewID()
	}
	answer, err := e.Order(t.Context(), o)
	require.NoError(t, err)
	return answer
}

// loadSlot loads a slot and requires that the load succeeds.
func loadSlot(t *testing.T, e *Engine, s envdoc.Slot, memory int64) {
	answer := sendOrder(t, e, engine.Order{Kind: engine.OrderLoad, Slot: s, MemoryMB: memory})
	require.Equal(t, engine.OrderDone, answer.Status, answer.Reason)
}

// readAll reads a stream to its end and returns the text of its frames.
func readAll(frames engine.Frames) (string, error) {
	defer func() { _ = frames.Close() }()
	text := ""
	for {
		f, err := frames.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += f.Text
	}
}

func TestMemoryIncludesLoadsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, Config{}, nil)
		go func() {
			_, _ = e.Order(t.Context(), engine.Order{ID: "1", Kind: engine.OrderLoad, Slot: slotA, MemoryMB: 60})
		}()
		synctest.Wait()
		require.EqualValues(t, 60, e.Stats().UsedMB)
		require.Empty(t, e.Stats().Resident)
		answer := sendOrder(t, e, engine.Order{Kind: engine.OrderLoad, Slot: slotB, MemoryMB: 50})
		require.Equal(t, engine.OrderRejected, answer.Status)
		require.Len(t, e.Stats().Overcommits, 1)
	})
}

func TestOrderIsIdempotentPerInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, Config{}, nil)
		o := engine.Order{ID: "1", Kind: engine.OrderLoad, Slot: slotA, MemoryMB: 60}
		sendOrder(t, e, o)
		sendOrder(t, e, engine.Order{Kind: engine.OrderUnload, Slot: slotA})
		require.Equal(t, engine.OrderDone, sendOrder(t, e, o).Status)
		require.Empty(t, e.Stats().Resident)
		e.Restart()
		sendOrder(t, e, o)
		require.Equal(t, []string{"a@1"}, e.Stats().Resident)
	})
}

func TestFencingModes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fencing, want := range map[store.Fencing]engine.OrderStatus{
			store.FencingRefuses: engine.OrderFenced,
			store.FencingIgnores: engine.OrderDone,
		} {
			e := newEngine(t, Config{Fencing: fencing}, nil)
			sendOrder(t, e, engine.Order{Kind: engine.OrderFence, Fence: 7})
			answer := sendOrder(t, e, engine.Order{Kind: engine.OrderLoad, Slot: slotA, Fence: 6})
			require.Equal(t, want, answer.Status)
		}
	})
}

func TestDelayedOrderRunsAfterSenderTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := fault.NewSwitch()
		e := newEngine(t, Config{}, faults)
		faults.Set("engine-1", fault.Action{Kind: fault.Delay, Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := e.Order(ctx, engine.Order{ID: "1", Kind: engine.OrderLoad, Slot: slotA, MemoryMB: 60})
		require.Equal(t, code.OrderUnknown, code.Of(err))
		require.Zero(t, e.Stats().UsedMB)
		time.Sleep(2 * time.Minute)
		require.EqualValues(t, 60, e.Stats().UsedMB)
	})
}

func TestAnswerIsCompleteAndResumable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, Config{}, nil)
		loadSlot(t, e, slotA, 60)
		loadSlot(t, e, adapterA, 1)
		want, tokens := CompleteAnswer(adapterA, "prompt", 40)
		frames, err := e.Generate(t.Context(), engine.Request{Attempt: "1", Slot: adapterA, Prompt: "prompt", MaxTokens: 40})
		require.NoError(t, err)
		got, err := readAll(frames)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.False(t, Matches(got, "prompt", 40, slotA), "answers of different slots must differ")
		require.False(t, Matches(got, "other", 40, adapterA), "answers to different prompts must differ")

		frames, err = e.Resume(t.Context(), "1", tokens-3)
		require.NoError(t, err)
		rest, err := readAll(frames)
		require.NoError(t, err)
		require.Equal(t, want[len(want)-3*tokenBytes:], rest)

		frames, err = e.Generate(t.Context(), engine.Request{Attempt: "2", Slot: adapterA, Prompt: "prompt", MaxTokens: 40, GeneratedTokens: 10})
		require.NoError(t, err)
		rest, err = readAll(frames)
		require.NoError(t, err)
		require.Equal(t, want[10*tokenBytes:], rest)
	})
}

func TestBatchAdmitsByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, Config{BatchLimit: 1}, nil)
		loadSlot(t, e, slotA, 60)
		var ended []int
		done := make(chan int)
		for _, rank := range []int{9, 2, 1, 0} {
			request := engine.Request{Attempt: store.NewID(), Slot: slotA, Prompt: "p", MaxTokens: 20, Rank: rank}
			frames, err := e.Generate(t.Context(), request)
			require.NoError(t, err)
			go func() {
				_, _ = readAll(frames)
				done <- request.Rank
			}()
			synctest.Wait()
		}
		for range 4 {
			ended = append(ended, <-done)
		}
		require.Equal(t, []int{9, 0, 1, 2}, ended)
	})
}

func TestUnloadWaitsForRunningGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, Config{}, nil)
		loadSlot(t, e, slotA, 60)
		frames, err := e.Generate(t.Context(), engine.Request{Attempt: "1", Slot: slotA, Prompt: "p", MaxTokens: 40})
		require.NoError(t, err)
		go func() {
			_, _ = e.Order(t.Context(), engine.Order{ID: "2", Kind: engine.OrderUnload, Slot: slotA})
		}()
		synctest.Wait()
		_, err = e.Generate(t.Context(), engine.Request{Attempt: "2", Slot: slotA, Prompt: "p"})
		require.Equal(t, code.RunNo, code.RunOf(err))
		_, err = readAll(frames)
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, e.Stats().UsedMB)
	})
}

func TestReportsAndCacheEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, Config{CacheLag: time.Second, CacheGap: 3, ReportPeriod: time.Second}, nil)
		loadSlot(t, e, slotA, 60)
		report, err := e.Report(t.Context())
		require.NoError(t, err)
		require.Empty(t, report.Slots)
		prompt := string(make([]byte, 4*route.BlockBytes))
		frames, err := e.Generate(t.Context(), engine.Request{Attempt: "1", Slot: slotA, Prompt: prompt, MaxTokens: 4})
		require.NoError(t, err)
		_, err = readAll(frames)
		require.NoError(t, err)
		events, err := e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Empty(t, events)
		time.Sleep(2100 * time.Millisecond)
		events, err = e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Len(t, events, 3, "the gap must drop one of four events")
		report, err = e.Report(t.Context())
		require.NoError(t, err)
		require.Equal(t, []envdoc.Slot{slotA}, report.Slots)
	})
}
