package rbench

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

func TestRunIsRepeatable(t *testing.T) {
	run := func() *bench {
		b := &bench{ctx: t.Context(), config: Config{Seed: 1, Quick: true}}
		require.NoError(t, b.slow(newWorld(deployments["ibeji"])))
		return b
	}
	b := run()
	first := b.result
	require.Equal(t, first, run().result)
	for _, r := range first.Rows {
		require.LessOrEqual(t, r.Attainment, 1.0)
		require.GreaterOrEqual(t, r.SendsPerRequest, 1.0, "%+v", r)
	}
	require.Len(t, first.Series, len(baselines)+1)
	for _, s := range first.Series {
		require.LessOrEqual(t, len(s.Points), maxPoints)
		requests := 0
		for _, p := range s.Points {
			requests += p.Requests
		}
		require.Equal(t, b.find(s.Policy, phaseSlow, allPriorities).Requests, requests)
	}
}

func TestRunUnknownDeployment(t *testing.T) {
	_, err := Run(t.Context(), Config{Deployment: "other"})
	require.Equal(t, code.BadSetting, code.Of(err))
}

// TestPolicyWithoutRulesBreaksBounds shows that the bounds tell a good policy from
// one without admission and retry budget: the baselines do not meet them.
func TestPolicyWithoutRulesBreaksBounds(t *testing.T) {
	b := &bench{ctx: t.Context(), config: Config{Seed: 1, Quick: true}}
	w := newWorld(deployments["andesoft"])
	require.NoError(t, b.overload(w))
	require.NoError(t, b.failing(w))
	for _, policy := range baselines {
		before := b.find(policy, phaseBefore, allPriorities)
		after := b.find(policy, phaseAfter, allPriorities)
		require.Less(t, after.Attainment, before.Attainment)
		failing := b.find(policy, phaseFailing, allPriorities)
		require.Greater(t, failing.SendsPerRequest, maxSendsPerRequest)
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	w := newWorld(deployments["andesoft"])
	random := rand.New(rand.NewPCG(3, 3))
	stretches := []stretch{{phase: phaseOverload, until: 20 * time.Second, load: constant(1, 1, 0.2)}}
	jobs := w.generate(random, true, stretches)
	l := newLimpet(w, 3)
	s := newSimulation(w, l, jobs, faultFailing)
	s.run()
	for _, j := range jobs {
		require.True(t, j.ended)
	}
	for _, state := range l.states {
		require.Zero(t, state.Waiting())
	}
	for _, e := range s.servers {
		require.Zero(t, e.running+len(e.waiting)+len(e.prompts))
	}
}

func TestFaultsHitTheirPartOfTheEngines(t *testing.T) {
	for name, d := range deployments {
		w := newWorld(d)
		failing, slow := 0, 0
		for n := range w.engines {
			failing += number(newServer(w, n, faultFailing).failing)
			slow += number(newServer(w, n, faultSlow).slow > 1)
		}
		require.Equal(t, w.engines/2, failing, name)
		require.Equal(t, w.engines/4, slow, name)
	}
}

func TestWorldHoldsEverySlot(t *testing.T) {
	for name, d := range deployments {
		w := newWorld(d)
		require.Len(t, w.slots, d.models+d.adapters, name)
		for i := range w.slots {
			require.NotEmpty(t, w.holders[i], name)
		}
	}
}
