package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

func TestFirstDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 10000, store.FencingRefuses)
		defer w.stop()
		w.start("vm-1")
		w.start("vm-2")
		w.run(20 * time.Second)
		w.declare(document(4, 3, 2000, "1"))
		w.run(2 * time.Second)
		require.Positive(t, w.engines[0].arrivals()+w.engines[1].arrivals()+w.engines[2].arrivals())
		w.run(20 * time.Second)
		require.Empty(t, w.missing())
		w.checkMemory()
	})
}

func TestVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 4400, store.FencingIgnores)
		defer w.stop()
		w.start("vm-1")
		w.declare(document(3, 2, 2000, "1"))
		w.run(40 * time.Second)
		require.Empty(t, w.missing())
		w.declare(document(3, 2, 2000, "2"))
		for range 180 {
			w.run(time.Second)
			for _, m := range w.doc.Models {
				n := w.replicas(envdoc.Slot{Model: m.Name, Version: "1"}) + w.replicas(envdoc.Slot{Model: m.Name, Version: "2"})
				require.Positive(t, n, "%s at %v", m.Name, time.Now())
			}
		}
		require.Empty(t, w.missing())
		for _, m := range w.doc.Models {
			require.Zero(t, w.replicas(envdoc.Slot{Model: m.Name, Version: "1"}))
		}
		w.checkMemory()
	})
}
