package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// TestEstimateFallsWhileEnginesAreReserved guards against an estimate that was raised by stopped engines and never falls,
// because all of the engines' time is reserved by it and no sample is taken.
func TestEstimateFallsWhileEnginesAreReserved(t *testing.T) {
	const tokens, truth, period = 100, 5 * time.Millisecond, 20 * time.Millisecond
	now := time.Unix(1000, 0)
	b := NewBalancer(Settings{}, rand.New(rand.NewPCG(1, 1)))
	b.SetServers([]*layout.Server{{ID: "e1", Service: "s", Models: map[string]layout.HeldModel{"m": {}}}})
	for i := range 300 {
		now = now.Add(50 * time.Millisecond)
		took := truth
		if i > 20 {
			took = 900 * time.Millisecond
		}
		b.RecordSample(Sample{Service: "s", Model: "m", Tokens: tokens, Took: took}, now)
	}
	require.Greater(t, b.PrefillTimePerToken("s", "m"), 3*time.Millisecond)
	granted := 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(period) {
		r := b.Reserve(&ReservationRequest{Service: "s", Model: "m", Tokens: tokens, MaxStartDelay: 600 * time.Millisecond, ShortestExpectation: 600 * time.Millisecond}, now)
		if r.Verdict != Chosen {
			continue
		}
		if end.Sub(now) < 5*time.Second {
			granted++
		}
		if r.Exclusive {
			b.RecordSample(Sample{Service: "s", Model: "m", Tokens: tokens, Took: truth}, now.Add(r.Delay+truth))
		}
	}
	require.GreaterOrEqual(t, granted, 225, "of 250 calls in the last 5 s, per token %s", b.PrefillTimePerToken("s", "m"))
}

// TestEstimateHoldsWhilePromptsShareSteps guards against reserving more than engines prefill under shortage: engines then
// prefill several prompts in a step, so that the time to the first event does not depend on the size of a prompt.
func TestEstimateHoldsWhilePromptsShareSteps(t *testing.T) {
	const truth, base = 50 * time.Microsecond, 15 * time.Millisecond
	now := time.Unix(1000, 0)
	b := NewBalancer(Settings{OrderByValue: true}, rand.New(rand.NewPCG(1, 1)))
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		tokens, together := 200+37*i%1600, 200+53*i%1600
		if i < 100 {
			together = 0
		}
		b.RecordSample(Sample{Service: "s", Model: "m", Tokens: tokens, Took: base + time.Duration(tokens+together)*truth}, now)
		if i >= 100 {
			require.Greater(t, b.PrefillTimePerToken("s", "m"), truth*9/10, "sample %d", i)
		}
	}
}
