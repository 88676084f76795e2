package front_test

import (
	"bufio"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/broken"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// startBroken starts a server that breaks off the response to the first of all requests. It
// answers the others, from the event after the header Last on, with the rest of the body. The
// body is a stream of events if it begins like one.
func startBroken(t *testing.T, b broken.Response, requests *atomic.Int64) string {
	t.Helper()
	contentType := "text/event-stream"
	if strings.HasPrefix(b.Body, "x") {
		contentType = "text/plain"
	}
	s := broken.Server{Response: b, Requests: requests}
	s.Header = func(r *http.Request) http.Header {
		return http.Header{"Id": {r.Header.Get("Id")}, "Stamp": {"1"}, "Content-Type": {contentType}}
	}
	s.Rest = func(r *http.Request) string {
		last := r.Header.Get("Last")
		if last == "" {
			return b.Body
		}
		_, rest, _ := strings.Cut(b.Body, "data: e"+last+"\n\n")
		return rest
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go s.Serve(l)
	return l.Addr().String()
}

// received is what a caller received.
type received struct {
	status int
	body   string
	// complete is whether the response is complete by its framing.
	complete bool
}

// openRaw sends a call in the given version of HTTP, with additional header lines, and reads the
// head of the response.
func (fx *fixture) openRaw(t *testing.T, protocol, method string, headers ...string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(fx.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "%s /r/1 %s\r\nHost: 127.0.0.1\r\nId: x1\r\nModel: m\r\n%s\r\n", method, protocol, strings.Join(headers, ""))
	require.NoError(t, err)
	return http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
}

// callRaw sends a call like openRaw and reads the response.
func (fx *fixture) callRaw(t *testing.T, protocol, method string, headers ...string) received {
	t.Helper()
	response, err := fx.openRaw(t, protocol, method, headers...)
	if err != nil {
		return received{}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return received{response.StatusCode, string(body), err == nil}
}

// TestStreamOfEndedDaemonIsNotComplete guards against a stream that looks complete to a caller
// that uses HTTP/1.0 because the daemon ended, which closes its connections.
func TestStreamOfEndedDaemonIsNotComplete(t *testing.T) {
	for _, caller := range callers {
		fx := newFixture(t, streamKind, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, eventText(0, 1))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		response, err := fx.openRaw(t, caller.protocol, http.MethodGet, caller.header)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, len(eventText(0, 1))))
		require.NoError(t, err)
		fx.server.CloseClientConnections()
		_, err = io.ReadAll(response.Body)
		require.Error(t, err, caller.name)
		_ = response.Body.Close()
	}
}

// streamKind and callKind are routes to one server.
var (
	streamKind = layout.Route{Kind: layout.Stream, MaxAttempts: 1, ToEngines: true, Expectation: time.Second}
	callKind   = layout.Route{Kind: layout.Idempotent, MaxAttempts: 1}
)

// silentTimeout is the timeout of a route that ends a silent response.
const silentTimeout = 300 * time.Millisecond

// TestStreamWithoutEventsIsNotComplete guards against a stream that is forwarded as complete
// because its connection was closed before the first event.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	fx := newFixtureWithServers(t, nil, streamKind, startBroken(t, broken.Response{Framing: conns.UntilClose, Body: eventText(0, 3), Ending: broken.Closed}, &atomic.Int64{}))
	got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
	require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
}

// TestResetStreamIsNotComplete guards against a stream that is forwarded as complete because
// the error of a reset connection was lost.
func TestResetStreamIsNotComplete(t *testing.T) {
	for _, events := range []int{0, 2} {
		b := broken.Response{Framing: conns.UntilClose, Body: eventText(0, 3), Sent: len(eventText(0, events-1)), Ending: broken.Reset}
		got := newFixtureWithServers(t, nil, streamKind, startBroken(t, b, &atomic.Int64{})).callRaw(t, "HTTP/1.1", http.MethodGet)
		require.False(t, got.complete && got.status == http.StatusOK, "%d events: %+v", events, got)
	}
}

// TestBrokenStreamIsNotCompleteForHTTP10 guards against a broken response whose end a caller
// that uses HTTP/1.0 takes for complete, because its connection was closed without an error.
func TestBrokenStreamIsNotCompleteForHTTP10(t *testing.T) {
	b := broken.Response{Framing: conns.Chunked, Body: eventText(0, 3), Sent: len(eventText(0, 1)), Ending: broken.Reset}
	got := newFixtureWithServers(t, nil, streamKind, startBroken(t, b, &atomic.Int64{})).callRaw(t, "HTTP/1.0", http.MethodGet)
	require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
}

