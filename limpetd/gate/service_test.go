package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
)

// startCountingService starts a service that counts its calls in runs, and
// returns the address.
func startCountingService(t *testing.T, runs *atomic.Int64) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		n := runs.Add(1)
		w.Header().Set("X-Run", r.Method)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, string(body)+"#"+string(rune('0'+n)))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestKeyedCallRunsOnceThroughTwoDaemons(t *testing.T) {
	var runs atomic.Int64
	service := []string{startCountingService(t, &runs)}
	table := &fakes.Table{}
	first := startGate(t, testConfig{doc: testDocument(), table: table, services: service})
	second := startGate(t, testConfig{doc: testDocument(), table: table, services: service})
	a := first.do(t, "POST", "/services/app/bookings", "seat 7", headerKey, "k1")
	b := second.do(t, "POST", "/services/app/bookings", "seat 7", headerKey, "k1")
	require.Equal(t, http.StatusCreated, b.status)
	require.Equal(t, a.body, b.body)
	require.Equal(t, a.header.Get("X-Run"), b.header.Get("X-Run"))
	require.Equal(t, "yes", b.header.Get(headerRun))
	c := second.do(t, "POST", "/services/app/bookings", "seat 8", headerKey, "k1")
	require.Equal(t, "1403", c.code())
	require.EqualValues(t, 1, runs.Load())
}

func TestKeyedCallDoesNotRunWhileTableIsDown(t *testing.T) {
	var runs atomic.Int64
	table := &fakes.Table{Fault: func(int) fakes.Fault { return fakes.Unavailable }}
	g := startGate(t, testConfig{doc: testDocument(), table: table, services: []string{startCountingService(t, &runs)}})
	resp := g.do(t, "POST", "/services/app/bookings", "seat 7", headerKey, "k1")
	require.Equal(t, "1400", resp.code())
	require.Equal(t, "no", resp.header.Get(headerRun))
	require.Zero(t, runs.Load())
}

func TestCallWithoutKeyRunsOncePerRequest(t *testing.T) {
	var runs atomic.Int64
	g := startGate(t, testConfig{doc: testDocument(), services: []string{startCountingService(t, &runs)}})
	g.do(t, "POST", "/services/app/bookings", "x")
	g.do(t, "GET", "/services/app/schedule/today?room=2", "")
	require.EqualValues(t, 2, runs.Load())
}

// TestKeyedCallRunsOnceAfterCallerDisconnects closes the caller's connection
// while the service runs the call, and repeats the call through another daemon.
func TestKeyedCallRunsOnceAfterCallerDisconnects(t *testing.T) {
	var runs atomic.Int64
	running, finish := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		close(running)
		<-finish
		_, _ = io.WriteString(w, "booked")
	}))
	defer s.Close()
	service := []string{strings.TrimPrefix(s.URL, "http://")}
	table := &fakes.Table{}
	first := startGate(t, testConfig{doc: testDocument(), table: table, services: service})
	second := startGate(t, testConfig{doc: testDocument(), table: table, services: service})

	conn, err := net.Dial("tcp", strings.TrimPrefix(first.url, "http://"))
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /services/app/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
		appKey+"\r\nIdempotency-Key: k1\r\nContent-Length: 6\r\n\r\nseat 7")
	require.NoError(t, err)
	<-running
	require.NoError(t, conn.Close())

	resp := second.do(t, "POST", "/services/app/bookings", "seat 7", headerKey, "k1")
	require.Equal(t, "1401", resp.code())
	require.Equal(t, "unknown", resp.header.Get(headerRun))
	require.Equal(t, "1", resp.header.Get("Retry-After"))
	close(finish)
	require.Eventually(t, func() bool { return first.gate.InFlight() == 0 }, waitTimeout, pollPeriod)
	resp = second.do(t, "POST", "/services/app/bookings", "seat 7", headerKey, "k1")
	require.Equal(t, "booked", resp.body)
	require.Equal(t, "yes", resp.header.Get(headerRun))
	require.EqualValues(t, 1, runs.Load())
}

// TestKeyedCallStaysUnknownAfterBackendServerAborts has the backend server run a
// call and close the connection without a response.
func TestKeyedCallStaysUnknownAfterBackendServerAborts(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	g := startGate(t, testConfig{doc: testDocument(), services: []string{strings.TrimPrefix(s.URL, "http://")}})
	resp := g.do(t, "POST", "/services/app/payments", "10", headerKey, "k1")
	require.Equal(t, "1303", resp.code())
	require.Equal(t, "unknown", resp.header.Get(headerRun))
	for range 3 {
		resp = g.do(t, "POST", "/services/app/payments", "10", headerKey, "k1")
		require.Equal(t, "1402", resp.code())
	}
	require.EqualValues(t, 1, runs.Load())
}

