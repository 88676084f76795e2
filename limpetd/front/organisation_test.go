package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// organise puts a version of the configuration in force in which the organisations have the keys.
func (fx *fixture) organise(t *testing.T, keys map[string]*layout.Organisation, public bool) {
	t.Helper()
	c := *fx.front.Config()
	c.Version++
	c.Organisations, c.Keys = nil, layout.NewKeyIndex(len(keys))
	for key, o := range keys {
		c.Organisations = append(c.Organisations, o)
		require.True(t, c.Keys.Add(key, o))
	}
	c.Routes = append([]layout.Route(nil), c.Routes...)
	c.Routes[0].Public = public
	require.True(t, fx.front.Apply(&c))
}

// send sends a call with the given headers and returns its status and everything that the caller received.
func (fx *fixture) send(t *testing.T, path string, h http.Header) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fx.url+path, strings.NewReader("body"))
	require.NoError(t, err)
	h.Set("Id", "x1")
	r.Header = h
	a, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	body, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return a.StatusCode, fmt.Sprint(a.Header, string(body))
}

// recordingDialer keeps what is written to servers, directly or through another daemon, and calls onDial before.
type recordingDialer struct {
	net.Dialer
	mu     sync.Mutex
	sent   bytes.Buffer
	onDial func()
}

type recordedConn struct {
	net.Conn
	dialer *recordingDialer
}

func (d *recordingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.onDial != nil {
		d.onDial()
	}
	c, err := d.Dialer.DialContext(ctx, network, address)
	return &recordedConn{c, d}, err
}

func (c *recordedConn) Write(b []byte) (int, error) {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	c.dialer.sent.Write(b)
	return c.Conn.Write(b)
}

// take returns what was written since the last call.
func (d *recordingDialer) take() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.sent.Reset()
	return d.sent.String()
}

// newRecordedFixture returns a fixture that keeps what is written to its servers.
func newRecordedFixture(t *testing.T, route layout.Route, handlers ...http.HandlerFunc) (*fixture, *recordingDialer) {
	t.Helper()
	d := &recordingDialer{}
	var addresses []string
	for _, h := range handlers {
		s := httptest.NewServer(withStamp(h))
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return newFixtureWithDeps(t, func(deps *front.Deps) { deps.Pool = conns.New(t.Context(), conns.WithDialer(d)) }, route, addresses...), d
}

var keyedRoute = layout.Route{Kind: layout.Idempotent, MaxAttempts: 2}

// TestKeyIsCheckedAndReplaced guards against calls that run without a valid key, and against keys that leave the daemon.
func TestKeyIsCheckedAndReplaced(t *testing.T) {
	long := strings.Repeat("k", 9000)
	fx, dialer := newRecordedFixture(t, keyedRoute, respond("ok"))
	status, _ := fx.send(t, "/r/1", http.Header{"Api-Key": {"k-secret"}, "Organisation": {"forged"}})
	require.Equal(t, http.StatusOK, status)
	sent := dialer.take()
	require.Contains(t, sent, "Api-Key: k-secret\r\n", "without organisations, headers are forwarded unchanged")
	require.Contains(t, sent, "Organisation: forged\r\n")

	o := &layout.Organisation{Name: "north"}
	keys := map[string]*layout.Organisation{"k-secret": o, "k-é": o, long: o}
	fx.logs.TakeAll()
	for name, c := range map[string]struct {
		keys []string
		path string
		ok   bool
	}{
		"valid":            {keys: []string{"k-secret"}, ok: true},
		"valid long":       {keys: []string{long}, ok: true},
		"valid non-ASCII":  {keys: []string{"k-é"}, ok: true},
		"valid, spaces":    {keys: []string{" k-secret\t"}, ok: true},
		"unknown":          {keys: []string{"k-secret2"}},
		"other case":       {keys: []string{"K-secret"}},
		"missing":          {},
		"empty":            {keys: []string{""}},
		"doubled":          {keys: []string{"k-secret", "k-secret"}},
		"one empty":        {keys: []string{"k-secret", ""}},
		"listed":           {keys: []string{"k-secret, k-secret"}},
		"very long":        {keys: []string{long + "k"}},
		"non-ASCII":        {keys: []string{"k-\u00e8"}},
		"not UTF-8":        {keys: []string{"k-\xe9"}},
		"in the URL":       {path: "?Api-Key=k-secret&key=k-secret"},
		"name of the same": {keys: []string{"north"}},
	} {
		for _, public := range []bool{false, true} {
			fx.organise(t, keys, public)
			h := http.Header{"Organisation": {"forged"}, "Connection": {"Organisation"}}
			if c.keys != nil {
				h["Api-Key"] = c.keys
			}
			status, received := fx.send(t, "/r/1"+c.path, h)
			sent := dialer.take()
			require.NotContains(t, sent, "forged", name)
			require.NotContains(t, sent, "Api-Key:", name)
			require.NotContains(t, received, "k-", name)
			require.Equal(t, c.ok && !public, strings.Contains(sent, "Organisation: north\r\n"), name)
			require.Equal(t, c.ok || public, sent != "", name)
			if c.ok || public {
				require.Equal(t, http.StatusOK, status, name)
			} else {
				require.Equal(t, http.StatusUnauthorized, status, name)
			}
			for _, line := range fx.logs.TakeAll() {
				text := fmt.Sprint(line.Message, line.ContextMap())
				require.NotContains(t, text, "k-", name)
				require.Equal(t, c.ok && !public, strings.Contains(text, "organisation:north"), name)
				require.Equal(t, !c.ok && !public, strings.Contains(text, fmt.Sprint("version:", fx.front.Config().Version)), name)
			}
		}
	}
}

// TestWithdrawnKeyEndsWaitingCall guards against calls that are sent, or answered late, after their key was withdrawn
// while they waited for a server, for a retry or for a connection.
func TestWithdrawnKeyEndsWaitingCall(t *testing.T) {
	valid := map[string]*layout.Organisation{"k-1": {Name: "north"}}
	t.Run("for a model", func(t *testing.T) {
		route := layout.Route{Kind: layout.Stream, MaxAttempts: 1, ToEngines: true, Expectation: time.Second, AbandonAfter: time.Minute, Timeout: time.Minute}
		fx := newFixture(t, route, unexpectedServer)
		fx.organise(t, valid, false)
		go func() {
			for fx.loader.wantCount.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			fx.organise(t, nil, false)
		}()
		begin := time.Now()
		status, _ := fx.send(t, "/r/1", http.Header{"Api-Key": {"k-1"}, "Model": {"other"}, "Deadline": {"60000"}})
		require.Equal(t, http.StatusUnauthorized, status)
		require.Less(t, time.Since(begin), 20*time.Second, "the wait ends with the key")
	})
	for name, changed := range map[string]map[string]*layout.Organisation{"withdrawn": nil, "moved": {"k-1": {Name: "south"}}} {
		t.Run("for a retry, "+name, func(t *testing.T) {
			var fx *fixture
			var dialer *recordingDialer
			var runs atomic.Int64
			failFirst := func(w http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) == 1 {
					fx.organise(t, changed, false)
					w.WriteHeader(http.StatusInternalServerError)
				}
			}
			fx, dialer = newRecordedFixture(t, keyedRoute, failFirst, failFirst)
			fx.organise(t, valid, false)
			status, _ := fx.send(t, "/r/1", http.Header{"Api-Key": {"k-1"}})
			if changed == nil {
				require.Equal(t, http.StatusUnauthorized, status)
				require.EqualValues(t, 1, runs.Load())
				return
			}
			require.Equal(t, http.StatusOK, status)
			require.Contains(t, dialer.take(), "Organisation: south\r\n", "the call is sent for the organisation that has the key now")
		})
	}
	t.Run("for a connection", func(t *testing.T) {
		fx, dialer := newRecordedFixture(t, layout.Route{Kind: layout.Unsafe, MaxAttempts: 1}, respond("ok"))
		fx.organise(t, valid, false)
		dialer.onDial = func() { fx.organise(t, nil, false) }
		status, _ := fx.send(t, "/r/1", http.Header{"Api-Key": {"k-1"}})
		require.Equal(t, http.StatusUnauthorized, status)
		require.Empty(t, dialer.take())
		require.Zero(t, fx.front.OwnLoad()["i0"].Calls, "the server is free again")
	})
}

