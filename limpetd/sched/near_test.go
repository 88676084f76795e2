package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestReservationsStayInDataCentreWhileOnTime guards against prompts that are sent to another data centre although an
// engine of the caller's could answer on time, and against callers that are late because of it.
func TestReservationsStayInDataCentreWhileOnTime(t *testing.T) {
	for _, v := range []struct {
		pace   int
		centre string
		near   bool
	}{{100, "b", true}, {100, "", false}, {0, "b", false}} {
		far, near := engine("e1", "m"), engine("e2", "m")
		near.DataCentre = "b"
		b := newBalancer(far, near, engine("e3", "m"))
		b.RecordLoad("e2", sched.LoadReport{Slots: 64, Pace: v.pace}, start)
		servers, first := map[string]int{}, 0
		for i := range 15 {
			g := b.Reserve(engineRequest(1000, v.centre, uint64(i)), start)
			require.Equal(t, sched.Chosen, g.Verdict)
			if servers[g.Server]++; servers["e2"] == i+1 {
				first++
			}
		}
		require.Equal(t, v.near, first == 3, "three prompts of 67 ms begin within half of 340 ms: %+v, %d", v, first)
		require.Equal(t, map[string]int{"e1": 5, "e2": 5, "e3": 5}, servers, "%+v", v)
	}
}

// engineRequest is an urgent request for a reservation at an engine that holds the model m.
func engineRequest(tokens int, dataCentre string, session uint64) *sched.ReservationRequest {
	return &sched.ReservationRequest{Service: "llm", Model: "m", Tokens: tokens, MaxStartDelay: 340 * time.Millisecond,
		ShortestExpectation: 400 * time.Millisecond, IsTopPriority: true, DataCentre: dataCentre, Session: session}
}

// TestCallsToPlainServersStayInDataCentre guards against calls that leave their data centre although its server has
// a free slot, and against slow servers of other data centres that are tried with them.
func TestCallsToPlainServersStayInDataCentre(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		before, after := newPlainWorld(58, uneven, true).run(time.Minute), newPlainWorld(58, uneven, true)
		after.reportsPace = true
		after.run(time.Minute)
		t.Logf("uneven %t\nwithout paces: %v\nwith paces:    %v", uneven, before, after)
		require.Less(t, 3*after.crossed, 2*before.crossed)
		require.Greater(t, float64(after.onTime), 0.99*float64(before.onTime))
	}
	b := newPlainWorld(58, false, true).daemons[0]
	for range 9 {
		b.RecordSample(sched.Sample{Service: "plain", Server: "p1", Took: 2 * plainWork, Pace: 200}, start)
		b.RecordSample(sched.Sample{Service: "plain", Server: "p0", Took: plainWork, Pace: 100}, start)
	}
	for centre, server := range map[string]string{"dc0": "p0", "dc1": "p1", "dc2": "p2"} {
		r := sched.ReservationRequest{Service: "plain", MaxStartDelay: plainObjective, DataCentre: centre}
		require.Equal(t, server, b.Reserve(&r, start.Add(time.Second)).Server)
		c := &sched.Call{Service: "plain", Route: &layout.Route{}, Arrived: start, Deadline: start.Add(time.Second)}
		require.Equal(t, "p0", b.Choose(c, start.Add(time.Second)).Server.ID, "this daemon is in dc0")
	}
}

// TestCrossingsHaveReasons checks why a call leaves its data centre.
func TestCrossingsHaveReasons(t *testing.T) {
	far, near := engine("e1", "m"), engine("e2", "m")
	far.DataCentre = "b"
	b := newBalancer(far, near)
	c := call("m")
	require.Equal(t, sched.NoCrossing, b.Crosses(c, near, start))
	require.Equal(t, sched.NearBusy, b.Crosses(c, far, start))
	c.Tried = []string{"e2"}
	require.Equal(t, sched.NearUnusable, b.Crosses(c, far, start))
	b.SetServers([]*layout.Server{far, engine("e2", "other")})
	require.Equal(t, sched.NoneNear, b.Crosses(call("m"), far, start))
}
