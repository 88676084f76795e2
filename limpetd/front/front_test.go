package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// dialect is that of the tests: headers named as what they hold.
type dialect struct{}

func (dialect) Read(h http.Header) front.Call {
	h.Del("Instance")
	ms, err := strconv.Atoi(h.Get("Deadline"))
	if err != nil {
		ms = 0
	}
	return front.Call{ID: h.Get("Id"), Model: h.Get("Model"), Deadline: time.Duration(ms) * time.Millisecond, LastEvent: h.Get("Last")}
}

func (dialect) Write(h http.Header, s front.Send) {
	h.Set("Instance", s.Instance)
	h.Set("Deadline", strconv.FormatInt(s.Left.Milliseconds(), 10))
	if s.LastEvent != "" {
		h.Set("Last", s.LastEvent)
	}
}

func (dialect) Reply(status int, h http.Header) front.Reply {
	return front.Reply{NotRun: h.Get("Unrun") != "", Elsewhere: status == http.StatusMisdirectedRequest, Stamped: h.Get("Stamp") != ""}
}

func (dialect) Belongs(h http.Header, id string) bool { return h.Get("Id") == id || h.Get("Id") == "" }

// loader notes what is asked for.
type loader struct{ wants atomic.Int64 }

func (l *loader) Want(_, _, _ string)            { l.wants.Add(1) }
func (l *loader) Used(_, _, _ string, _ float64) {}

// world is a front with backend servers of the service "s".
type world struct {
	front  *front.Front
	loader *loader
	url    string
}

func newWorld(t *testing.T, route layout.Route, handlers ...http.HandlerFunc) *world {
	t.Helper()
	return newReservedWorld(t, nil, route, handlers...)
}

// newReservedWorld is a world whose front asks a reserver, unless it is nil.
func newReservedWorld(t *testing.T, r front.Reserver, route layout.Route, handlers ...http.HandlerFunc) *world {
	t.Helper()
	var servers []*layout.Server
	for i, h := range handlers {
		s := httptest.NewServer(stamped(h))
		t.Cleanup(s.Close)
		servers = append(servers, &layout.Server{
			ID: fmt.Sprint("i", i), Service: "s", Address: s.Listener.Addr().String(), Slots: 8,
			Models: map[string]layout.Held{"m": {}},
		})
	}
	w := &world{loader: &loader{}}
	w.front = front.New(t.Context(), front.Deps{
		Dialect: dialect{}, Pool: conns.New(t.Context()), Loader: w.loader, Reserver: r, Log: zap.NewNop(), Scope: tally.NoopScope,
	}, front.WithSettings(sched.Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}))
	route.Host, route.Prefix, route.Targets = "127.0.0.1", "/r/", []layout.Target{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 10 * time.Second
	}
	service := &layout.Service{Name: "s"}
	if route.Engines {
		service.Engines = &layout.Engines{Models: []layout.Model{{Name: "m"}, {Name: "other", StoreLoad: 9 * time.Second}}}
	}
	w.front.Apply(&layout.Config{Version: 1, Routes: []layout.Route{route}, Services: map[string]*layout.Service{"s": service}})
	w.front.Know(servers)
	s := httptest.NewServer(w.front)
	t.Cleanup(s.Close)
	w.url = s.URL
	return w
}

// stamped adds the stamp and the id to answers, unless they say that the call was not run.
func stamped(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "1")
		h(w, r)
	}
}

// reply is the head of an answer.
type reply struct {
	StatusCode int
	Header     http.Header
	// Close tells that the connection is closed after the answer.
	Close bool
}

func (w *world) do(t *testing.T, path string, header map[string]string) (reply, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.url+path, strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set("Id", "x1")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}, "", err
	}
	body, err := io.ReadAll(a.Body)
	require.NoError(t, a.Body.Close())
	return reply{a.StatusCode, a.Header, a.Close}, string(body), err
}

func ok(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

// reset breaks the connection after the call was read.
func reset(n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func refuse(n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		w.Header().Del("Stamp")
		w.Header().Set("Unrun", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func TestAnswersWithoutConfigurationAreRefusals(t *testing.T) {
	f := front.New(t.Context(), front.Deps{Dialect: dialect{}, Pool: conns.New(t.Context()), Log: zap.NewNop(), Scope: tally.NoopScope})
	r := httptest.NewRecorder()
	f.ServeHTTP(r, httptest.NewRequest(http.MethodGet, "/r/1", nil))
	require.Equal(t, http.StatusServiceUnavailable, r.Code)
	require.NotEmpty(t, r.Header().Get("Retry-After"))
}

func TestUnsafeCallRunsOnce(t *testing.T) {
	var n atomic.Int64
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 3}, reset(&n), reset(&n))
	a, _, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, a.StatusCode)
	require.EqualValues(t, 1, n.Load())
}

func TestUnsafeCallGoesOnAfterARefusalOfTheServer(t *testing.T) {
	var n atomic.Int64
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, refuse(&n), ok("done"))
	for range 6 {
		a, body, err := w.do(t, "/r/1", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode)
		require.Equal(t, "done", body)
	}
}

func TestRefusedByAllMeansNotRun(t *testing.T) {
	var n atomic.Int64
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, refuse(&n), refuse(&n))
	a, _, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.EqualValues(t, 2, n.Load())
}

