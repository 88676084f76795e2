package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/random"
)

// brittleServers returns a balancer with brittle servers that run eight calls at a time.
func brittleServers(servers, daemons int, model string, rejections float64, now time.Time) *Balancer {
	b := NewBalancer(Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}, random.Seeded(1, "brittle"))
	b.SetDaemons(daemons, 0, time.Unix(1000, 0))
	var list []*layout.Server
	for i := range servers {
		s := &layout.Server{ID: fmt.Sprint("e", i), Service: "s", Slots: 8}
		if model != "" {
			s.Models = map[string]layout.HeldModel{model: {}}
		}
		list = append(list, s)
	}
	b.SetServers(list)
	b.RecordBrittle("e0", true, rejections, now, now)
	return b
}

// TestRejectionsOfAllDaemonsStayWithinWhatServersBear plays daemons that know nothing of each other and send to one
// brittle server that is full, as after a partition or a restart of all of them.
func TestRejectionsOfAllDaemonsStayWithinWhatServersBear(t *testing.T) {
	for _, daemons := range []int{6, 9, 75, 361} {
		const rejections = 3
		now := time.Unix(1000, 0)
		all := make([]*Balancer, daemons)
		for i := range all {
			all[i] = brittleServers(1, daemons, "", rejections, now)
		}
		c := &Call{Service: "s", Route: &layout.Route{}, Deadline: now.Add(time.Hour)}
		rejectedAt := []time.Duration{}
		start := now
		for ; now.Sub(start) < 60*time.Second; now = now.Add(50 * time.Millisecond) {
			for _, b := range all {
				choice := b.Choose(c, now)
				if choice.Verdict != Chosen {
					require.Equal(t, Full, choice.Verdict)
					continue
				}
				b.RecordSend("e0", c, now)
				b.RecordResult("e0", c, Refused, false, now)
				rejectedAt = append(rejectedAt, now.Sub(start))
				// The rejection is told to the other daemons by the lease holder.
				told := b.Limits(now)
				for _, o := range all {
					o.MergeLimits(told, now)
				}
			}
		}
		for i := rejections; i < len(rejectedAt); i++ {
			require.Greater(t, rejectedAt[i]-rejectedAt[i-rejections], time.Second, "%d daemons", daemons)
		}
	}
}

// TestBrittleEngineGetsNoMoreThanItsSlots guards against grants that add up to more calls than an engine has room
// for, because the load of the daemons is known late.
func TestBrittleEngineGetsNoMoreThanItsSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	b := brittleServers(2, 6, "m", 2, now)
	b.SetSharedLoad(map[string]ServerLoad{"e0": {Calls: 5}, "e1": {Calls: 8}}, now)
	granted := 0
	for range 10 {
		a := ReservationRequest{Service: "s", Model: "m", Tokens: 1, MaxStartDelay: time.Minute, ShortestExpectation: time.Minute}
		if b.Reserve(&a, now).Verdict == Chosen {
			granted++
		}
	}
	require.Equal(t, 3, granted)
}

// TestBrittlenessEndsAndSpreads guards against services that stay restrained for ever, and against servers that
// have started again and are taken for sound.
func TestBrittlenessEndsAndSpreads(t *testing.T) {
	now := time.Unix(1000, 0)
	b := brittleServers(2, 6, "m", 2, now)
	require.True(t, b.HasBrittle("s"))
	require.False(t, b.HasBrittle("other"))
	other := brittleServers(2, 6, "m", 2, now)
	other.servers["e0"].brittle = nil
	require.False(t, other.HasBrittle("s"))
	other.MergeLimits(b.Limits(now), now)
	require.True(t, other.HasBrittle("s"))
	require.False(t, b.RecordBrittle("e0", false, 0, now.Add(-time.Second), now.Add(time.Second)), "an answer to an earlier request")
	now = now.Add(2 * time.Second)
	require.True(t, b.RecordBrittle("e0", false, 0, now, now))
	require.False(t, b.HasBrittle("s"))
	other.MergeLimits(b.Limits(now), now)
	require.False(t, other.HasBrittle("s"))
	require.Empty(t, b.Limits(now.Add(time.Minute)))
}
