package front_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

// versionServers returns engines of software versions, at the addresses of handlers.
func versionServers(t *testing.T, versions []string, handlers ...http.HandlerFunc) []*layout.Server {
	t.Helper()
	var servers []*layout.Server
	for i, h := range handlers {
		s := httptest.NewServer(withStamp(h))
		t.Cleanup(s.Close)
		servers = append(servers, &layout.Server{
			ID: "i" + strconv.Itoa(i), Service: "s", Address: s.Listener.Addr().String(), Slots: 8, Software: versions[i],
			Models: map[string]layout.HeldModel{"m": {}},
		})
	}
	return servers
}

// TestResponseKeepsSoftwareVersion guards against going on, within a response, at an engine of another version than
// that of the first event, and against not going on at one of the same.
func TestResponseKeepsSoftwareVersion(t *testing.T) {
	for version, want := range map[string]int64{"v1": 4, "v2": 0} {
		var resumed atomic.Int64
		breaks := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last") == "" {
				streamEvents(0, 1, true)(w, r)
			}
			resumed.Add(1)
			streamEvents(2, 4, false)(w, r)
		}
		fx := newFixtureWithServers(t, nil, engineRoute)
		fx.front.SetServers(versionServers(t, []string{"v1", version}, breaks, breaks))
		for range 4 {
			_, _, err := fx.post(t, "/r/1", call("1"))
			require.Equal(t, want > 0, err == nil, version)
		}
		require.Equal(t, want, resumed.Load(), version)
	}
}

// streamReporter counts reports.
type streamReporter struct{ count atomic.Int64 }

func (s *streamReporter) ReportStream() { s.count.Add(1) }

// TestStreamsOfSeveralVersionsAreReported guards against streams whose version is lost with the daemon that began
// them, and against reports while a service has one version.
func TestStreamsOfSeveralVersionsAreReported(t *testing.T) {
	for second, want := range map[string]int64{"v1": 0, "v2": 3} {
		var reporter streamReporter
		fx := newFixtureWithDeps(t, func(d *front.Deps) { d.Streams = &reporter }, engineRoute)
		fx.front.SetServers(versionServers(t, []string{"v1", second}, streamEvents(0, 2, false), streamEvents(0, 2, false)))
		for range 3 {
			_, _, err := fx.post(t, "/r/1", call("1"))
			require.NoError(t, err)
		}
		require.Equal(t, want, reporter.count.Load(), second)
	}
}

// resumption is a call that takes up a stream after its event 1.
func resumption(resumes string) map[string]string {
	return map[string]string{"Model": "m", "Id": "x9", "Last": "1", "Resumes": resumes}
}

// TestStreamOfOtherDaemonGoesOnAtItsVersion guards against taking a stream up at another version than that which
// began it at another daemon, and against refusing it.
func TestStreamOfOtherDaemonGoesOnAtItsVersion(t *testing.T) {
	var sent [2]atomic.Int64
	fx := newFixtureWithServers(t, nil, engineRoute)
	count := func(i int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			sent[i].Add(1)
			streamEvents(2, 4, false)(w, r)
		}
	}
	fx.front.SetServers(versionServers(t, []string{"v1", "v2"}, count(0), count(1)))
	for i, id := range []string{"x1", "x2"} {
		facts := origin.Facts{Streams: []origin.StreamFacts{{Service: "s", Software: []string{"v1", "v2"}[i], IDs: []uint64{xxhash.Sum64String(id)}}}}
		time.AfterFunc(100*time.Millisecond, func() { fx.front.MergeOriginFacts(facts) })
		for range 4 {
			head, _, err := fx.post(t, "/r/1", resumption(id))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, head.StatusCode)
		}
	}
	require.EqualValues(t, 4, sent[0].Load())
	require.EqualValues(t, 4, sent[1].Load())
}

