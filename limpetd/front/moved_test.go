package front_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

// twoServices returns a fixture with an engine of service "s" and one of service "t", which add their service to the
// headers of their responses, and a route to targets; to "s" if there are none.
func twoServices(t *testing.T, targets ...layout.Target) *fixture {
	t.Helper()
	route := engineRoute
	route.Targets = targets
	at := func(service string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Service", service)
			streamEvents(2, 4, false)(w, r)
		}
	}
	fx := newFixtureWithServers(t, nil, route)
	servers := versionServers(t, []string{"v1", "v1"}, at("s"), at("t"))
	servers[1].Service = "t"
	fx.front.SetServers(servers)
	return fx
}

// moveRoute applies a configuration in which the route of the fixture leads to other services.
func (fx *fixture) moveRoute(targets ...layout.Target) {
	old := fx.front.Config()
	route := old.Routes[0]
	route.Targets = targets
	services := map[string]*layout.Service{}
	for _, name := range []string{"s", "t"} {
		services[name] = &layout.Service{Name: name, Engines: old.Services["s"].Engines}
	}
	fx.front.Apply(&layout.Config{Version: old.Version + 1, Routes: []layout.Route{route}, Services: services})
}

// begin begins a stream and returns the service that serves it.
func (fx *fixture) begin(t *testing.T, id string) string {
	t.Helper()
	head, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m", "Id": id})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode)
	return head.Header.Get("Service")
}

// takeUp takes up a stream and returns the service that goes on with it, or the code of the refusal.
func (fx *fixture) takeUp(t *testing.T, resumes string) string {
	t.Helper()
	header := resumption(resumes)
	header["Id"] = resumes + "-again"
	head, _, err := fx.post(t, "/r/1", header)
	require.NoError(t, err)
	if head.StatusCode != http.StatusOK {
		return head.Header.Get("limpet-code")
	}
	return head.Header.Get("Service")
}

// TestStreamOfMovedRouteStaysAtItsService guards against streams with events of two services.
func TestStreamOfMovedRouteStaysAtItsService(t *testing.T) {
	fx, refused := twoServices(t), strconv.Itoa(int(code.StreamVersion))
	fx.front.MergeOriginFacts(origin.Facts{Streams: []origin.StreamFacts{{Service: "s", Software: "v1", IDs: []uint64{xxhash.Sum64String("known")}}}})
	fx.moveRoute(layout.Target{Service: "t", Weight: 1})
	require.Equal(t, refused, fx.takeUp(t, "known"))
	require.Equal(t, refused, fx.takeUp(t, "unknown"))
	fx.moveRoute(layout.Target{Service: "s", Weight: 1}, layout.Target{Service: "t", Weight: 9})
	require.Equal(t, "s", fx.takeUp(t, "known"), "the route leads to the service again")
	require.Equal(t, refused, fx.takeUp(t, "unknown"))
	require.Contains(t, []string{"s", "t"}, fx.begin(t, "new"))
}

// TestStreamOfSplitRouteStaysAtItsService guards against picking the service by the id of the call that takes the stream
// up, which is not that of the first one.
func TestStreamOfSplitRouteStaysAtItsService(t *testing.T) {
	split := []layout.Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	began, other := twoServices(t, split...), twoServices(t, split...)
	began.moveRoute(split...)
	other.moveRoute(split...)
	count := map[string]int{}
	for i := range 20 {
		id := strconv.Itoa(i)
		service := began.begin(t, id)
		count[service]++
		require.Equal(t, service, began.takeUp(t, id), "recorded")
		require.Equal(t, service, other.takeUp(t, id), "not recorded")
	}
	require.Len(t, count, 2)
	require.Equal(t, strconv.Itoa(int(code.StreamVersion)), other.takeUp(t, ""), "the id of the first call is missing")
}
