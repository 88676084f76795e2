package front_test

import (
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/front"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestSlotsOfPlainServersAreReserved guards against calls to plain servers that ignore the lease holder, wait although it
// has found no slot in time, or don't report what its next grants depend on.
func TestSlotsOfPlainServersAreReserved(t *testing.T) {
	rejects := false
	r := &reserver{reservations: []sched.Reservation{
		{Verdict: sched.Chosen, Server: "i1", Delay: 40 * time.Millisecond, Exclusive: true},
		{Verdict: sched.Chosen, Server: "i1", Exclusive: true},
		{Verdict: sched.Full, Delay: 700 * time.Millisecond},
	}}
	answer := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Slots", "6")
		if rejects {
			w.Header().Set("Unrun", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	fx := newFixtureWithReserver(t, r, layout.Route{Kind: layout.Unsafe, MaxAttempts: 2, Expectation: 300 * time.Millisecond}, answer, answer)
	fx.servers[0].Models, fx.servers[1].Models = nil, nil
	fx.front.SetServers(fx.servers)
	fx.front.SetDaemons(58, 0)
	post := func() (responseHead, time.Duration) {
		begin := time.Now()
		a, _, err := fx.post(t, "/r/1", nil)
		require.NoError(t, err)
		return a, time.Since(begin)
	}
	a, _ := post()
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Empty(t, r.asks, "no server has reported slots before")
	a, took := post()
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.GreaterOrEqual(t, took, 40*time.Millisecond)
	require.Len(t, r.samples, 1)
	require.Positive(t, r.samples[0].Took)
	require.Equal(t, "i1", r.samples[0].Server)
	rejects = true
	a, took = post()
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
	require.Less(t, took, 250*time.Millisecond)
	require.Equal(t, sched.Sample{Service: "s", Server: "i1"}, r.samples[1])
	require.Contains(t, r.asks[2].Excluded, "i1")
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 0.7, seconds, 0.01, "the lease holder knows when there is room")
	rejects, r.reservations = false, []sched.Reservation{{Verdict: sched.Chosen, Server: "i1", Delay: time.Second}}
	a, took = post()
	require.Equal(t, http.StatusOK, a.StatusCode)
	require.Less(t, took, 500*time.Millisecond)
	require.Len(t, r.samples, 2, "an older lease holder reserves no slots: the daemon chooses")
	r.err = errors.New("no answer")
	a, _ = post()
	require.Equal(t, http.StatusOK, a.StatusCode, "without the lease holder, the daemon chooses")
	require.Len(t, r.samples, 2)
}

// TestInvalidPaceIsLoggedOnceAMinute guards against a log line for every response of a server that reports an invalid pace.
func TestInvalidPaceIsLoggedOnceAMinute(t *testing.T) {
	fx := newFixture(t, layout.Route{}, unexpectedServer, unexpectedServer)
	for range 3 {
		for _, s := range fx.servers {
			fx.front.RecordResponse(s, front.ResponseHeaders{HasStamp: true, InvalidPace: "slow"}, time.Now())
		}
	}
	require.Equal(t, 2, fx.logs.FilterMessage("pace_invalid").Len())
}

// TestErrorsSayNothingAboutPace guards against engines that look quick because they reject calls.
func TestErrorsSayNothingAboutPace(t *testing.T) {
	r := &reserver{reservations: []sched.Reservation{{Verdict: sched.Chosen, Server: "i0", Exclusive: true}}}
	fx := newFixtureWithReserver(t, r, streamRoute, unexpectedServer)
	_, _, err := fx.post(t, "/r/1", map[string]string{"Model": "m"})
	require.NoError(t, err)
	require.Len(t, r.samples, 1)
	require.Empty(t, r.samples[0].Server)
}
