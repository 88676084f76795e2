package front_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// reserver answers asks in turn; the last answer stays.
type reserver struct {
	mu      sync.Mutex
	grants  []sched.Grant
	err     error
	asks    []sched.Ask
	samples []sched.Sample
	streams int
}

func (r *reserver) Reserve(_ context.Context, a sched.Ask) (sched.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks = append(r.asks, a)
	if r.err != nil {
		return sched.Grant{}, r.err
	}
	g := r.grants[0]
	if len(r.grants) > 1 {
		r.grants = r.grants[1:]
	}
	return g, nil
}

func (r *reserver) Sampled(s sched.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (r *reserver) Streamed(string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
}

var streamRoute = layout.Route{
	Kind: layout.Stream, Resumable: true, Attempts: 2, Engines: true,
	Expectation: 2 * time.Second, MaxPause: 300 * time.Millisecond, Abandon: 8 * time.Second,
}

func event(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	// A caller that left is no matter here.
	_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
}

func other(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }

func TestCallGoesToTheGrantedEngineWhenItsTimeComes(t *testing.T) {
	r := &reserver{grants: []sched.Grant{{Verdict: sched.Chosen, Server: "i1", After: 120 * time.Millisecond, Alone: true}}}
	w := newReservedWorld(t, r, streamRoute, other, event, other)
	begin := time.Now()
	a, body, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Contains(t, body, "data: x")
	require.GreaterOrEqual(t, time.Since(begin), 120*time.Millisecond)
	require.Len(t, r.asks, 1)
	require.Len(t, r.samples, 1, "the pace of an engine that read no other prompt is told")
	require.Equal(t, 1, r.streams)
}

func TestDaemonChoosesByItselfWithoutASteerer(t *testing.T) {
	r := &reserver{err: errors.New("no steerer")}
	w := newReservedWorld(t, r, streamRoute, event)
	a, _, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Empty(t, r.samples)
}

func TestDaemonChoosesByItselfWhereItCannotUseTheGrant(t *testing.T) {
	for _, g := range []sched.Grant{{Verdict: sched.Chosen, Server: "gone"}, {Verdict: sched.NotLoaded}, {Verdict: sched.NoServer}} {
		w := newReservedWorld(t, &reserver{grants: []sched.Grant{g}}, streamRoute, event)
		a, _, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode, "%+v", g)
	}
}

// TestUrgentCallThatGotNoTimeIsRefusedAtOnce: such calls used to wait for a second, and
// were refused then.
func TestUrgentCallThatGotNoTimeIsRefusedAtOnce(t *testing.T) {
	r := &reserver{grants: []sched.Grant{{Verdict: sched.Full, After: 30 * time.Millisecond}}}
	w := newReservedWorld(t, r, streamRoute, event)
	begin := time.Now()
	a, _, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.Less(t, time.Since(begin), streamRoute.Expectation/4)
}

func TestCallThatGotNoTimeAsksAgain(t *testing.T) {
	full := sched.Grant{Verdict: sched.Full, After: 30 * time.Millisecond}
	r := &reserver{grants: []sched.Grant{full, full, {Verdict: sched.Chosen, Server: "i0"}}}
	w := newReservedWorld(t, r, streamRoute, event)
	c := *w.front.Config()
	urgent := c.Routes[0]
	urgent.Prefix, urgent.Expectation = "/urgent/", streamRoute.Expectation/4
	c.Version, c.Routes = c.Version+1, append(c.Routes, urgent)
	require.True(t, w.front.Apply(&c))
	// Calls that were sent before tell that waiting is worth it.
	r.mu.Lock()
	r.grants = append([]sched.Grant{{Verdict: sched.Chosen, Server: "i0"}, {Verdict: sched.Chosen, Server: "i0"}}, r.grants...)
	r.mu.Unlock()
	for range 3 {
		a, _, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode)
	}
	require.Len(t, r.asks, 5)
}

// TestBegunStreamWaitsForAnotherEngine: a stream whose engine broke off used to be cut at once
// if no other engine had time.
func TestBegunStreamWaitsForAnotherEngine(t *testing.T) {
	full := sched.Grant{Verdict: sched.Full, After: 30 * time.Millisecond}
	r := &reserver{grants: []sched.Grant{{Verdict: sched.Chosen, Server: "i0"}, full, full, full, {Verdict: sched.Chosen, Server: "i1"}}}
	breaks := func(w http.ResponseWriter, r *http.Request) {
		event(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	rest := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 2\ndata: y\n\n"))
	}
	w := newReservedWorld(t, r, streamRoute, breaks, rest)
	a, body, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", body)
	require.Positive(t, r.asks[1].Within, "it is not late for the others")
}

func TestCallThatWaitsForItsTimeIsNotSentAfterItsCallerLeft(t *testing.T) {
	sent := make(chan struct{}, 1)
	r := &reserver{grants: []sched.Grant{{Verdict: sched.Chosen, Server: "i0", After: 150 * time.Millisecond}}}
	w := newReservedWorld(t, r, streamRoute, func(w http.ResponseWriter, r *http.Request) { sent <- struct{}{} })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+"/r/1", http.NoBody)
	require.NoError(t, err)
	q.Header.Set("Id", "x1")
	q.Header.Set("Model", "m")
	a, err := http.DefaultClient.Do(q)
	if err == nil {
		require.NoError(t, a.Body.Close())
	}
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-sent:
		require.Fail(t, "the call was sent")
	case <-time.After(400 * time.Millisecond):
	}
}
