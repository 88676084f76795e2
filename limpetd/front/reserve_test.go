package front_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// reserver is a front.Reserver that returns reservations in order and repeats the last one.
type reserver struct {
	mu           sync.Mutex
	reservations []sched.Reservation
	err          error
	asks         []sched.ReservationRequest
	samples      []sched.Sample
	streams      int
}

func (r *reserver) Reserve(_ context.Context, a sched.ReservationRequest) (sched.Reservation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks = append(r.asks, a)
	if r.err != nil {
		return sched.Reservation{}, r.err
	}
	g := r.reservations[0]
	if len(r.reservations) > 1 {
		r.reservations = r.reservations[1:]
	}
	return g, nil
}

func (r *reserver) RecordSample(s sched.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (r *reserver) RecordStream(string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
}

var streamRoute = layout.Route{
	Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true,
	Expectation: 2 * time.Second, MaxPause: 300 * time.Millisecond, AbandonAfter: 8 * time.Second,
}

// sendEvent is a handler that streams one event.
func sendEvent(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	// A write error means that the caller disconnected, which the test need not check.
	_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
}

// unexpectedServer is a handler for servers that must not receive the call.
func unexpectedServer(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }

func TestCallIsSentToReservedEngineAtReservedTime(t *testing.T) {
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Chosen, Server: "i1", Delay: 120 * time.Millisecond, Exclusive: true}}}
	fx := newFixtureWithReserver(t, r, streamRoute, unexpectedServer, sendEvent, unexpectedServer)
	begin := time.Now()
	a, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Contains(t, body, "data: x")
	require.GreaterOrEqual(t, time.Since(begin), 120*time.Millisecond)
	require.Len(t, r.asks, 1)
	require.Len(t, r.samples, 1, "the read time of an engine without other prompts is recorded")
	require.Equal(t, "i1", r.samples[0].Server)
	require.Equal(t, 1, r.streams)
}

func TestDaemonChoosesServerWhenReserverFails(t *testing.T) {
	r := &reserver{err: errors.New("no answer")}
	fx := newFixtureWithReserver(t, r, streamRoute, sendEvent)
	a, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Empty(t, r.samples)
}

func TestDaemonChoosesServerWhenReservationIsUnusable(t *testing.T) {
	for _, g := range []sched.Reservation{{Verdict: sched.Chosen, Server: "gone"}, {Verdict: sched.NotLoaded}, {Verdict: sched.NoServer}} {
		fx := newFixtureWithReserver(t, &reserver{reservations: []sched.Reservation{g}}, streamRoute, sendEvent)
		a, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode, "%+v", g)
	}
}

// TestUrgentCallWithoutReservationIsRefusedAtOnce guards against urgent calls that wait for
// a second and are refused only then.
func TestUrgentCallWithoutReservationIsRefusedAtOnce(t *testing.T) {
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Full, Delay: 30 * time.Millisecond}}}
	fx := newFixtureWithReserver(t, r, streamRoute, sendEvent)
	begin := time.Now()
	a, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.Less(t, time.Since(begin), streamRoute.Expectation/4)
}

func TestCallWithoutReservationAsksAgain(t *testing.T) {
	full := sched.Reservation{Verdict: sched.Full, Delay: 30 * time.Millisecond}
	r := &reserver{reservations: []sched.Reservation{full, full, {Verdict: sched.Chosen, Server: "i0"}}}
	fx := newFixtureWithReserver(t, r, streamRoute, sendEvent)
	c := *fx.front.Config()
	urgent := c.Routes[0]
	urgent.Prefix, urgent.Expectation = "/urgent/", streamRoute.Expectation/4
	c.Version, c.Routes = c.Version+1, append(c.Routes, urgent)
	require.True(t, fx.front.Apply(&c))
	// The calls sent before raise the send rate, which makes waiting worthwhile.
	r.mu.Lock()
	r.reservations = append([]sched.Reservation{{Verdict: sched.Chosen, Server: "i0"}, {Verdict: sched.Chosen, Server: "i0"}}, r.reservations...)
	r.mu.Unlock()
	for range 3 {
		a, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode)
	}
	require.Len(t, r.asks, 5)
}