func TestIdempotentCallIsSentAgainAndAFailureOfAllPassedOn(t *testing.T) {
	var n atomic.Int64
	fail := func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	}
	w := newWorld(t, layout.Route{Kind: layout.Idempotent, Attempts: 2}, fail, fail, fail)
	a, body, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, a.StatusCode)
	require.Equal(t, "failed", body)
	require.Equal(t, "1", a.Header.Get("Stamp"))
	require.EqualValues(t, 2, n.Load(), "no more servers than the route allows")
}

func TestAnswerWithoutStampIsNotPassedOn(t *testing.T) {
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Stamp")
		_, _ = io.WriteString(w, "who")
	})
	a, _, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, a.StatusCode)
}

func TestTruncatedAnswerIsNotPassedOn(t *testing.T) {
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	})
	a, _, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, a.StatusCode)
}

func TestCallersCannotSetTheInstance(t *testing.T) {
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Instance"))
	})
	_, body, err := w.do(t, "/r/1", map[string]string{"Instance": "mine"})
	require.NoError(t, err)
	require.Equal(t, "i0", body)
}

func TestUnknownRouteIs404(t *testing.T) {
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, ok(""))
	a, _, err := w.do(t, "/other/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, a.StatusCode)
}

// events writes events from first to last; cut breaks the stream off in the middle of
// another event.
func events(first, last int, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		from := first
		if n, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			from = n + 1
		}
		for i := from; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		}
		if cut {
			_, _ = fmt.Fprintf(w, "id: %d\nda", last+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func wanted(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

func TestResumableStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, Attempts: 2, Engines: true, Expectation: time.Second}
	for range 4 {
		w := newWorld(t, route, events(0, 5, true), events(0, 9, false))
		a, body, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode)
		require.Equal(t, wanted(0, 9), body)
	}
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Attempts: 2, Engines: true, Expectation: time.Second}
	w := newWorld(t, route, events(0, 5, true), events(0, 5, true))
	_, body, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
	require.Error(t, err)
	require.Equal(t, wanted(0, 5), body, "only whole events are passed on")
}

func TestCallerThatLeavesEndsTheCallAtTheServer(t *testing.T) {
	left := make(chan struct{})
	route := layout.Route{Kind: layout.Stream, Resumable: true, Attempts: 2, Engines: true, Expectation: time.Second}
	w := newWorld(t, route, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+"/r/1", strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set("Model", "m")
	a, err := http.DefaultClient.Do(r)
	if err == nil {
		require.NoError(t, a.Body.Close())
	}
	require.Error(t, err)
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the server still works on the call")
	}
}

func TestCallIsAnsweredAtTheTimeoutOfItsRoute(t *testing.T) {
	route := layout.Route{Kind: layout.Unsafe, Attempts: 1, Timeout: 200 * time.Millisecond}
	w := newWorld(t, route, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a, _, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, a.StatusCode)
}

func TestModelThatTakesTooLongToLoadIsRefusedAtOnce(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, Attempts: 2, Engines: true, Expectation: time.Second, Abandon: 2 * time.Second}
	w := newWorld(t, route, ok(""))
	a, _, err := w.do(t, "/r/1", map[string]string{"Model": "other"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	back, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, back, 2.0, "when the model may be there")
	require.EqualValues(t, 1, w.loader.wants.Load())
}

// TestLeavingDaemonRefusesCallsThatWait: a call that waited for a model used to be held
// until the process ended, without an answer.
func TestLeavingDaemonRefusesCallsThatWait(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Attempts: 1, Engines: true, Expectation: time.Second, Abandon: time.Minute, Timeout: time.Minute}
	w := newWorld(t, route, ok(""))
	go func() {
		for w.loader.wants.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		w.front.Leave(time.Now().Add(time.Minute))
	}()
	a, _, err := w.do(t, "/r/1", map[string]string{"Model": "other", "Deadline": "60000"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	require.True(t, a.Close, "the connection is closed after the answer")
}

func TestStoppingDaemonAnswersCallsThatWereSent(t *testing.T) {
	var got atomic.Int64
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, func(_ http.ResponseWriter, r *http.Request) {
		got.Add(1)
		<-r.Context().Done()
	})
	go func() {
		for got.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		w.front.Stop()
	}()
	a, _, err := w.do(t, "/r/1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, a.StatusCode)
}

// TestSilentEngineThatLivesKeepsItsStream: a stream used to be cut after 900 ms without
// an event, also when no other engine held the model.
func TestSilentEngineThatLivesKeepsItsStream(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, Attempts: 2, Engines: true, Expectation: time.Second, Abandon: 5 * time.Second}
	w := newWorld(t, route, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, wanted(0, 0))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2200 * time.Millisecond)
		_, _ = io.WriteString(w, wanted(1, 1))
	})
	_, body, err := w.do(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Equal(t, wanted(0, 1), body)
}

func TestOldConfigurationIsNotApplied(t *testing.T) {
	w := newWorld(t, layout.Route{Kind: layout.Unsafe, Attempts: 1}, ok(""))
	require.False(t, w.front.Apply(&layout.Config{Version: 1}))
	require.True(t, w.front.Apply(&layout.Config{Version: 5}))
	require.False(t, w.front.Apply(&layout.Config{Version: 4}))
}
