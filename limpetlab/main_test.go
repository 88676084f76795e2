package main

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetlab/demo"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
)

// TestDemoKeepsInvariants runs complete daemons over real sockets under the mixed
// fault schedule. It checks counts of violations, which must be zero at any speed
// of the computer.
func TestDemoKeepsInvariants(t *testing.T) {
	s, err := demo.Run(t.Context(), demo.Config{
		Deployment: deploy.Ibeji(), Seed: 1, Duration: 6 * time.Second, Fault: demo.FaultMixed,
		WeightStoreSpeed: 50, Rate: 60, Start: startDaemon, Progress: os.Stderr,
	})
	require.NoError(t, err)
	require.Empty(t, s.Violations(), s.Notes)
	require.Positive(t, s.Answered)
	require.Positive(t, s.Moves)
}
