package gate

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/fakes"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/wire"
)

const (
	appKey     = "key-app"
	otherKey   = "key-other"
	chatBody   = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
	streamBody = `{"model":"a","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hello"}]}`
)

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testDocument() *envdoc.Document {
	return &envdoc.Document{
		Environment: "test",
		Priorities: []envdoc.Priority{
			{Name: "live", FirstToken: envdoc.Duration(time.Second)},
			{Name: "night", Rank: 9, Deferred: true, Deadline: envdoc.Duration(time.Hour)},
		},
		Models: []envdoc.Model{
			{Name: "m", Version: "1", Adapters: []envdoc.Adapter{{Name: "a", Version: "1"}}},
			{Name: "hidden", Version: "1"},
		},
		Callers: []envdoc.Caller{
			{Name: "app", KeySHA256: keyDigest(appKey), Priorities: []string{"live", "night"}, Models: []string{"m"}},
			{Name: "other", KeySHA256: keyDigest(otherKey), Priorities: []string{"night"}, Services: []string{"none"}},
		},
		Services: []envdoc.Service{{Name: "app", Pool: "app", Paths: []envdoc.Path{
			{Method: "GET", Path: "/schedule/*", Repeatable: true},
			{Method: "POST", Path: "/bookings"},
			{Method: "POST", Path: "/payments", KeyRequired: true},
		}}},
	}
}

type staticDocuments struct{ doc *envdoc.Document }

func (d staticDocuments) Document() (*envdoc.Document, bool) { return d.doc, d.doc != nil }

// testGate is a running Gate with fakes of the platform and the engines.
type testGate struct {
	gate    *Gate
	server  *httptest.Server
	url     string
	table   *fakes.Table
	engines *fakes.Generator
}

// testConfig configures a testGate. Zero values select defaults; without a doc no
// environment document is in force.
type testConfig struct {
	config   Config
	table    *fakes.Table
	services []string
	doc      *envdoc.Document
	engines  *fakes.Generator
	// serviceTimeout is the timeout of calls to plain services.
	serviceTimeout time.Duration
	// guard bounds the memory of callers; nil means no limit.
	guard *guard.Guard
}

// startGate starts a Gate that is stopped at the end of the test.
func startGate(t *testing.T, c testConfig) *testGate {
	if c.table == nil {
		c.table = &fakes.Table{}
	}
	if c.engines == nil {
		c.engines = &fakes.Generator{Tokens: 3}
	}
	vms := c.services
	if vms == nil {
		vms = []string{"e1", "e2"}
	}
	docs := staticDocuments{c.doc}
	ctx, cancel := context.WithCancel(context.Background())
	var options []relay.Option
	if c.serviceTimeout > 0 {
		options = append(options, relay.WithServiceTimeout(c.serviceTimeout))
	}
	r := relay.New(relay.Deps{Generator: c.engines, Admitter: &fakes.Admitter{VMs: vms}}, options...)
	claims := claim.New(ctx, claim.Config{Environment: "test"}, claim.Deps{Table: c.table})
	batches := batch.New(ctx, batch.Config{Instance: "i", Environment: "test"}, batch.Deps{
		Table: c.table, Objects: &fakes.Objects{}, Answerer: r, Documents: docs,
	})
	g := New(c.config, Deps{Documents: docs, Relay: r, Claims: claims, Batches: batches, Guard: c.guard})
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.Server()
	server.Listener = g.Listener(server.Listener)
	server.Start()
	t.Cleanup(func() {
		server.Close()
		cancel()
		require.NoError(t, claims.Wait())
		require.NoError(t, batches.Wait())
	})
	return &testGate{gate: g, server: server, url: server.URL, table: c.table, engines: c.engines}
}

// response is the HTTP response that a caller received.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func (r response) code() string { return r.header.Get(headerCode) }

func (r response) wireError(t *testing.T) wire.Error {
	var e wire.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(r.body), &e))
	return e.Error
}

// do sends a request with the key of caller app and returns the response. The
// header arguments are pairs of a name and a value.
func (g *testGate) do(t *testing.T, method, path, body string, header ...string) response {
	q, err := http.NewRequestWithContext(t.Context(), method, g.url+path, strings.NewReader(body))
	require.NoError(t, err)
	q.Header.Set("Authorization", "Bearer "+appKey)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	r, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return response{status: r.StatusCode, header: r.Header, trailer: r.Trailer, body: string(text)}
}

