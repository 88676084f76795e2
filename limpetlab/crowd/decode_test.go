package crowd_test

import (
	"testing"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
)

// decodeCrowd callers hold more than the limit of memory if all of their requests are decoded at once.
const decodeCrowd = 60

// TestDecodedRequestsStayWithinMemory guards against JSON that takes far more memory than bytes once it is decoded.
func TestDecodedRequestsStayWithinMemory(t *testing.T) {
	for _, clients := range crowd.JSONPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e := startLimpetd(t, standardLimits)
			runCrowd(t, p, e, e, clients, decodeCrowd)
		})
	}
}
