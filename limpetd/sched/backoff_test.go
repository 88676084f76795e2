package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestServerThatWantsNoCallsGetsNone guards against using a server that asked for a backoff as the
// last resort, and against waiting for it.
func TestServerThatWantsNoCallsGetsNone(t *testing.T) {
	const length = 2500 * time.Millisecond
	b := newBalancer(engine("e1", "m"), engine("e2", "m"), engine("e3", "other"))
	b.RecordBackoff("e1", length, start)
	b.RecordBackoff("e1", time.Second, start)
	for range 20 {
		require.Equal(t, "e2", b.Choose(call("m"), start).Server.ID, "the other engine takes the calls")
	}
	require.Contains(t, b.NewReservationRequest(call("m"), sched.Requirements{}, start).Excluded, "e1")
	require.Equal(t, sched.NoServer, b.ChoiceFor(sched.Reservation{Verdict: sched.Chosen, Server: "e1"}, call("m"), start).Verdict)
	b.RecordBackoff("e2", 4*time.Second, start)
	require.True(t, b.WaitsForBackoff(call("m"), start))
	require.False(t, b.WaitsForBackoff(call("unknown"), start))
	require.Equal(t, sched.NotLoaded, b.Choose(call("unknown"), start).Verdict)
	tried := call("m")
	tried.Tried = []string{"e1"}
	seen := map[time.Duration]bool{}
	for range 100 {
		for _, c := range []*sched.Call{call("m"), tried} {
			choice := b.Choose(c, start)
			require.Equal(t, sched.NoServer, choice.Verdict)
			require.GreaterOrEqual(t, choice.RetryAfter, length, "a caller that returns before the end is refused again")
			require.LessOrEqual(t, choice.RetryAfter, length*3/2)
			seen[choice.RetryAfter] = true
		}
	}
	require.Greater(t, len(seen), 100, "callers do not return all at once")
	end := start.Add(length)
	require.Equal(t, sched.NoServer, b.Choose(call("m"), end.Add(-1)).Verdict)
	require.Equal(t, "e1", b.Choose(call("m"), end).Server.ID)
}

// TestBackoffEndsWithTheServer guards against refusing calls to the next start of a server.
func TestBackoffEndsWithTheServer(t *testing.T) {
	b := newBalancer(engine("e1", "m"))
	b.RecordBackoff("e1", time.Minute, start)
	b.RecordBackoff("unknown", time.Minute, start)
	require.Equal(t, start.Add(time.Minute), b.BackoffUntil("e1"))
	b.SetServers([]*layout.Server{engine("e1", "m")})
	require.Equal(t, sched.NoServer, b.Choose(call("m"), start).Verdict, "the same start")
	next := engine("e1", "m")
	next.StartedAt = 7
	b.SetServers([]*layout.Server{next})
	require.Equal(t, sched.Chosen, b.Choose(call("m"), start).Verdict)
	require.Zero(t, b.BackoffUntil("unknown"))
}
