package crowd_test

import (
	"testing"

	"github.com/limpetlb/limpetlb/limpetlab/crowd"
	"github.com/limpetlb/limpetlb/platform/stand"
)

// headerCrowd clients hold more than the limit of memory if each header is kept as it is parsed.
const headerCrowd = 1500

// headerLimits are the limits of processes under crowds that send headers. Without a limit of descriptors, only
// memory limits the number of connections.
var headerLimits = limits{memoryMB: 144}

// TestHeadersStayWithinMemory guards against headers that take far more memory than bytes once they are parsed.
func TestHeadersStayWithinMemory(t *testing.T) {
	for _, clients := range crowd.HeaderPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e, _ := startLimpetp(t, headerLimits, stand.SafeRoute, "")
			runCrowd(t, p, e, e, clients, headerCrowd)
		})
	}
}

// TestHeadersOfOwnInterfaceStayWithinMemory is TestHeadersStayWithinMemory for callers of limpetd.
func TestHeadersOfOwnInterfaceStayWithinMemory(t *testing.T) {
	for _, clients := range crowd.HeaderPatterns {
		t.Run(clients.Name, func(t *testing.T) {
			p, e := startLimpetd(t, headerLimits)
			runCrowd(t, p, e, e, clients, headerCrowd)
		})
	}
}
