package front_test

import (
	"fmt"
	"io"
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
	"go.uber.org/zap/zaptest/observer"

	"github.com/limpetlb/limpetlb/limpetd/abort"
	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// dialect is the Dialect of the tests. Its headers are named after the fields they hold.
type dialect struct{}

func (dialect) DecodeCall(h http.Header) front.CallHeaders {
	h.Del("Instance")
	ms, err := strconv.Atoi(h.Get("Deadline"))
	if err != nil {
		ms = 0
	}
	c := front.CallHeaders{ID: h.Get("Id"), Model: h.Get("Model"), Deadline: time.Duration(ms) * time.Millisecond, LastEvent: h.Get("Last"), Keys: h.Values("Api-Key"), Resumes: h.Get("Resumes")}
	for _, name := range strings.Fields(h.Get("Parts")) {
		if part, err := strconv.ParseUint(name, 10, 64); err == nil {
			c.Parts = append(c.Parts, part)
		}
	}
	return c
}

func (dialect) SetOrganisation(h http.Header, name string) {
	h.Del("Api-Key")
	h.Del("Organisation")
	if name != "" {
		h.Set("Organisation", name)
	}
}

func (dialect) SetHeaders(h http.Header, s front.AttemptHeaders) {
	h.Set("Instance", s.Instance)
	h.Set("Deadline", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	if s.ToEngine {
		h.Set("Priority", strconv.Itoa(s.Priority))
	}
	if s.LastEvent != "" {
		h.Set("Last", s.LastEvent)
	}
}

func (dialect) DecodeResponse(status int, h http.Header) front.ResponseHeaders {
	r := front.ResponseHeaders{NotRun: h.Get("Unrun") != "", WrongServer: status == http.StatusMisdirectedRequest, HasStamp: h.Get("Stamp") != ""}
	if slots, err := strconv.Atoi(h.Get("Slots")); err == nil {
		r.Load = &sched.LoadReport{Slots: slots}
	}
	return r
}

func (dialect) Matches(h http.Header, id string, reused bool) bool {
	return h.Get("Id") == id || h.Get("Id") == "" && !reused
}

type loader struct{ wantCount atomic.Int64 }

func (l *loader) RequestLoad(_, _, _ string)           { l.wantCount.Add(1) }
func (l *loader) RecordCall(_, _, _ string, _ float64) {}

// fixture is a Front with backend servers of the service "s".
type fixture struct {
	front *front.Front
	// servers are those of the list of servers.
	servers []*layout.Server
	loader  *loader
	logs    *observer.ObservedLogs
	server  *httptest.Server
	url     string
}

func newFixture(t *testing.T, route layout.Route, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureWithReserver(t, nil, route, handlers...)
}

// newFixtureWithReserver returns a fixture whose Front uses a Reserver; nil for none.
func newFixtureWithReserver(t *testing.T, r front.Reserver, route layout.Route, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	var addresses []string
	for _, h := range handlers {
		s := httptest.NewServer(withStamp(h))
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return newFixtureWithServers(t, r, route, addresses...)
}

// newFixtureWithServers returns a fixture whose backend servers have the given addresses.
func newFixtureWithServers(t *testing.T, r front.Reserver, route layout.Route, addresses ...string) *fixture {
	t.Helper()
	return newFixtureWithDeps(t, func(d *front.Deps) { d.Reserver = r }, route, addresses...)
}

// newFixtureWithDeps returns a fixture whose Front has other dependencies.
func newFixtureWithDeps(t *testing.T, change func(*front.Deps), route layout.Route, addresses ...string) *fixture {
	t.Helper()
	return newFixtureWithSettings(t, sched.Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true, ReserveSlots: true}, change, route, addresses...)
}

// newFixtureWithSettings returns a fixture whose Front has other settings and dependencies.
func newFixtureWithSettings(t *testing.T, settings sched.Settings, change func(*front.Deps), route layout.Route, addresses ...string) *fixture {
	t.Helper()
	var servers []*layout.Server
	for i, a := range addresses {
		servers = append(servers, &layout.Server{
			ID: fmt.Sprint("i", i), Service: "s", Address: a, Slots: 8,
			Models: map[string]layout.HeldModel{"m": {}},
		})
	}
	core, logs := observer.New(zap.InfoLevel)
	fx := &fixture{loader: &loader{}, logs: logs, servers: servers}
	deps := front.Deps{Dialect: dialect{}, Pool: conns.New(t.Context()), Loader: fx.loader, Log: zap.New(core), Scope: tally.NoopScope}
	change(&deps)
	fx.front = front.New(t.Context(), deps, front.WithSettings(settings))
	route.Host, route.Prefix = "127.0.0.1", "/r/"
	if route.Targets == nil {
		route.Targets = []layout.Target{{Service: "s", Weight: 1}}
	}
	if route.Timeout == 0 {
		route.Timeout = 10 * time.Second
	}
	service := &layout.Service{Name: "s"}
	if route.ToEngines {
		service.Engines = &layout.Engines{Models: []layout.Model{{Name: "m"}, {Name: "other", StoreLoad: 9 * time.Second}}}
	}
	fx.front.Apply(&layout.Config{Version: 1, Routes: []layout.Route{route}, Services: map[string]*layout.Service{"s": service}})
	fx.front.SetDaemons(1, 0)
	fx.front.SetServers(servers)
	fx.server = httptest.NewUnstartedServer(fx.front)
	fx.server.Config.ConnContext = abort.ConnContext
	fx.server.Start()
	t.Cleanup(fx.server.Close)
	fx.url = fx.server.URL
	return fx
}

// withStamp adds the stamp and the id of the call to the headers of a handler's responses.
func withStamp(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "1")
		h(w, r)
	}
}

type responseHead struct {
	StatusCode int
	Header     http.Header
	// Close is whether the connection is closed after the response.
	Close bool
}

func (fx *fixture) post(t *testing.T, path string, header map[string]string) (responseHead, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fx.url+path, strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set("Id", "x1")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return responseHead{}, "", err
	}
	body, err := io.ReadAll(a.Body)
	require.NoError(t, a.Body.Close())
	return responseHead{a.StatusCode, a.Header, a.Close}, string(body), err
}

func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}
