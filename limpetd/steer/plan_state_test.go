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