func TestChatReturnsWholeResponse(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument()})
	resp := g.do(t, "POST", batch.PathChat, chatBody)
	require.Equal(t, http.StatusOK, resp.status)
	require.Equal(t, "0", resp.code())
	require.Equal(t, "yes", resp.header.Get(headerRun))
	require.NotEmpty(t, resp.header.Get(headerRequestID))
	require.Contains(t, resp.body, `"content":"0 1 2 "`)
	require.Contains(t, resp.body, `"completion_tokens":3`)
}

func TestChatStreamEndsWithDoneAndTrailers(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument()})
	resp := g.do(t, "POST", batch.PathChat, streamBody)
	require.Equal(t, "text/event-stream", resp.header.Get("Content-Type"))
	require.Equal(t, "0", resp.trailer.Get(headerCode))
	require.Equal(t, "yes", resp.trailer.Get(headerRun))
	require.True(t, strings.HasSuffix(resp.body, wire.DoneEvent))
	require.Contains(t, resp.body, `"finish_reason":"stop"`)
	require.Contains(t, resp.body, `"completion_tokens":3`)
}

func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	engines := &fakes.Generator{Tokens: 3, Script: func(_ int, _ string, f []engine.Frame) []engine.Frame {
		return append(f[:1:1], engine.Frame{Attempt: f[0].Attempt, Error: "fault"})
	}}
	g := startGate(t, testConfig{doc: testDocument(), engines: engines})
	resp := g.do(t, "POST", batch.PathChat, streamBody)
	require.NotContains(t, resp.body, "[DONE]")
	require.Contains(t, resp.body, `data: {"error":{`)
	require.Equal(t, "1300", resp.trailer.Get(headerCode))
	require.Equal(t, "yes", resp.trailer.Get(headerRun))
}

func TestInvalidRequestsReturnSpecificCodes(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument(), config: Config{MaxBodyBytes: 1000}})
	long := strings.Repeat("x", 1001)
	cases := []struct {
		name, method, path, body string
		header                   []string
		code                     code.Code
	}{
		{"malformed JSON", "POST", batch.PathChat, `{"model":`, nil, code.MalformedBody},
		{"two values", "POST", batch.PathChat, chatBody + "{}", nil, code.MalformedBody},
		{"wrong type", "POST", batch.PathChat, `{"model":1}`, nil, code.MalformedBody},
		{"no messages", "POST", batch.PathChat, `{"model":"m"}`, nil, code.BadParameter},
		{"negative length", "POST", batch.PathCompletion, `{"model":"m","prompt":"p","max_tokens":-1}`, nil, code.BadParameter},
		{"unknown model", "POST", batch.PathCompletion, `{"model":"z","prompt":"p"}`, nil, code.UnknownModel},
		{"model of another caller", "POST", batch.PathCompletion, `{"model":"hidden","prompt":"p"}`, nil, code.Forbidden},
		{"wrong key", "POST", batch.PathChat, chatBody, []string{"Authorization", "Bearer z"}, code.BadKey},
		{"no key", "POST", batch.PathChat, chatBody, []string{"Authorization", ""}, code.BadKey},
		{"oversized header", "POST", batch.PathChat, chatBody, []string{"X-Long", strings.Repeat("x", DefaultMaxHeaderBytes)}, code.HeaderTooLarge},
		{"oversized header without a key", "GET", "/v1/models", "", []string{"Authorization", strings.Repeat("x", DefaultMaxHeaderBytes)}, code.HeaderTooLarge},
		{"oversized URL", "GET", "/v1/models?" + strings.Repeat("x", DefaultMaxHeaderBytes), "", nil, code.HeaderTooLarge},
		{"oversized body", "POST", batch.PathChat, long, nil, code.BodyTooLarge},
		{"content type", "POST", batch.PathChat, chatBody, []string{"Content-Type", "text/plain"}, code.BadContentType},
		{"unknown priority", "POST", batch.PathChat, chatBody, []string{headerPriority, "z"}, code.UnknownPriority},
		{"unknown path", "POST", "/v1/orders", "", nil, code.UnknownPath},
		{"undeclared service", "GET", "/services/z/a", "", nil, code.UnknownPath},
		{"undeclared path", "POST", "/services/app/orders", "", nil, code.UnknownPath},
		{"undeclared method", "DELETE", "/services/app/bookings", "", nil, code.UnknownPath},
		{"path with dots", "GET", "/services/app/schedule/../orders", "", nil, code.UnknownPath},
		{"path with encoded dots", "GET", "/services/app/schedule/%2e%2e/orders", "", nil, code.UnknownPath},
		{"path with encoded slash", "GET", "/services/app/schedule/..%2forders", "", nil, code.UnknownPath},
		{"path with encoded slash below", "GET", "/services/app/schedule/a%2fb", "", nil, code.UnknownPath},
		{"path with double slash", "GET", "/services/app//schedule/1", "", nil, code.UnknownPath},
		{"service of another caller", "POST", "/services/app/bookings", "", []string{"Authorization", "Bearer " + otherKey}, code.Forbidden},
		{"key required", "POST", "/services/app/payments", "", nil, code.KeyRequired},
		{"key too long", "POST", "/services/app/payments", "", []string{headerKey, strings.Repeat("k", 129)}, code.KeyTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := g.do(t, c.method, c.path, c.body, c.header...)
			e := resp.wireError(t)
			require.Equal(t, c.code.Info().Name, e.Name, e.Message)
			require.Equal(t, int(c.code), e.Code)
			require.Equal(t, c.code.Info().Status, resp.status)
			require.Equal(t, code.RunNo, e.Run)
			require.Equal(t, "no", resp.header.Get(headerRun))
			require.Equal(t, e.RequestID, resp.header.Get(headerRequestID))
		})
	}
	require.Empty(t, g.engines.Requests(), "a rejected request reached an engine")
}

