package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

func TestCallerLimitHoldsOverAllDaemons(t *testing.T) {
	const daemons, perSecond, span = 4, 40, 30
	var states []*limits
	for range daemons {
		l := newLimits()
		l.callers["c"] = &callerLimit{perSecond: perSecond}
		states = append(states, l)
	}
	allowed := 0
	for i := range span * 200 {
		now := testTime.Add(time.Duration(i) * 5 * time.Millisecond)
		// Most requests reach the first daemon.
		d := (i % 8) % 5 % daemons
		ok, after := states[d].allow(now, "c", daemons)
		if ok && i >= 10*200 {
			allowed++
		}
		require.Equal(t, ok, after == 0)
		if i%200 == 0 {
			for from, l := range states {
				for to, other := range states {
					if from != to {
						other.receive(now, fmt.Sprint(from), l.used(now))
					}
				}
			}
		}
	}
	require.InEpsilon(t, perSecond*(span-10), allowed, 0.1)
}

func TestDemandIsSummedAndAgesOut(t *testing.T) {
	s := newTestState(1, 100)
	for i := range 200 {
		r := request(testTime, "live", 0, time.Minute)
		r.MaxTokens = 10
		s.Offer(testTime.Add(time.Duration(i)*100*time.Millisecond), r)
	}
	now := testTime.Add(20 * time.Second)
	own := s.Demand(now)
	require.Len(t, own, 1)
	require.InEpsilon(t, 10, own[0].PerSecond, 0.2)
	require.InEpsilon(t, 100, own[0].TokensPerSecond, 0.2)
	s.Receive(now, "here", []member.ModelDemand{{Model: "m", PerSecond: 5, Queued: 2}, {Model: "n", PerSecond: 1}}, nil)
	s.Receive(now, "elsewhere", []member.ModelDemand{{Model: "m", PerSecond: 1000}}, nil)
	here := func(daemon string) bool { return daemon == "here" }
	sum := s.demand.sum(now, own, here)
	require.Len(t, sum, 2)
	require.InDelta(t, own[0].PerSecond+5, sum[0].PerSecond, 1e-9)
	require.Equal(t, own[0].Queued+2, sum[0].Queued)
	require.Len(t, s.demand.sum(now.Add(toldFor+1), own, here), 1)
}
