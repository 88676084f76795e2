package front_test

import (
	"net"
	"net/http"
	"net/http/httptest"
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

// TestFailedConnectionsDoNotCountAsRetries guards against the loss of calls in a data centre
// that is cut off from others: if connections that reach no server use up the retry budget,
// calls are refused although a server of their own data centre would answer.
func TestFailedConnectionsDoNotCountAsRetries(t *testing.T) {
	servers := []*layout.Server{}
	for _, id := range []string{"cut1", "cut2"} {
		// Nothing listens at the address after l is closed.
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		servers = append(servers, &layout.Server{ID: id, Service: "s", Address: l.Addr().String(), Slots: 8})
		require.NoError(t, l.Close())
	}
	reachable := httptest.NewServer(withStamp(respond("done")))
	t.Cleanup(reachable.Close)
	servers = append(servers, &layout.Server{ID: "reachable", Service: "s", Address: reachable.Listener.Addr().String(), Slots: 1})
	f := front.New(t.Context(), front.Deps{
		Dialect: dialect{}, Pool: conns.New(t.Context()), Loader: &loader{}, Log: zap.NewNop(), Scope: tally.NoopScope,
	}, front.WithSettings(sched.Settings{RetryWindow: 10 * time.Second}))
	f.Apply(&layout.Config{Version: 1, Services: map[string]*layout.Service{"s": {Name: "s"}}, Routes: []layout.Route{{
		Host: "127.0.0.1", Prefix: "/r/", Kind: layout.Unsafe, MaxAttempts: 1, Timeout: 10 * time.Second, Targets: []layout.Target{{Service: "s", Weight: 1}},
	}}})
	f.SetServers(servers)
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	fx := &fixture{url: s.URL}
	for range 4 {
		a, body, err := fx.post(t, "/r/1", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.StatusCode, body)
	}
}