// TestHeaderFarBeyondLimitIsRefusedWithCode sends a header that is refused before it is
// parsed, and one that is just within MaxHeaderBytes.
func TestHeaderFarBeyondLimitIsRefusedWithCode(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument()})
	resp := g.do(t, "GET", "/v1/models", "", "X-Long", strings.Repeat("x", (headerLimitFactor+1)*DefaultMaxHeaderBytes))
	e := resp.wireError(t)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.status)
	require.Equal(t, int(code.HeaderTooLarge), e.Code)
	require.Equal(t, "no", resp.header.Get(headerRun))
	require.Equal(t, e.RequestID, resp.header.Get(headerRequestID))
	resp = g.do(t, "GET", "/v1/models", "", "X-Long", strings.Repeat("x", DefaultMaxHeaderBytes-1<<10))
	require.Equal(t, http.StatusOK, resp.status)
}

func TestSlowBodyTimesOut(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument(), config: Config{BodyTimeout: 20 * time.Millisecond}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST "+batch.PathChat+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+appKey+"\r\nContent-Length: 50\r\n\r\n{")
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	require.Equal(t, http.StatusRequestTimeout, r.StatusCode)
	require.Equal(t, "1106", r.Header.Get(headerCode))
}

// Time limit and poll period of require.Eventually, for conditions that another
// goroutine brings about.
const (
	waitTimeout = 20 * time.Second
	pollPeriod  = time.Millisecond
)

// openStream sends a request for a stream and returns the connection without
// reading the response.
func (g *testGate) openStream(t testing.TB) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	require.NoError(t, err)
	body := fmt.Sprintf(`{"model":"m","prompt":"p","stream":true,"max_tokens":%d}`, wire.MaxTokensLimit)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		batch.PathCompletion, appKey, len(body), body)
	require.NoError(t, err)
	return conn
}

func TestSlowStreamReaderIsDisconnectedAndAttemptCancelled(t *testing.T) {
	text := strings.Repeat("x", 1000)
	engines := &fakes.Generator{Tokens: wire.MaxTokensLimit, Script: func(_ int, _ string, f []engine.Frame) []engine.Frame {
		for i := range f[:len(f)-1] {
			f[i].Text = text
		}
		return f
	}}
	g := startGate(t, testConfig{doc: testDocument(), engines: engines, config: Config{WriteTimeout: 50 * time.Millisecond}})
	conn := g.openStream(t)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return len(engines.Cancelled()) == 1 }, waitTimeout, pollPeriod)
	require.Eventually(t, func() bool { return g.gate.InFlight() == 0 }, waitTimeout, pollPeriod)
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	engines := &fakes.Generator{Tokens: 3, Block: true, Script: func(_ int, _ string, f []engine.Frame) []engine.Frame { return f[:1] }}
	g := startGate(t, testConfig{doc: testDocument(), engines: engines})
	conn := g.openStream(t)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "200")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return len(engines.Cancelled()) == 1 }, waitTimeout, pollPeriod)
	require.Eventually(t, func() bool { return g.gate.InFlight() == 0 }, waitTimeout, pollPeriod)
}

