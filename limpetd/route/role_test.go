package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// TestRequestsAvoidPartialRoles requires that no request is sent to an engine in a role that
// does only a part of the work, such as prefill or decode, or in an unknown role.
func TestRequestsAvoidPartialRoles(t *testing.T) {
	for _, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode, "unknown"} {
		engines := testEngines(3, 1)
		engines[0].Report.Role, engines[1].Report.Role = role, role
		v := NewView("dc0", engines, nil, nil)
		for seed := range uint64(50) {
			got, verdict := Choose(v, ownWithRoom(3), nil, &Request{Model: "m000", Version: "1"}, ChoiceOptions{Now: testTime}, rand.New(rand.NewPCG(seed, 1)))
			require.Equal(t, VerdictChosen, verdict)
			require.Equal(t, "e002", got.VM, "role %s", role)
		}
	}
}
