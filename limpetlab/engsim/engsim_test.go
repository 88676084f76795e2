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

// start returns an engine of 100 MB in fake time with loads of ten seconds.
func start(t *testing.T, c Config, faults fault.Provider) *Engine {
	c.VM = "engine-1"
	c.MemoryMB = 100
	w := weight.New(weight.Config{PerSecond: 1.4, AtOnce: 14, AdapterMin: 6 * time.Millisecond})
	e := New(t.Context(), c, w, WithFaults(faults))
	t.Cleanup(func() { require.NoError(t, e.Stop()) })
	return e
}

// order sends an order with a new id.
func order(t *testing.T, e *Engine, o engine.Order) engine.OrderAnswer {
	if o.ID == "" {
		o.ID = store.NewID()
	}
	answer, err := e.Order(t.Context(), o)
	require.NoError(t, err)
	return answer
}

// load loads a slot.
func load(t *testing.T, e *Engine, s envdoc.Slot, memory int64) {
	answer := order(t, e, engine.Order{Kind: engine.OrderLoad, Slot: s, MemoryMB: memory})
	require.Equal(t, engine.OrderDone, answer.Status, answer.Reason)
}

// read joins the frames of a stream.
func read(frames engine.Frames) (string, error) {
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

func TestMemoryCountsLoadsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, Config{}, nil)
		go func() {
			_, _ = e.Order(t.Context(), engine.Order{ID: "1", Kind: engine.OrderLoad, Slot: slotA, MemoryMB: 60})
		}()
		synctest.Wait()
		require.EqualValues(t, 60, e.Books().UsedMB)
		require.Empty(t, e.Books().Resident)
		answer := order(t, e, engine.Order{Kind: engine.OrderLoad, Slot: slotB, MemoryMB: 50})
		require.Equal(t, engine.OrderRejected, answer.Status)
		require.Len(t, e.Books().Overcommits, 1)
	})
}

func TestOrderIsIdempotentWithinAnInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, Config{}, nil)
		o := engine.Order{ID: "1", Kind: engine.OrderLoad, Slot: slotA, MemoryMB: 60}
		order(t, e, o)
		order(t, e, engine.Order{Kind: engine.OrderUnload, Slot: slotA})
		require.Equal(t, engine.OrderDone, order(t, e, o).Status)
		require.Empty(t, e.Books().Resident)
		e.Restart()
		order(t, e, o)
		require.Equal(t, []string{"a@1"}, e.Books().Resident)
	})
}

func TestFencingOfBothKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fencing, want := range map[store.Fencing]engine.OrderStatus{
			store.FencingRefuses: engine.OrderFenced,
			store.FencingIgnores: engine.OrderDone,
		} {
			e := start(t, Config{Fencing: fencing}, nil)
			order(t, e, engine.Order{Kind: engine.OrderFence, Fence: 7})
			answer := order(t, e, engine.Order{Kind: engine.OrderLoad, Slot: slotA, Fence: 6})
			require.Equal(t, want, answer.Status)
		}
	})
}

func TestLateOrderOutlivesItsSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sw := fault.NewSwitch()
		e := start(t, Config{}, sw)
		sw.Set("engine-1", fault.Action{Kind: fault.Delay, Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := e.Order(ctx, engine.Order{ID: "1", Kind: engine.OrderLoad, Slot: slotA, MemoryMB: 60})
		require.Equal(t, code.OrderUnknown, code.Of(err))
		require.Zero(t, e.Books().UsedMB)
		time.Sleep(2 * time.Minute)
		require.EqualValues(t, 60, e.Books().UsedMB)
	})
}

func TestAnswerIsWholeAndContinuesAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, Config{}, nil)
		load(t, e, slotA, 60)
		load(t, e, adapterA, 1)
		want, tokens := Answer(adapterA, "prompt", 40)
		frames, err := e.Generate(t.Context(), engine.Request{Attempt: "1", Slot: adapterA, Prompt: "prompt", MaxTokens: 40})
		require.NoError(t, err)
		got, err := read(frames)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.False(t, Matches(got, "prompt", 40, slotA), "the text must tell slots apart")
		require.False(t, Matches(got, "other", 40, adapterA), "the text must tell prompts apart")

		frames, err = e.Resume(t.Context(), "1", tokens-3)
		require.NoError(t, err)
		rest, err := read(frames)
		require.NoError(t, err)
		require.Equal(t, want[len(want)-3*tokenBytes:], rest)

		frames, err = e.Generate(t.Context(), engine.Request{Attempt: "2", Slot: adapterA, Prompt: "prompt", MaxTokens: 40, GeneratedTokens: 10})
		require.NoError(t, err)
		rest, err = read(frames)
		require.NoError(t, err)
		require.Equal(t, want[10*tokenBytes:], rest)
	})
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, Config{BatchLimit: 1}, nil)
		load(t, e, slotA, 60)
		var ended []int
		done := make(chan int)
		for _, rank := range []int{9, 2, 1, 0} {
			request := engine.Request{Attempt: store.NewID(), Slot: slotA, Prompt: "p", MaxTokens: 20, Rank: rank}
			frames, err := e.Generate(t.Context(), request)
			require.NoError(t, err)
			go func() {
				_, _ = read(frames)
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

func TestUnloadWaitsForItsUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, Config{}, nil)
		load(t, e, slotA, 60)
		frames, err := e.Generate(t.Context(), engine.Request{Attempt: "1", Slot: slotA, Prompt: "p", MaxTokens: 40})
		require.NoError(t, err)
		go func() {
			_, _ = e.Order(t.Context(), engine.Order{ID: "2", Kind: engine.OrderUnload, Slot: slotA})
		}()
		synctest.Wait()
		_, err = e.Generate(t.Context(), engine.Request{Attempt: "2", Slot: slotA, Prompt: "p"})
		require.Equal(t, code.RunNo, code.RunOf(err))
		_, err = read(frames)
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, e.Books().UsedMB)
	})
}

func TestReportAndCacheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, Config{CacheLag: time.Second, CacheGap: 3, ReportEvery: time.Second}, nil)
		load(t, e, slotA, 60)
		report, err := e.Report(t.Context())
		require.NoError(t, err)
		require.Empty(t, report.Slots)
		prompt := string(make([]byte, 4*route.BlockBytes))
		frames, err := e.Generate(t.Context(), engine.Request{Attempt: "1", Slot: slotA, Prompt: prompt, MaxTokens: 4})
		require.NoError(t, err)
		_, err = read(frames)
		require.NoError(t, err)
		events, err := e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Empty(t, events)
		time.Sleep(2100 * time.Millisecond)
		events, err = e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Len(t, events, 3, "one of four events falls into a gap")
		report, err = e.Report(t.Context())
		require.NoError(t, err)
		require.Equal(t, []envdoc.Slot{slotA}, report.Slots)
	})
}