func TestInFlightRequestCompletesWhileLeaving(t *testing.T) {
	release := make(chan struct{})
	engines := &fakes.Generator{Tokens: 3, Script: func(_ int, _ string, f []engine.Frame) []engine.Frame {
		<-release
		return f
	}}
	g := startGate(t, testConfig{doc: testDocument(), engines: engines})
	responses := make(chan response, 1)
	go func() { responses <- g.do(t, "POST", batch.PathChat, streamBody) }()
	require.Eventually(t, func() bool { return g.gate.InFlight() == 1 }, waitTimeout, pollPeriod)
	g.gate.Leave()
	close(release)
	resp := <-responses
	require.True(t, strings.HasSuffix(resp.body, wire.DoneEvent))
	require.Equal(t, "0", resp.trailer.Get(headerCode))
}

func TestModelsListsOnlyPermittedModels(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument()})
	resp := g.do(t, "GET", "/v1/models", "")
	require.Contains(t, resp.body, `"id":"m"`)
	require.Contains(t, resp.body, `"id":"a"`)
	require.NotContains(t, resp.body, "hidden")
}

func TestLeavingRejectsNewRequests(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument()})
	require.Equal(t, http.StatusOK, g.do(t, "GET", "/readyz", "").status)
	g.gate.Leave()
	require.Equal(t, http.StatusServiceUnavailable, g.do(t, "GET", "/readyz", "").status)
	resp := g.do(t, "POST", batch.PathChat, chatBody)
	require.Equal(t, "1001", resp.code())
	require.Equal(t, "no", resp.header.Get(headerRun))
	require.Equal(t, "1", resp.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, g.do(t, "GET", "/livez", "").status)
}

func TestNotReadyWithoutDocument(t *testing.T) {
	g := startGate(t, testConfig{})
	require.Contains(t, g.do(t, "GET", "/readyz", "").body, `"no_document"`)
	require.Equal(t, "1002", g.do(t, "POST", batch.PathChat, chatBody).code())
}

func TestBatchesOfOtherCallersAreHidden(t *testing.T) {
	g := startGate(t, testConfig{doc: testDocument()})
	lines := `{"custom_id":"1","url":"/v1/completions","body":{"model":"m","prompt":"p"}}` + "\n"
	resp := g.do(t, "POST", "/v1/batches", lines, "Content-Type", "application/jsonl")
	require.Equal(t, http.StatusAccepted, resp.status, resp.body)
	var view batchView
	require.NoError(t, json.Unmarshal([]byte(resp.body), &view))
	other := []string{"Authorization", "Bearer " + otherKey}
	require.Contains(t, g.do(t, "GET", "/v1/batches", "").body, view.ID)
	require.NotContains(t, g.do(t, "GET", "/v1/batches", "", other...).body, view.ID)
	for _, path := range []string{"", "/result"} {
		require.Equal(t, "1501", g.do(t, "GET", "/v1/batches/"+view.ID+path, "", other...).code())
	}
	require.Equal(t, "1501", g.do(t, "POST", "/v1/batches/"+view.ID+"/cancel", "", other...).code())
	require.Equal(t, http.StatusOK, g.do(t, "POST", "/v1/batches/"+view.ID+"/cancel", "").status)
	require.Contains(t, g.do(t, "GET", "/v1/batches/"+view.ID, "").body, `"cancelled"`)
}

func FuzzDecodeJSONLines(f *testing.F) {
	f.Add(`{"custom_id":"1","url":"/v1/completions","body":{}}` + "\n" + `{"custom_id":"2"}`)
	f.Add("{}{}")
	f.Add("[")
	f.Fuzz(func(t *testing.T, body string) {
		items, err := decodeJSONLines([]byte(body))
		if err != nil {
			require.Contains(t, []code.Code{code.MalformedBody, code.BadParameter}, code.Of(err))
			return
		}
		require.LessOrEqual(t, len(items), batch.MaxItems)
	})
}
