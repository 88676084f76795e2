package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestFirstDocument requires that loads start within two seconds after the first document
// is declared, and that all slots become resident.
func TestFirstDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 10000, store.FencingRefuses)
		defer s.stop()
		s.start("vm-1")
		s.start("vm-2")
		s.run(20 * time.Second)
		s.declare(document(4, 3, 2000, "1"))
		s.run(2 * time.Second)
		require.Positive(t, s.engines[0].loadsArrived()+s.engines[1].loadsArrived()+s.engines[2].loadsArrived())
		s.run(20 * time.Second)
		require.Empty(t, s.missing())
		s.checkMemory()
	})
}

// TestVersionChange requires that a version change keeps a replica of each model resident
// at any time and ends with the new version alone.
func TestVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 4400, store.FencingIgnores)
		defer s.stop()
		s.start("vm-1")
		s.declare(document(3, 2, 2000, "1"))
		s.run(40 * time.Second)
		require.Empty(t, s.missing())
		s.declare(document(3, 2, 2000, "2"))
		for range 180 {
			s.run(time.Second)
			for _, m := range s.doc.Models {
				n := s.countReplicas(envdoc.Slot{Model: m.Name, Version: "1"}) + s.countReplicas(envdoc.Slot{Model: m.Name, Version: "2"})
				require.Positive(t, n, "%s at %v", m.Name, time.Now())
			}
		}
		require.Empty(t, s.missing())
		for _, m := range s.doc.Models {
			require.Zero(t, s.countReplicas(envdoc.Slot{Model: m.Name, Version: "1"}))
		}
		s.checkMemory()
	})
}
