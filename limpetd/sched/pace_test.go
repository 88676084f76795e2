package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// TestSlowEnginesGetLessButNeverNothing simulates a lease holder and engines of three paces, of which the slow one
// becomes quick. The figures that they report hold these paces, or are the same for all. It guards against prompts that
// queue at slow engines, and against an engine that is never tried again.
func TestSlowEnginesGetLessButNeverNothing(t *testing.T) {
	const recovery, end = 60 * time.Second, 70 * time.Second
	for _, reports := range []string{"paces", "100", "nothing"} {
		b := newBalancer(engine("e0", "m"), engine("e1", "m"), engine("e2", "m"))
		paces := map[string]float64{"e0": 0.6, "e1": 1, "e2": 1.6}
		before, after := map[string]int{}, map[string]int{}
		var recoveredAt time.Time
		for at := time.Duration(0); at < end; at += 100 * time.Millisecond {
			now := start.Add(at)
			if at == recovery {
				paces["e2"] = 0.6
			}
			tokens := 200 + int(at/time.Millisecond)*7%1800
			g := b.Reserve(engineRequest(tokens, "", 0), now)
			if g.Verdict != sched.Chosen {
				continue
			}
			sample := sched.Sample{Service: "llm", Model: "m", Tokens: tokens, Server: g.Server, Took: time.Duration(paces[g.Server] * float64(5*time.Millisecond+time.Duration(tokens)*60*time.Microsecond))}
			switch reports {
			case "paces":
				sample.Pace = int(100 * paces[g.Server])
			case "100":
				sample.Pace = 100
			}
			b.RecordSample(sample, now)
			if at < recovery {
				before[g.Server]++
				continue
			}
			after[g.Server]++
			if g.Server == "e2" && recoveredAt.IsZero() {
				recoveredAt = now
			}
		}
		t.Logf("reported: %s, calls: %v, after the recovery: %v", reports, before, after)
		if reports == "nothing" {
			require.InDelta(t, before["e0"], before["e2"], 0.2*float64(before["e0"]), "engines that report no pace are served as before")
			continue
		}
		require.Greater(t, before["e0"], before["e1"])
		require.Greater(t, before["e1"], before["e2"])
		require.GreaterOrEqual(t, before["e2"], int(recovery/time.Second))
		require.Less(t, 1.6*float64(before["e2"]), 0.6*float64(before["e0"]), "while engines are free, a slow one gets less than its share")
		require.Less(t, recoveredAt.Sub(start), recovery+time.Second)
		require.Greater(t, after["e2"], after["e1"])
	}
}

// TestReportedPaceAgesToTimedPace guards against a slow moment that counts long after it, and against a figure that is
// taken as the pace although the answers show that it always has this value.
func TestReportedPaceAgesToTimedPace(t *testing.T) {
	b := newPlainWorld(58, false, true).daemons[0]
	record := func(id string, took time.Duration, pace int, now time.Time) {
		b.RecordSample(sched.Sample{Service: "plain", Server: id, Took: took, Pace: pace}, now)
	}
	for i := range 30 {
		for _, id := range []string{"p0", "p1", "p2"} {
			record(id, plainWork, 160, start.Add(time.Duration(i)*100*time.Millisecond))
		}
	}
	b.RecordLoad("p0", sched.LoadReport{Slots: plainSlots, Pace: 400}, start.Add(3*time.Second))
	b.RecordLoad("p1", sched.LoadReport{Slots: plainSlots, Pace: 400}, start.Add(3*time.Second))
	granted := func(now time.Time) map[string]int {
		out := map[string]int{}
		for range 2 * plainSlots {
			out[reservePlain(b, time.Second, now).Server]++
		}
		return out
	}
	require.Equal(t, map[string]int{"p0": 1, "p1": 1, "p2": 10}, granted(start.Add(3*time.Second)), "a slow server is tried")
	require.Equal(t, map[string]int{"p0": 4, "p1": 4, "p2": 4}, granted(start.Add(6*time.Second)))
}

// TestDaemonsThatLearnOfQuickServerDoNotAllChooseIt guards against a herd of daemons without a lease holder.
func TestDaemonsThatLearnOfQuickServerDoNotAllChooseIt(t *testing.T) {
	for _, running := range []int{0, 3} {
		chosen := map[string]int{}
		for i := range 58 {
			b := sched.NewBalancer(sched.Settings{DataCentre: "a"}, rand.New(rand.NewPCG(uint64(i), 9)))
			var list []*layout.Server
			for _, id := range []string{"p0", "p1", "p2"} {
				list = append(list, &layout.Server{ID: id, Service: "plain", Slots: plainSlots})
			}
			b.SetServers(list)
			b.SetDaemons(58, i, start)
			for id, pace := range map[string]int{"p0": 40, "p1": 100, "p2": 100} {
				b.RecordLoad(id, sched.LoadReport{Running: running, Slots: plainSlots, Pace: pace}, start)
			}
			c := &sched.Call{Service: "plain", Route: &layout.Route{}, Arrived: start, Deadline: start.Add(time.Second)}
			chosen[b.Choose(c, start).Server.ID]++
		}
		require.Greater(t, 2*chosen["p0"], 3*max(chosen["p1"], chosen["p2"]), "%v", chosen)
		require.Less(t, chosen["p0"], 40, "%v", chosen)
	}
}
