package front_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
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

// slowReserver is a Reserver that reserves a server at random, to be used after a delay.
type slowReserver struct{ reserver }

func (r *slowReserver) Reserve(_ context.Context, a sched.ReservationRequest) (sched.Reservation, error) {
	server := []string{"i0", "i1"}[rand.IntN(2)]
	if slices.Contains(a.Excluded, server) {
		server = map[string]string{"i0": "i1", "i1": "i0"}[server]
	}
	return sched.Reservation{Verdict: sched.Chosen, Server: server, Delay: 100 * time.Millisecond}, nil
}

// TestStreamsAtASilentServerAreNotCutWithoutABudget guards against streams that give their silent server up
// together, and then find that the retry budget allows only a few of them to go on elsewhere.
func TestStreamsAtASilentServerAreNotCutWithoutABudget(t *testing.T) {
	const streams = 40
	spoken := make(chan struct{})
	stream := func(server string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			from := 0
			if n, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
				from = n + 1
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for i := from; i < 2; i++ {
				_, _ = io.WriteString(w, eventText(i, i))
				_ = http.NewResponseController(w).Flush()
				if i == 0 && server == "i0" {
					<-spoken
				}
			}
		}
	}
	var addresses []string
	for _, id := range []string{"i0", "i1"} {
		s := httptest.NewServer(withStamp(stream(id)))
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	fx := newFixtureWithSettings(t, sched.Settings{RetryWindow: time.Second, RetrySlack: 4, FirstStart: true}, func(d *front.Deps) { d.Reserver = &slowReserver{} }, streamRoute, addresses...)
	time.AfterFunc(3*time.Second, func() { close(spoken) })
	var callers sync.WaitGroup
	var whole atomic.Int64
	for i := range streams {
		callers.Go(func() {
			_, body, err := fx.post(t, "/r/1", map[string]string{"Id": fmt.Sprint("x", i), "Model": "m"})
			if err == nil && body == eventText(0, 1) {
				whole.Add(1)
			}
		})
	}
	callers.Wait()
	require.Equal(t, int64(streams), whole.Load())
}