// TestOrganisationPriorityGoesBeforeRoute guards against calls that are reserved or run with the priority of their
// route, and against calls of the most urgent organisation that count as less urgent ones.
func TestOrganisationPriorityGoesBeforeRoute(t *testing.T) {
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Chosen, Server: "i0"}}}
	route := streamRoute
	route.Priority = 1
	priorities := make(chan string, 1)
	fx := newFixtureWithReserver(t, r, route, func(w http.ResponseWriter, r *http.Request) {
		priorities <- r.Header.Get("Priority")
		sendEvent(w, r)
	})
	fx.organise(t, map[string]*layout.Organisation{
		"urgent": {Name: "a", HasPriority: true}, "usual": {Name: "b"}, "low": {Name: "c", Priority: 2, HasPriority: true},
	}, false)
	for i, key := range []string{"urgent", "usual", "low"} {
		status, _ := fx.send(t, "/r/1", http.Header{"Api-Key": {key}, "Model": {"m"}})
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, strconv.Itoa(i), <-priorities)
		require.Equal(t, key == "urgent", r.asks[i].IsTopPriority, key)
	}
}

// TestCallsAreCountedByOrganisation guards against metrics whose number grows with the organisations, and against names
// of unknown callers in metrics.
func TestCallsAreCountedByOrganisation(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := httptest.NewServer(withStamp(respond("ok")))
	t.Cleanup(s.Close)
	fx := newFixtureWithDeps(t, func(d *front.Deps) { d.Scope = scope }, keyedRoute, s.Listener.Addr().String())
	keys := map[string]*layout.Organisation{}
	for i := range 80 {
		keys[fmt.Sprint("k-", i)] = &layout.Organisation{Name: fmt.Sprint("o-", i)}
	}
	fx.organise(t, keys, false)
	for i := range 90 {
		_, _ = fx.send(t, "/r/1", http.Header{"Api-Key": {fmt.Sprint("k-", i)}})
	}
	names, sums := map[string]int64{}, map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if name := c.Tags()["organisation"]; name != "" {
			require.NotContains(t, name, "k-")
			names[name] += c.Value()
			sums[c.Name()] += c.Value()
		}
	}
	require.Len(t, names, 64+2)
	require.EqualValues(t, 2*16, names["other"])
	require.EqualValues(t, 2*10, names["unknown"])
	require.Equal(t, map[string]int64{"front.organisation_calls": 90, "front.organisation_in_quota": 80, "front.organisation_bad_key": 10,
		"front.organisation_over_quota": 0, "front.organisation_refused": 0}, sums)
}
