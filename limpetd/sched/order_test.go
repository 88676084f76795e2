package sched_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// objective400 returns the request of a call that has just arrived, with an objective of 400 ms.
func objective400(tokens int) *sched.ReservationRequest {
	const objective = 400 * time.Millisecond
	return &sched.ReservationRequest{
		Service: "llm", Model: "m", Tokens: tokens, MaxStartDelay: objective * 85 / 100, MaxPause: 300 * time.Millisecond,
		ShortestExpectation: objective, IsTopPriority: true,
	}
}

// TestGrantedCallsHaveTimeForTheirPrefill guards against granting starts so late that the prefill of the call itself
// ends after the objective.
func TestGrantedCallsHaveTimeForTheirPrefill(t *testing.T) {
	const step = 15 * time.Millisecond
	for _, tokens := range []int{100, 700, 1500, 3000, 5000} {
		b := newBalancer(engine("e1", "m"))
		length := time.Duration(tokens) * b.PrefillTimePerToken("llm", "m")
		granted := 0
		for {
			r := b.Reserve(objective400(tokens), start)
			if r.Verdict != sched.Chosen {
				require.Equal(t, sched.Full, r.Verdict)
				break
			}
			granted++
			require.LessOrEqual(t, r.Delay+length+step, 400*time.Millisecond, "%d tokens", tokens)
			require.Less(t, granted, 1000)
		}
		require.Positive(t, granted, "%d tokens", tokens)
	}
}

// TestPromptLongerThanTheObjectiveUsesIdleEngine guards against refusing a call that can't be on time while an engine is
// idle, and against placing it before calls that can be.
func TestPromptLongerThanTheObjectiveUsesIdleEngine(t *testing.T) {
	b := newBalancer(engine("e1", "m"))
	require.Equal(t, sched.Chosen, b.Reserve(objective400(9000), start).Verdict)
	b = newBalancer(engine("e1", "m"))
	require.Equal(t, sched.Chosen, b.Reserve(objective400(1000), start).Verdict)
	require.Equal(t, sched.Full, b.Reserve(objective400(9000), start).Verdict)
	require.Equal(t, sched.Chosen, b.Reserve(objective400(1000), start).Verdict)
}

// overload asks for one call after the other in a time in which one engine prefills five eighths of what is asked. It returns the
// granted part of the requests, by the index of the kind.
func overload(b *sched.Balancer, kinds ...sched.ReservationRequest) []float64 {
	granted := make([]float64, len(kinds))
	const rounds = 300
	asked := 0
	for _, a := range kinds {
		asked += a.Tokens
	}
	round := time.Duration(asked) * b.PrefillTimePerToken("llm", "m") * 5 / 8
	for i := range rounds {
		for k, a := range kinds {
			if b.Reserve(&a, start.Add(time.Duration(i)*round)).Verdict == sched.Chosen {
				granted[k] += 1.0 / rounds
			}
		}
	}
	return granted
}

// TestShortagePrefersValueForWork guards against refusing calls of high priority, and short ones, as often as others.
func TestShortagePrefersValueForWork(t *testing.T) {
	high, low := *objective400(1000), *objective400(1000)
	high.Level, low.Level, low.IsTopPriority = 1, 3, false
	granted := overload(newBalancer(engine("e1", "m")), low, high)
	require.Greater(t, granted[1], 0.9)
	require.Less(t, granted[0], 0.2)

	long, short := *objective400(2000), *objective400(300)
	long.Level, short.Level = 1, 1
	granted = overload(newBalancer(engine("e1", "m")), long, short)
	require.Greater(t, granted[1], 0.95)
	require.Less(t, granted[0], 0.9)

	// Builds that state no level state only whether the call has the highest priority.
	high.Level, low.Level = 0, 0
	granted = overload(newBalancer(engine("e1", "m")), low, high)
	require.Greater(t, granted[1], 0.9)
}

// TestShortageDistinguishesLevels guards against treating all calls below the highest priority alike, and against calls
// of an older build, which states no level, that rank above them.
func TestShortageDistinguishesLevels(t *testing.T) {
	second, third := *objective400(1000), *objective400(1000)
	second.Level, second.IsTopPriority, third.Level, third.IsTopPriority = 2, false, 3, false
	granted := overload(newBalancer(engine("e1", "m")), third, second)
	require.Greater(t, granted[1], granted[0]+0.3)

	unstated := second
	unstated.Level = 0
	granted = overload(newBalancer(engine("e1", "m")), second, unstated)
	require.Greater(t, granted[0], granted[1], "of calls of one rank, those that ask first are granted")
}

