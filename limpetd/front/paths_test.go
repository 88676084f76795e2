package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// silentDialer connects while it is not silent, and times out otherwise.
type silentDialer struct {
	net.Dialer
	silent atomic.Bool
}

func (d *silentDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.silent.Load() {
		return d.Dialer.DialContext(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestStreamOfSilentEngineIsKept guards against streams that are moved away from an engine, and an end of it
// that is recorded, because it answers nothing and accepts nothing for a second.
func TestStreamOfSilentEngineIsKept(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second, AbandonAfter: 5 * time.Second}
	dialer := &silentDialer{}
	var runs atomic.Int64
	handler := withStamp(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventText(0, 0))
		_ = http.NewResponseController(w).Flush()
		dialer.silent.Store(true)
		time.Sleep(1300 * time.Millisecond)
		dialer.silent.Store(false)
		_, _ = io.WriteString(w, eventText(1, 1))
	})
	var addresses []string
	for range 2 {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	fx := newFixtureWithDeps(t, func(d *front.Deps) { d.Pool = conns.New(t.Context(), conns.WithDialer(dialer)) }, route, addresses...)
	_, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, eventText(0, 1), body)
	require.EqualValues(t, 1, runs.Load())
	require.Zero(t, fx.logs.FilterMessage("engine_ended").Len())
}

// TestEngineThatLivesOnClearsAbandonedStreams guards against a block of a part that all prompts share, because the
// callers of all streams leave early and no answer goes on for long enough to clear it.
func TestEngineThatLivesOnClearsAbandonedStreams(t *testing.T) {
	fx := newFixture(t, engineRoute, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; r.Context().Err() == nil && i < 1000; i++ {
			_, _ = io.WriteString(w, eventText(i, i))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	facts := endsUnder(7, 2)
	fx.front.MergeCrashFacts(facts)
	leave := func(after time.Duration, parts string) {
		ctx, cancel := context.WithTimeout(t.Context(), after)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, fx.url+"/r/1", http.NoBody)
		require.NoError(t, err)
		request.Header.Set("Id", "left")
		for name, value := range call(parts) {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		require.NoError(t, response.Body.Close())
	}
	require.Equal(t, 2, suspectedEnds(fx, 7))
	leave(100*time.Millisecond, "7 8")
	require.Equal(t, 2, suspectedEnds(fx, 7), "the engine may still end")
	leave(900*time.Millisecond, "9 9")
	require.Zero(t, suspectedEnds(fx, 7), "the engine has lived on")
}

// suspectedEnds returns the number of recorded ends under a part, unless an answer has cleared it.
func suspectedEnds(fx *fixture, part uint64) int {
	facts, _ := fx.front.CrashFacts(0)
	if len(facts.Answers) > 0 {
		for _, a := range facts.Answers {
			if a.Part == crash.PromptPart(part) {
				return 0
			}
		}
	}
	return len(facts.Ends)
}
