package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

func TestWantedSlots(t *testing.T) {
	now := testTime
	s := newTestState(1, 2)
	wanted := func(priority string, rank int, expect time.Duration) []envdoc.Slot {
		s.Offer(now, request(now, priority, rank, expect))
		return s.WantedSlots()
	}
	require.Empty(t, wanted("live", 0, 5*time.Second), "an engine has room")
	require.Equal(t, []envdoc.Slot{testSlot}, wanted("live", 0, 150*time.Millisecond), "the estimate leaves too little of the expected time")
	require.Empty(t, wanted("night", 2, time.Hour), "a deferred call waits for the engine")
	require.Equal(t, []envdoc.Slot{testSlot}, wanted("live", 0, 5*time.Second), "the engine is full")
	require.Empty(t, s.WantedSlots())
	r := request(now, "night", 2, time.Hour)
	r.Route.Model = "absent"
	s.Offer(now, r)
	require.Equal(t, []envdoc.Slot{{Model: "absent", Version: "1"}}, s.WantedSlots())
}

func TestSlotIsWantedWhileItsEnginesAreRemote(t *testing.T) {
	s := NewState("d", rand.New(rand.NewPCG(1, 1)))
	s.SetDocument(newFixture(testTime, 8).doc)
	s.SetView(testTime, route.NewView("b", []route.Engine{testEngine("e0", testTime, 8)}, nil, nil))
	c := s.Offer(testTime, request(testTime, "live", 0, 5*time.Second))
	require.True(t, c.Granted())
	require.Equal(t, []envdoc.Slot{testSlot}, s.WantedSlots())
}

func TestCallsWaitWhileTheirSlotIsPending(t *testing.T) {
	s := newTestState(1, 2)
	r := request(testTime, "live", 0, 5*time.Second)
	r.Route.Model = "absent"
	c := s.Offer(testTime, r)
	s.SetPendingSlots(map[envdoc.Slot]bool{{Model: "absent", Version: "1"}: true})
	require.Empty(t, s.Step(testTime.Add(4*time.Second)))
	s.SetPendingSlots(nil)
	require.Equal(t, []*Call{c}, s.Step(testTime.Add(4*time.Second)))
	require.Equal(t, code.NoEngine, code.Of(c.Err))

	c = s.Offer(testTime, r)
	s.SetPendingSlots(map[envdoc.Slot]bool{{Model: "absent", Version: "1"}: true})
	require.Equal(t, []*Call{c}, s.Step(testTime.Add(5*time.Second+time.Millisecond)))
	require.Equal(t, code.ShedDeadline, code.Of(c.Err), "a call does not wait beyond its expected time")
}
