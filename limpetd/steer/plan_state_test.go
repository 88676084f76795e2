package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// TestPlanHasStateOfEngineWithUnchangedEntry guards against planning with an engine that has
// announced that it is leaving, because its entry is unchanged.
func TestPlanHasStateOfEngineWithUnchangedEntry(t *testing.T) {
	config := &layout.Config{Services: map[string]*layout.Service{"s": {Name: "s", Engines: &layout.Engines{}}}}
	p := newPlanState(1, time.Now())
	for _, state := range []layout.State{layout.Ready, layout.Draining} {
		p.updateServers([]*layout.Server{{ID: "e1", Service: "s", State: state}}, config)
		engines := p.input(config.Services["s"], func(string) float64 { return 1 }, time.Now()).Engines
		require.Len(t, engines, 1)
		require.Equal(t, state == layout.Ready, engines[0].Alive)
	}
}

// TestPlansTakeAPartOfTheTime guards against a lease holder that does nothing but plan, and against plans that are put off
// for long.
func TestPlansTakeAPartOfTheTime(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0: 0, time.Millisecond: 5 * time.Millisecond, 10 * time.Millisecond: 50 * time.Millisecond, 100 * time.Millisecond: 150 * time.Millisecond,
	} {
		require.InDelta(t, want, planInterval(took), float64(time.Microsecond))
	}
}