// TestRunNoFromBackendServerReleasesKey has the service reject the first call
// with the run state "no". A repeat with the same key then runs.
func TestRunNoFromBackendServerReleasesKey(t *testing.T) {
	var runs, calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set(headerRun, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		runs.Add(1)
	}))
	defer s.Close()
	g := startGate(t, testConfig{doc: testDocument(), services: []string{strings.TrimPrefix(s.URL, "http://")}})
	resp := g.do(t, "POST", "/services/app/payments", "10", headerKey, "k1")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.Equal(t, "no", resp.header.Get(headerRun))
	resp = g.do(t, "POST", "/services/app/payments", "10", headerKey, "k1")
	require.Equal(t, http.StatusOK, resp.status)
	require.EqualValues(t, 1, runs.Load())
}

// TestRejectionWithoutRunHeaderIsNotRepeated has the service run the call and
// then respond with status 503 without a run state.
func TestRejectionWithoutRunHeaderIsNotRepeated(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	g := startGate(t, testConfig{doc: testDocument(), services: []string{strings.TrimPrefix(s.URL, "http://")}})
	for range 2 {
		resp := g.do(t, "POST", "/services/app/payments", "10", headerKey, "k1")
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Equal(t, "unknown", resp.header.Get(headerRun))
	}
	require.EqualValues(t, 1, runs.Load())
}

// TestTruncatedServiceResponseAbortsConnection has the service abort in the
// middle of its response. The caller must get an error, not a response that looks
// complete.
func TestTruncatedServiceResponseAbortsConnection(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	g := startGate(t, testConfig{doc: testDocument(), services: []string{strings.TrimPrefix(s.URL, "http://")}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /services/app/schedule/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+appKey+"\r\n\r\n")
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	_, err = io.ReadAll(r.Body)
	require.Error(t, err)
	require.Eventually(t, func() bool { return g.gate.InFlight() == 0 }, waitTimeout, pollPeriod)
}

// TestHopByHopHeadersAreNotForwarded checks the headers of the request and of the
// response.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set("Keep-Alive", "9")
		w.Header().Set(headerCode, "9999")
		w.Header().Set("X-Own", "1")
	}))
	defer s.Close()
	g := startGate(t, testConfig{doc: testDocument(), services: []string{strings.TrimPrefix(s.URL, "http://")}})
	resp := g.do(t, "GET", "/services/app/schedule/1", "", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "1")
	require.Empty(t, got.Get("X-Hop"))
	require.Empty(t, got.Get("Authorization"), "the caller's key must not reach a backend server")
	require.Equal(t, "1", got.Get("X-Kept"))
	require.Equal(t, resp.header.Get(headerRequestID), got.Get(headerRequestID))
	require.Empty(t, resp.header.Get("Keep-Alive"))
	require.Equal(t, []string{"0"}, resp.header.Values(headerCode))
	require.Equal(t, "1", resp.header.Get("X-Own"))
}

// TestCompleteEventsAreForwarded guards against cutting off whole responses: those whose length or
// last chunk says so although no blank line ends the last event, compressed ones, and those to
// HEAD.
func TestCompleteEventsAreForwarded(t *testing.T) {
	const events = "data: a\n\ndata: b\n"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		switch r.URL.Query().Get("framing") {
		case "length":
			w.Header().Set("Content-Length", strconv.Itoa(len(events)))
		case "compressed":
			// HTTP/1.0 has no chunks, so that the connection ends the body.
			w.Header().Set("Content-Encoding", "gzip")
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n\r\n"+events)
				_ = c.Close()
			}
			return
		}
		_, _ = io.WriteString(w, events)
		_ = http.NewResponseController(w).Flush()
	}))
	defer s.Close()
	doc := testDocument()
	doc.Services[0].Paths = append(doc.Services[0].Paths, envdoc.Path{Method: "HEAD", Path: "/schedule/*", Repeatable: true})
	g := startGate(t, testConfig{doc: doc, services: []string{strings.TrimPrefix(s.URL, "http://")}})
	for _, framing := range []string{"length", "chunked", "compressed"} {
		path := "/services/app/schedule/x?framing=" + framing
		response := g.do(t, "GET", path, "", "Accept-Encoding", "gzip")
		require.Equal(t, http.StatusOK, response.status, framing)
		require.Equal(t, events, response.body, framing)
		require.Equal(t, http.StatusOK, g.do(t, "HEAD", path, "").status, framing)
	}
	response := g.do(t, "POST", "/services/app/bookings?framing=chunked", "x", headerKey, "k1")
	require.Equal(t, events, response.body)
	require.Equal(t, events, g.do(t, "POST", "/services/app/bookings?framing=chunked", "x", headerKey, "k1").body, "kept for the key")
}
