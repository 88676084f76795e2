package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// TestReportCacheKeepsLatestReport checks that the reports of engines that differ only
// in their ids are restored separately, and that a new report of an engine replaces
// its earlier one.
func TestReportCacheKeepsLatestReport(t *testing.T) {
	loads := hashLoads([]engine.Report{{VM: "e1", Instance: "1", MemoryMB: 9}, {VM: "e2", Instance: "1", MemoryMB: 9}})
	cache := newReportCache()
	for _, l := range loads {
		cache.store(l)
	}
	for i, vm := range []string{"e1", "e2"} {
		full, ok := cache.lookup(loads[i].Hash)
		require.True(t, ok)
		stripped := removeStable(engine.Report{VM: vm, Instance: "1", MemoryMB: 9, Sequence: 7})
		require.Equal(t, engine.Report{Sequence: 7}, stripped)
		require.Equal(t, engine.Report{VM: vm, Instance: "1", MemoryMB: 9, Sequence: 7}, restoreStable(stripped, full))
	}
	cache.store(hashLoads([]engine.Report{{VM: "e1", Instance: "2", MemoryMB: 9}})[0])
	_, ok := cache.lookup(loads[0].Hash)
	require.False(t, ok)
	require.Len(t, cache.reports, 2)
}