// callers are the ways in which callers let responses end.
var callers = []struct{ name, protocol, header string }{
	{"1.1", "HTTP/1.1", ""},
	{"1.1_close", "HTTP/1.1", "Connection: close\r\n"},
	{"1.0", "HTTP/1.0", ""},
	{"1.0_keep_alive", "HTTP/1.0", "Connection: keep-alive\r\n"},
}

// TestBrokenResponseLooksBroken breaks off responses of each framing at each point. A response
// that ends with its connection is complete if the server closes the connection and, in a
// stream, the last event is complete.
func TestBrokenResponseLooksBroken(t *testing.T) {
	stream := eventText(0, 3)
	call := strings.Repeat("x", 600)
	inside := strings.Index(stream, "data: e2") + 3
	for _, c := range []struct {
		name  string
		route layout.Route
		whole string
		sent  []int
	}{
		{"stream", streamKind, stream, []int{0, 5, len(eventText(0, 0)) - 1, len(eventText(0, 0)), len(eventText(0, 1)), inside, len(stream) - 1}},
		{"call", callKind, call, []int{0, 1, len(call) - 1}},
		{"buffered_events", callKind, stream, []int{0, 5, len(eventText(0, 1)), inside}},
	} {
		for _, b := range broken.Responses(c.whole, c.sent...) {
			for _, caller := range callers {
				t.Run(fmt.Sprintf("%s/%s/%s", c.name, b, caller.name), func(t *testing.T) {
					t.Parallel()
					route := c.route
					if b.Ending == broken.Silent {
						route.Timeout = silentTimeout
					}
					got := newFixtureWithServers(t, nil, route, startBroken(t, b, &atomic.Int64{})).callRaw(t, caller.protocol, http.MethodGet, caller.header)
					complete := b.LooksComplete(c.name != "call")
					require.Equal(t, complete, got.complete && got.status == http.StatusOK, "%+v", got)
					if complete {
						require.Equal(t, b.Body[:b.Sent], got.body)
					}
				})
			}
		}
	}
}

