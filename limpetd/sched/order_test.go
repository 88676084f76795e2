package sched_test

import (
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
