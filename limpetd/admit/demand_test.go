package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/member"
)

func TestDemandIsSummedAndExpires(t *testing.T) {
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
	s.ReceivePeerDemand(now, "here", []member.ModelDemand{{Model: "m", PerSecond: 5, Queued: 2}, {Model: "n", PerSecond: 1}})
	s.ReceivePeerDemand(now, "elsewhere", []member.ModelDemand{{Model: "m", PerSecond: 1000}})
	isLocal := func(daemon string) bool { return daemon == "here" }
	sum := s.demand.sum(now, own, isLocal)
	require.Len(t, sum, 2)
	require.InDelta(t, own[0].PerSecond+5, sum[0].PerSecond, 1e-9)
	require.Equal(t, own[0].Queued+2, sum[0].Queued)
	require.Len(t, s.demand.sum(now.Add(peerDemandTTL+1), own, isLocal), 1)
}
