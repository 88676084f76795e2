package front_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// plainRoute is a route to plain servers whose calls may be repeated.
var plainRoute = layout.Route{Kind: layout.Idempotent, MaxAttempts: 2}

// endingServer is a server that ends under its first call to a path, and answers others.
func endingServer(t *testing.T, path string, ended *atomic.Int64) string {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(withStamp(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			respond("ok")(w, r)
			return
		}
		ended.Add(1)
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRequestUnderWhichServerEndedIsNotRepeated guards against ending a second server under a call, and against
// not repeating a call that was answered before.
func TestRequestUnderWhichServerEndedIsNotRepeated(t *testing.T) {
	for _, known := range []bool{false, true} {
		var ended atomic.Int64
		one, two := endingServer(t, "/r/bad", &ended), endingServer(t, "/r/bad", &ended)
		fx := newFixtureWithServers(t, nil, plainRoute, one, two)
		if known {
			facts := crash.Facts{Ends: []crash.EndFact{{Server: "other", Suspects: []crash.Suspect{{Parts: []uint64{1}}}}}}
			fx.front.MergeCrashFacts(facts)
			answer := httptest.NewServer(withStamp(respond("ok")))
			t.Cleanup(answer.Close)
			fx.front.SetServers([]*layout.Server{{ID: "i9", Service: "s", Address: answer.Listener.Addr().String(), Slots: 8}})
			head, _, err := fx.post(t, "/r/bad", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, head.StatusCode)
			fx.front.SetServers([]*layout.Server{{ID: "i0", Service: "s", Address: one, Slots: 8}, {ID: "i1", Service: "s", Address: two, Slots: 8}})
		}
		head, _, err := fx.post(t, "/r/bad", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, head.StatusCode)
		want := int64(1)
		if known {
			want = 2
		}
		require.Equal(t, want, ended.Load(), "known: %v", known)
	}
}

// TestRequestThatEndsPlainServersIsRefused guards against sending a request without a prompt under which
// servers have ended, of which this daemon knows one itself and two from other daemons.
func TestRequestThatEndsPlainServersIsRefused(t *testing.T) {
	var ended atomic.Int64
	fx := newFixtureWithServers(t, nil, plainRoute, endingServer(t, "/r/bad", &ended), endingServer(t, "/r/bad", &ended))
	_, _, err := fx.post(t, "/r/bad", nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool { facts, _ := fx.front.CrashFacts(0); return len(facts.Ends) == 1 }, time.Second, 10*time.Millisecond)
	facts, _ := fx.front.CrashFacts(0)
	request := facts.Ends[0].Suspects[0].Parts
	require.Len(t, request, 1)
	fx.front.MergeCrashFacts(endsUnder(request[0], 2))
	head, _, err := fx.post(t, "/r/bad", map[string]string{"Id": "x2"})
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, head.StatusCode)
	require.Equal(t, strconv.Itoa(int(code.PromptBlocked)), head.Header.Get("limpet-code"))
	require.EqualValues(t, 1, ended.Load())
	head, _, err = fx.post(t, "/r/good", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.StatusCode)
}

// TestReservedRequestIsSentAlone guards against ending a server under two suspected requests at a time, which would
// not show which of them is the cause.
func TestReservedRequestIsSentAlone(t *testing.T) {
	var ended atomic.Int64
	one, two := endingServer(t, "/r/one", &ended), endingServer(t, "/r/two", &ended)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	last := httptest.NewServer(withStamp(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		respond("ok")(w, r)
	}))
	t.Cleanup(last.Close)
	fx := newFixtureWithServers(t, nil, plainRoute)
	var facts crash.Facts
	for i, address := range []string{one, two} {
		fx.front.SetServers([]*layout.Server{{ID: "i" + strconv.Itoa(i), Service: "s", Address: address, Slots: 8}})
		_, _, err := fx.post(t, []string{"/r/one", "/r/two"}[i], nil)
		require.NoError(t, err)
		require.Eventually(t, func() bool { facts, _ = fx.front.CrashFacts(0); return len(facts.Ends) == i+1 }, time.Second, 10*time.Millisecond)
	}
	both := []crash.Suspect{facts.Ends[0].Suspects[0], facts.Ends[1].Suspects[0]}
	facts.Ends = nil
	for i := range 3 {
		facts.Ends = append(facts.Ends, crash.EndFact{Server: "other-" + strconv.Itoa(i), Suspects: both})
	}
	fx.front.MergeCrashFacts(facts)
	fx.front.SetServers([]*layout.Server{{ID: "i2", Service: "s", Address: last.Listener.Addr().String(), Slots: 8}})
	status := func(path string) int {
		head, _, err := fx.post(t, path, nil)
		if err != nil {
			return 0
		}
		return head.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, status("/r/one"), "only one daemon sends it")
	fx.front.SetLeading(true)
	first := make(chan int, 1)
	go func() { first <- status("/r/one") }()
	<-arrived
	require.Equal(t, http.StatusServiceUnavailable, status("/r/two"))
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, status("/r/two"))
}

// TestReservedRequestIsNotSentAgainAtOnce guards against sending a reserved request to one server after the other
// that rejects it, while it waits for one that runs it.
func TestReservedRequestIsNotSentAgainAtOnce(t *testing.T) {
	var ended, sent atomic.Int64
	fx := newFixtureWithServers(t, nil, plainRoute, endingServer(t, "/r/bad", &ended))
	_, _, err := fx.post(t, "/r/bad", nil)
	require.NoError(t, err)
	var facts crash.Facts
	require.Eventually(t, func() bool { facts, _ = fx.front.CrashFacts(0); return len(facts.Ends) == 1 }, time.Second, 10*time.Millisecond)
	suspects := facts.Ends[0].Suspects
	facts.Ends = nil
	for i := range 3 {
		facts.Ends = append(facts.Ends, crash.EndFact{Server: "other-" + strconv.Itoa(i), Suspects: suspects})
	}
	fx.front.MergeCrashFacts(facts)
	fx.front.SetLeading(true)
	var servers []*layout.Server
	for i := range 3 {
		s := httptest.NewServer(withStamp(rejectUnrun(&sent)))
		t.Cleanup(s.Close)
		servers = append(servers, &layout.Server{ID: "r" + strconv.Itoa(i), Service: "s", Address: s.Listener.Addr().String(), Slots: 8})
	}
	fx.front.SetServers(servers)
	for range 3 {
		head, _, err := fx.post(t, "/r/bad", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, head.StatusCode)
	}
	require.EqualValues(t, 1, sent.Load())
}

// TestRestartedServerHasEnded guards against withdrawing the end of a server because it answers again, under its
// id and at its address, before the list of servers shows another start.
func TestRestartedServerHasEnded(t *testing.T) {
	var ended atomic.Int64
	address := endingServer(t, "/r/bad", &ended)
	fx := newFixtureWithServers(t, nil, plainRoute, address)
	_, _, err := fx.post(t, "/r/bad", nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool { facts, _ := fx.front.CrashFacts(0); return len(facts.Ends) == 1 }, time.Second, 10*time.Millisecond)
	l, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	again := &httptest.Server{Listener: l, Config: &http.Server{Handler: withStamp(respond("ok"))}}
	again.Start()
	t.Cleanup(again.Close)
	require.Never(t, func() bool {
		_, _, err := fx.post(t, "/r/good", nil)
		facts, _ := fx.front.CrashFacts(0)
		return err != nil || facts.Ends[0].Retracted
	}, time.Second, 50*time.Millisecond)
}