// TestTakenUpStreamAsksAgainUntilThereIsRoom guards against refusing a caller that has a part of its answer like a new
// urgent call.
func TestTakenUpStreamAsksAgainUntilThereIsRoom(t *testing.T) {
	full := sched.Reservation{Verdict: sched.Full, Delay: 30 * time.Millisecond}
	r := &reserver{reservations: []sched.Reservation{full, full, {Verdict: sched.Chosen, Server: "i0"}}}
	route := engineRoute
	route.AbandonAfter = 2 * time.Second
	fx := newFixtureWithReserver(t, r, route, streamEvents(2, 4, false))
	// A new call would not be worth waiting: each of many daemons sends few calls to the engine.
	fx.front.SetDaemons(100, 0)
	head, _, err := fx.post(t, "/r/1", resumption("x1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode, head.Header.Get("limpet-code"))
	require.Len(t, r.asks, 3)
	require.True(t, r.asks[0].IsTopPriority)
}

// TestBrokenStreamWaitsForAnotherEngine guards against aborting a stream whose engine fails
// at a moment at which no other engine has time.
func TestBrokenStreamWaitsForAnotherEngine(t *testing.T) {
	full := sched.Reservation{Verdict: sched.Full, Delay: 30 * time.Millisecond}
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Chosen, Server: "i0"}, full, full, full, {Verdict: sched.Chosen, Server: "i1"}}}
	breakStream := func(w http.ResponseWriter, r *http.Request) {
		sendEvent(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	sendRest := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 2\ndata: y\n\n"))
	}
	fx := newFixtureWithReserver(t, r, streamRoute, breakStream, sendRest)
	a, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", body)
	require.Positive(t, r.asks[1].MaxStartDelay, "a resumed stream is not treated as late")
}

func TestCallIsNotSentAfterCallerDisconnects(t *testing.T) {
	sent := make(chan struct{}, 1)
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Chosen, Server: "i0", Delay: 150 * time.Millisecond}}}
	fx := newFixtureWithReserver(t, r, streamRoute, func(w http.ResponseWriter, r *http.Request) { sent <- struct{}{} })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fx.url+"/r/1", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Id", "x1")
	req.Header.Set("Model", "m")
	a, err := http.DefaultClient.Do(req)
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

// TestBackoffOfOnlyEngineRefusesAtOnce guards against holding a call for a model whose only engine
// wants no calls, because the Reserver, which excludes the engine, finds none with the model.
func TestBackoffOfOnlyEngineRefusesAtOnce(t *testing.T) {
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.NotLoaded}}}
	fx := newFixtureWithReserver(t, r, streamRoute, unexpectedServer)
	fx.front.RecordResponse(&layout.Server{ID: "i0"}, front.ResponseHeaders{Backoff: 3 * time.Second}, time.Now())
	begin := time.Now()
	a, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	require.Less(t, time.Since(begin), time.Second)
	require.Zero(t, fx.loader.wantCount.Load(), "the model is loaded")
}

// TestOnlyAnswersOfTheServerEndItsLimit guards against ending a limit by an answer of another server at the
// address, or by bytes that no server has stamped.
func TestOnlyAnswersOfTheServerEndItsLimit(t *testing.T) {
	fx := newFixture(t, engineRoute, unexpectedServer)
	server := &layout.Server{ID: "i0"}
	record := func(r front.ResponseHeaders) float64 {
		fx.front.RecordResponse(server, r, time.Now())
		return fx.front.Limits()["i0"].PerSecond
	}
	require.InDelta(t, 3, record(front.ResponseHeaders{HasStamp: true, Limit: 3}), 0)
	require.InDelta(t, 3, record(front.ResponseHeaders{WrongServer: true, NotRun: true}), 0)
	require.InDelta(t, 3, record(front.ResponseHeaders{}), 0)
	require.InDelta(t, 4, record(front.ResponseHeaders{NotRun: true, Limit: 4}), 0)
	require.Zero(t, record(front.ResponseHeaders{HasStamp: true}))
	require.Equal(t, 3, fx.logs.FilterMessage("server_limit").Len())
}

// TestPauseOfSilentServerIsNotReported guards against less time for prompts at all engines because streams paused
// while their engine was silent.
func TestPauseOfSilentServerIsNotReported(t *testing.T) {
	for pause, reported := range map[time.Duration]int{400 * time.Millisecond: 1, time.Second: 0} {
		r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Chosen, Server: "i0"}}}
		fx := newFixtureWithReserver(t, r, streamRoute, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, eventText(0, 0))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
			_, _ = io.WriteString(w, eventText(1, 1))
		})
		_, body, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err)
		require.Equal(t, eventText(0, 1), body)
		require.Equal(t, reported, r.streams, "pause of %s", pause)
	}
}
