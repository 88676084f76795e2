package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// TestFixedPartsAreKeptOnce completes reports of engines that are alike but for
// their names, and forgets what an engine reported before.
func TestFixedPartsAreKeptOnce(t *testing.T) {
	loads := prepare([]engine.Report{{VM: "e1", Instance: "1", MemoryMB: 9}, {VM: "e2", Instance: "1", MemoryMB: 9}})
	f := newFixed()
	for _, l := range loads {
		f.note(l)
	}
	for i, vm := range []string{"e1", "e2"} {
		known, ok := f.find(loads[i].Hash)
		require.True(t, ok)
		brief := cut(engine.Report{VM: vm, Instance: "1", MemoryMB: 9, Sequence: 7})
		require.Equal(t, engine.Report{Sequence: 7}, brief)
		require.Equal(t, engine.Report{VM: vm, Instance: "1", MemoryMB: 9, Sequence: 7}, fill(brief, known))
	}
	f.note(prepare([]engine.Report{{VM: "e1", Instance: "2", MemoryMB: 9}})[0])
	_, ok := f.find(loads[0].Hash)
	require.False(t, ok)
	require.Len(t, f.reports, 2)
}
