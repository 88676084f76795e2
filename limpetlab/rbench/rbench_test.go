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
		require.NoError(t, b.measureSlow(newCluster(deployments["ibeji"])))
		return b
	}
	b := run()
	first := b.result
	require.Equal(t, first, run().result)
	for _, r := range first.Rows {
		require.LessOrEqual(t, r.Attainment, 1.0)
		require.GreaterOrEqual(t, r.SendsPerRequest, 1.0, "%+v", r)
	}
	require.Len(t, first.Series, len(baselinePolicies)+1)
	for _, s := range first.Series {
		require.LessOrEqual(t, len(s.Points), maxPoints)
		requests := 0
		for _, p := range s.Points {
			requests += p.Requests
		}
		require.Equal(t, b.findRow(s.Policy, phaseSlow, allPriorities).Requests, requests)
	}
}

func TestRunUnknownDeployment(t *testing.T) {
	_, err := Run(t.Context(), Config{Deployment: "other"})
	require.Equal(t, code.BadSetting, code.Of(err))
}

// TestBaselinesMissBounds guards against bounds that any policy meets: the
// baseline policies, which have neither admission control nor a retry budget, do
// not recover from the overload and exceed the bound on sends per request.
func TestBaselinesMissBounds(t *testing.T) {
	b := &bench{ctx: t.Context(), config: Config{Seed: 1, Quick: true}}
	c := newCluster(deployments["andesoft"])
	require.NoError(t, b.measureOverload(c))
	require.NoError(t, b.measureFailing(c))
	for _, policy := range baselinePolicies {
		before := b.findRow(policy, phaseBefore, allPriorities)
		after := b.findRow(policy, phaseAfter, allPriorities)
		require.Less(t, after.Attainment, before.Attainment)
		failing := b.findRow(policy, phaseFailing, allPriorities)
		require.Greater(t, failing.SendsPerRequest, maxSendsPerRequest)
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	c := newCluster(deployments["andesoft"])
	random := rand.New(rand.NewPCG(3, 3))
	segments := []segment{{phase: phaseOverload, until: 20 * time.Second, load: constantLoad(1, 1, 0.2)}}
	requests := c.generateRequests(random, true, segments)
	l := newLimpetRouter(c, 3)
	s := newSimulation(c, l, requests, faultFailing)
	s.run()
	for _, req := range requests {
		require.True(t, req.ended)
	}
	for _, state := range l.states {
		require.Zero(t, state.Waiting())
	}
	for _, e := range s.engines {
		require.Zero(t, e.running+len(e.waiting)+len(e.prefillQueue))
	}
}

func TestFaultsAffectFractionOfEngines(t *testing.T) {
	for name, d := range deployments {
		c := newCluster(d)
		failing, slow := 0, 0
		for n := range c.engines {
			failing += boolToInt(newEngine(c, n, faultFailing).failing)
			slow += boolToInt(newEngine(c, n, faultSlow).slowdown > 1)
		}
		require.Equal(t, c.engines/2, failing, name)
		require.Equal(t, c.engines/4, slow, name)
	}
}

func TestEverySlotHasEngine(t *testing.T) {
	for name, d := range deployments {
		c := newCluster(d)
		require.Len(t, c.slots, d.models+d.adapters, name)
		for i := range c.slots {
			require.NotEmpty(t, c.enginesBySlot[i], name)
		}
	}
}
