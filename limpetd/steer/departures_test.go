package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeavingServerIsToldToAllDaemons guards against calls from daemons that have got no response of
// a server since it announced that it is leaving.
func TestLeavingServerIsToldToAllDaemons(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	one, two, three := startDaemon(t, l, e, "one", 1), startDaemon(t, l, e, "two", 1), startDaemon(t, l, e, "three", 1)
	require.Eventually(t, syncMembers(l, one, two, three), waitTimeout, 5*time.Millisecond)
	two.RecordLeaving("e1", 7)
	for _, d := range []*daemon{one, two, three} {
		require.Eventually(t, func() bool { return d.departures.startOf("e1") == 7 }, waitTimeout, 5*time.Millisecond)
	}
}

// TestEngineThatWantsNoRequestsGetsNone guards against report requests and orders to an engine that
// asked for a backoff, and against placing its models elsewhere as if it were lost.
func TestEngineThatWantsNoRequestsGetsNone(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	e.backoffUntil = time.Now().Add(time.Hour)
	d := startDaemon(t, l, e, "one", 1)
	require.Eventually(t, d.IsLeaseHolder, waitTimeout, 5*time.Millisecond)
	require.Never(t, func() bool {
		d.RequestLoad("s", "m", "a1")
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.requests > 0
	}, time.Second, 20*time.Millisecond)
	e.mu.Lock()
	e.backoffUntil = time.Time{}
	e.mu.Unlock()
	require.Eventually(t, func() bool {
		d.RequestLoad("s", "m", "a1")
		return d.router.holds("e1", "m/a1")
	}, waitTimeout, 20*time.Millisecond)
}