// TestStreamOfUnknownVersionIsRefused guards against guessing the version, and against holding the call for long.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	fx := newFixtureWithServers(t, nil, engineRoute)
	fx.front.SetServers(versionServers(t, []string{"v1", "v2"}, unexpectedServer, unexpectedServer))
	for _, resumes := range []string{"x1", ""} {
		start := time.Now()
		head, _, err := fx.post(t, "/r/1", resumption(resumes))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, head.StatusCode)
		require.Equal(t, strconv.Itoa(int(code.StreamVersion)), head.Header.Get("limpet-code"))
		require.Less(t, time.Since(start), 3*time.Second)
	}
}

// TestStreamOfVersionThatLeftIsRefused guards against going on at the version that has replaced it.
func TestStreamOfVersionThatLeftIsRefused(t *testing.T) {
	fx := newFixtureWithServers(t, nil, engineRoute)
	fx.front.SetServers(versionServers(t, []string{"v2"}, unexpectedServer))
	fx.front.MergeOriginFacts(origin.Facts{Streams: []origin.StreamFacts{{Service: "s", Software: "v1", IDs: []uint64{xxhash.Sum64String("x1")}}}})
	head, _, err := fx.post(t, "/r/1", resumption("x1"))
	require.NoError(t, err)
	require.Equal(t, strconv.Itoa(int(code.StreamVersion)), head.Header.Get("limpet-code"))
	require.Zero(t, fx.loader.wantCount.Load(), "no model is loaded for it")
}

// TestStreamOfOneVersionGoesOn guards against refusing streams of a service with one version.
func TestStreamOfOneVersionGoesOn(t *testing.T) {
	fx := newFixtureWithServers(t, nil, engineRoute)
	fx.front.SetServers(versionServers(t, []string{"v1"}, streamEvents(2, 4, false)))
	head, _, err := fx.post(t, "/r/1", resumption("x1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode)
}

// TestStreamOfOneVersionWaitsForItsModel guards against refusing a stream whose model no engine holds, where a new call is
// held until the model is loaded.
func TestStreamOfOneVersionWaitsForItsModel(t *testing.T) {
	route := engineRoute
	route.AbandonAfter, route.Timeout = time.Minute, time.Minute
	fx := newFixtureWithServers(t, nil, route)
	servers := versionServers(t, []string{"v1"}, streamEvents(2, 4, false))
	held := servers[0].Models
	without := *servers[0]
	without.Models = nil
	fx.front.SetServers([]*layout.Server{&without})
	go func() {
		for fx.loader.wantCount.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		with := without
		with.Models = held
		fx.front.SetServers([]*layout.Server{&with})
	}()
	header := resumption("x1")
	header["Deadline"] = "60000"
	head, _, err := fx.post(t, "/r/1", header)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode, head.Header.Get("limpet-code"))
}

// noContact is a ContactProvider without contact.
type noContact struct{}

func (noContact) HasContact() bool { return false }

// TestDaemonWithoutContactRefusesUnknownStreams guards against going on with a stream at the only version that this
// daemon knows, while others have seen another one.
func TestDaemonWithoutContactRefusesUnknownStreams(t *testing.T) {
	fx := newFixtureWithDeps(t, func(d *front.Deps) { d.Contact = noContact{} }, engineRoute)
	fx.front.SetServers(versionServers(t, []string{"v1"}, streamEvents(2, 4, false)))
	fx.front.MergeOriginHistory(origin.Facts{})
	head, _, err := fx.post(t, "/r/1", resumption("x1"))
	require.NoError(t, err)
	require.Equal(t, strconv.Itoa(int(code.StreamVersion)), head.Header.Get("limpet-code"))
	fx.front.MergeOriginFacts(origin.Facts{Streams: []origin.StreamFacts{{Service: "s", Software: "v1", IDs: []uint64{xxhash.Sum64String("x1")}}}})
	head, _, err = fx.post(t, "/r/1", resumption("x1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode)
}