// TestLateCallsGetOnlyIdleEnginesUnderShortage guards against late calls that make others late.
func TestLateCallsGetOnlyIdleEnginesUnderShortage(t *testing.T) {
	b := newBalancer(engine("e1", "m"))
	onTime, late := *objective400(1000), *objective400(1000)
	late.MaxStartDelay, late.Waited = 0, time.Second
	granted := overload(b, late, onTime)
	require.Less(t, granted[0], 0.02)
	later := start.Add(300*2*time.Duration(late.Tokens)*b.PrefillTimePerToken("llm", "m")*5/8 + time.Second)
	require.Equal(t, sched.Chosen, b.Reserve(&onTime, later).Verdict)
	require.Equal(t, sched.Full, b.Reserve(&late, later.Add(40*time.Millisecond)).Verdict)
	require.Equal(t, sched.Chosen, b.Reserve(&late, start.Add(time.Hour)).Verdict)
}

// TestResumedCallHasNoObjectiveForItsFirstEvent guards against refusing a stream that has begun because its prompt is
// long.
func TestResumedCallHasNoObjectiveForItsFirstEvent(t *testing.T) {
	b := newBalancer(engine("e1", "m"))
	require.Equal(t, sched.Chosen, b.Reserve(objective400(4000), start).Verdict)
	resumed := objective400(8000)
	resumed.MaxStartDelay, resumed.Resumes = 440*time.Millisecond, true
	require.Equal(t, sched.Chosen, b.Reserve(resumed, start).Verdict)
}

// TestRetryDelayFollowsDemand guards against callers that return while there is no capacity, or too late for their
// deadline.
func TestRetryDelayFollowsDemand(t *testing.T) {
	b := newBalancer(engine("e1", "m"))
	for b.Reserve(objective400(1000), start).Verdict == sched.Chosen {
	}
	brief := b.Reserve(objective400(1000), start)
	require.Positive(t, brief.CapacityIn)
	for range 200 {
		b.Reserve(objective400(1000), start)
	}
	lasting := b.Reserve(objective400(1000), start)
	require.Greater(t, lasting.CapacityIn, brief.CapacityIn)
	require.LessOrEqual(t, lasting.CapacityIn, 3*time.Second)

	c := call("m")
	c.Deadline = start.Add(3 * time.Second)
	var delays []time.Duration
	for range 200 {
		delays = append(delays, b.ChoiceWhenRefused(lasting, c, start).RetryAfter)
	}
	require.LessOrEqual(t, slices.Max(delays), time.Second)
	require.Greater(t, slices.Max(delays)-slices.Min(delays), 400*time.Millisecond, "the delays are spread")

	// A call with time waits for capacity that comes in time, however few calls its daemon sends.
	c.Route.Expectation = 10 * time.Second
	require.True(t, sched.HasCapacityInTime(lasting, c, start))
	require.False(t, sched.HasCapacityInTime(lasting, c, start.Add(8*time.Second)))
}

// TestCallsWithSpareTimeGiveWay guards against calls that are late because a call with seconds left was sent before.
func TestCallsWithSpareTimeGiveWay(t *testing.T) {
	spare, urgent := call("m"), call("m")
	spare.Route.Expectation = 6 * time.Second
	urgent.Route.Priority = 1
	list := []*sched.Waiter{{Call: spare}, {Call: urgent}}
	sched.SortWaiters(list, start)
	require.Same(t, urgent, list[0].Call)
	spare.Arrived, urgent.Arrived = start.Add(-4500*time.Millisecond), start.Add(-100*time.Millisecond)
	sched.SortWaiters(list, start)
	require.Same(t, spare, list[0].Call, "its time is nearly used up")
}

// TestNoOrganisationIsNeglected guards against an organisation of low priority, or one with long prompts, that gets far
// fewer of its calls served than all organisations do.
func TestNoOrganisationIsNeglected(t *testing.T) {
	high, low := *objective400(800), *objective400(1600)
	high.Level, low.Level, low.IsTopPriority = 1, 3, false
	high.CallerOrganisation, low.CallerOrganisation = "large", "small"
	granted := overload(newBalancer(engine("e1", "m")), low, high, high, high, high)
	mean := (granted[0] + granted[1] + granted[2] + granted[3] + granted[4]) / 5
	require.GreaterOrEqual(t, granted[0], mean/4)
	require.Less(t, granted[0], mean)

	high.CallerOrganisation, low.CallerOrganisation = "", ""
	granted = overload(newBalancer(engine("e1", "m")), low, high, high, high, high)
	require.Less(t, granted[0], mean/4, "the priorities alone leave less")
}