// TestBrokenStreamIsResumed breaks off streams of each framing at each point; the caller gets
// each event once.
func TestBrokenStreamIsResumed(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second}
	stream := eventText(0, 3)
	for _, b := range broken.Responses(stream, 0, 5, len(eventText(0, 1)), len(stream)-1) {
		if b.LooksComplete(true) || b.Ending == broken.Silent {
			continue // A silent engine that accepts connections keeps its streams.
		}
		t.Run(b.String(), func(t *testing.T) {
			t.Parallel()
			requests := &atomic.Int64{}
			fx := newFixtureWithServers(t, nil, route, startBroken(t, b, requests), startBroken(t, b, requests))
			got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
			require.True(t, got.complete, "%+v", got)
			require.Equal(t, stream, got.body)
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against a resumed stream that repeats events, because the
// caller has received events without an id.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second}
	for _, stream := range []string{"data: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\ndata: c\n\n", "id:\ndata: a\n\nid:\ndata: b\n\ndata: c\n\n", "id: 1\ndata: a\n\nid: x\ndata: b\n\ndata: c\n\n"} {
		sent := len(stream) - len("data: c\n\n")
		b := broken.Response{Framing: conns.Chunked, Body: stream, Sent: sent, Ending: broken.Reset}
		requests := &atomic.Int64{}
		fx := newFixtureWithServers(t, nil, route, startBroken(t, b, requests), startBroken(t, b, requests))
		got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
		require.False(t, got.complete, "%+v", got)
		require.Equal(t, stream[:sent], got.body)
		require.EqualValues(t, 1, requests.Load())
	}
}

// TestBrokenResponseIsLogged checks the fields of the log line of a broken response whose stream
// was resumed.
func TestBrokenResponseIsLogged(t *testing.T) {
	route := layout.Route{Kind: layout.Stream, Resumable: true, MaxAttempts: 2, ToEngines: true, Expectation: time.Second}
	b := broken.Response{Framing: conns.UntilClose, Body: eventText(0, 3), Sent: len(eventText(0, 1)) + 3, Ending: broken.Reset}
	requests := &atomic.Int64{}
	fx := newFixtureWithServers(t, nil, route, startBroken(t, b, requests), startBroken(t, b, requests))
	require.True(t, fx.callRaw(t, "HTTP/1.1", http.MethodGet).complete)
	lines := fx.logs.FilterMessage("response_broken").All()
	require.Len(t, lines, 1)
	fields := lines[0].ContextMap()
	require.Equal(t, "close", fields["framing"])
	require.EqualValues(t, b.Sent, fields["bytes"])
	require.EqualValues(t, 2, fields["events"])
	require.Contains(t, fields["read_error"], "reset by peer")
}

// TestLogsTellEndsOfEmptyStreamsApart guards against log lines that are the same for a stream whose
// server closed the connection before the first event and for one that was reset.
func TestLogsTellEndsOfEmptyStreamsApart(t *testing.T) {
	for _, c := range []struct {
		framing   conns.Framing
		ending    broken.Ending
		readError string
	}{
		{conns.UntilClose, broken.Closed, "EOF"},
		{conns.UntilClose, broken.Reset, "reset by peer"},
		{conns.Chunked, broken.Closed, "EOF"},
	} {
		b := broken.Response{Framing: c.framing, Body: eventText(0, 3), Ending: c.ending}
		fx := newFixtureWithServers(t, nil, streamKind, startBroken(t, b, &atomic.Int64{}))
		require.Equal(t, http.StatusBadGateway, fx.callRaw(t, "HTTP/1.1", http.MethodGet).status)
		lines := fx.logs.FilterMessage("response_broken").All()
		require.Len(t, lines, 1, b)
		fields := lines[0].ContextMap()
		require.EqualValues(t, c.framing, fields["framing"], b)
		require.EqualValues(t, 0, fields["events"], b)
		require.Contains(t, fields["read_error"], c.readError, b)
	}
}

// TestCompressedStreamIsForwarded guards against searching compressed bytes for the ends of events, by
// which a complete stream counts as broken.
func TestCompressedStreamIsForwarded(t *testing.T) {
	compressed := gzipped(t, eventText(0, 3))
	for _, sent := range []int{len(compressed), len(compressed) / 2} {
		fx := newFixture(t, streamKind, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Content-Encoding", "gzip")
			w.Header().Set("Content-Length", strconv.Itoa(len(compressed)))
			_, _ = io.WriteString(w, compressed[:sent])
		})
		got := fx.callRaw(t, "HTTP/1.1", http.MethodGet)
		if whole := sent == len(compressed); !whole {
			require.False(t, got.complete && got.status == http.StatusOK, "%+v", got)
			continue
		}
		require.Equal(t, received{http.StatusOK, compressed, true}, got)
	}
}

// gzipped returns a text in compressed form.
func gzipped(t *testing.T, text string) string {
	t.Helper()
	var b strings.Builder
	w := gzip.NewWriter(&b)
	_, err := io.WriteString(w, text)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return b.String()
}

// TestResponseWithoutBodyIsComplete guards against waiting for the events of a response to HEAD.
func TestResponseWithoutBodyIsComplete(t *testing.T) {
	fx := newFixture(t, streamKind, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
	})
	require.Equal(t, received{http.StatusOK, "", true}, fx.callRaw(t, "HTTP/1.1", http.MethodHead))
}

// TestStreamIsForwardedUnchanged sends streams with other line ends, comments, and bytes after
// the last event.
func TestStreamIsForwardedUnchanged(t *testing.T) {
	for _, stream := range []string{"data: a\r\n\r\ndata: b\r\n\r\n", "data: a\r\r", ": a\n\ndata: b\n\n: c\n", "data: a\n\n\n\n", ": a\n"} {
		for _, framing := range []conns.Framing{conns.Length, conns.UntilClose} {
			if framing == conns.UntilClose && !strings.Contains(stream, "data") {
				continue // no event
			}
			whole := broken.Response{Framing: framing, Body: stream, Sent: len(stream), Ending: broken.Closed}
			got := newFixtureWithServers(t, nil, streamKind, startBroken(t, whole, &atomic.Int64{})).callRaw(t, "HTTP/1.1", http.MethodGet)
			require.Equal(t, received{http.StatusOK, stream, true}, got, "%s %q", framing, stream)
		}
	}
}

// TestDocumentOnStreamRouteIsForwarded guards against aborting a complete response on a stream
// route because it is no stream of events.
func TestDocumentOnStreamRouteIsForwarded(t *testing.T) {
	const document = "xml"
	for _, b := range broken.Responses(document, 0, len(document)-1, len(document)) {
		if b.Sent == len(document) && b.Framing == conns.Chunked || b.Ending == broken.Silent {
			continue // The last chunk is missing, or the route's timeout ends the response.
		}
		got := newFixtureWithServers(t, nil, streamKind, startBroken(t, b, &atomic.Int64{})).callRaw(t, "HTTP/1.1", http.MethodGet)
		complete := b.LooksComplete(false)
		require.Equal(t, complete, got.complete && got.status == http.StatusOK, "%s: %+v", b, got)
		if complete {
			require.Equal(t, document[:b.Sent], got.body, b.String())
		}
	}
}
