package front_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/conns"
	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// benchBody is the size of the body of a call in BenchmarkCall, that of a prompt of average length.
const benchBody = 6 << 10

// BenchmarkCall measures a call through a Front, with its caller and its server in the same process. The
// allocations of a call are bounded: docs/design/clients.md.
func BenchmarkCall(b *testing.B) {
	backend := httptest.NewServer(withStamp(respond("answer")))
	b.Cleanup(backend.Close)
	f := front.New(b.Context(), front.Deps{Dialect: dialect{}, Pool: conns.New(b.Context()), Loader: &loader{}, Log: zap.NewNop(), Scope: tally.NoopScope},
		front.WithSettings(sched.Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true}))
	f.Apply(&layout.Config{Version: 1, Services: map[string]*layout.Service{"s": {Name: "s"}}, Routes: []layout.Route{{
		Host: "127.0.0.1", Prefix: "/r/", Kind: layout.Idempotent, MaxAttempts: 2, Targets: []layout.Target{{Service: "s", Weight: 1}},
	}}})
	f.SetDaemons(1, 0)
	f.SetServers([]*layout.Server{{ID: "i0", Service: "s", Address: backend.Listener.Addr().String(), Slots: 8}})
	s := newBenchServer(b, f)
	body := bytes.Repeat([]byte("x"), benchBody)
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, s.URL+"/r/1", bytes.NewReader(body))
		require.NoError(b, err)
		r.Header.Set("Id", "x1")
		a, err := http.DefaultClient.Do(r)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, a.StatusCode)
		_, err = io.Copy(io.Discard, a.Body)
		require.NoError(b, err)
		require.NoError(b, a.Body.Close())
	}
}

// newBenchServer serves h at a door, as limpetp does.
func newBenchServer(b *testing.B, h http.Handler) *httptest.Server {
	b.Helper()
	s := httptest.NewUnstartedServer(h)
	g := guard.New(b.Context(), guard.Config{MemoryMB: 144, MaxFDs: 3075}, guard.Deps{})
	s.Listener = g.Door(s.Listener, guard.DoorConfig{Max: g.ConnectionLimit()})
	s.Config.ConnContext, s.Config.ConnState = guard.ConnContext, guard.ConnState
	s.Start()
	b.Cleanup(s.Close)
	return s
}
