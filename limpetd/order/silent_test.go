package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestSilentDaemonDelaysOnlyItsLoads pauses the lease holder before it sends a load,
// while its VM stays listed. The unload of a slot that the paused daemon may still load
// waits for it, and the status names the daemon. Slots charged after silentTimeout are
// unloaded without waiting. When the daemon resumes, its delayed load must find its
// memory charged.
func TestSilentDaemonDelaysOnlyItsLoads(t *testing.T) {
	for _, fencing := range []store.Fencing{store.FencingIgnores, store.FencingRefuses} {
		synctest.Test(t, func(t *testing.T) { checkSilentDaemon(t, fencing) })
	}
}

func checkSilentDaemon(t *testing.T, fencing store.Fencing) {
	s := newSimulation(t, 1, 6000, fencing)
	defer s.stop()
	engine := s.engines[0]
	held := func(model string) bool { return engine.holds(envdoc.Slot{Model: model, Version: "1"}) }
	first := s.start("vm-1")
	s.run(5 * time.Second)
	second := s.start("vm-2")
	first.holdOrders()
	s.declare(modelsNamed("old"))
	s.run(5 * time.Second)
	first.pause()
	s.run(30 * time.Second)
	require.True(t, held("old"), "the successor completes the load")
	s.declare(modelsNamed("a"))
	s.run(silentTimeout + 20*time.Second)
	s.declare(modelsNamed("a", "b"))
	s.run(10 * time.Second)
	s.declare(modelsNamed("a", "c"))
	s.run(20 * time.Second)
	require.True(t, held("old"))
	require.Contains(t, second.controller.Status().Engines[0].Unconfirmed, "unloading old@1, waits for vm-1")
	require.True(t, held("a") && held("c"), "the unload of b does not wait for the silent daemon")
	engine.restart()
	first.resume()
	s.run(time.Second)
	s.checkMemory()
	s.run(time.Minute)
	s.checkMemory()
	require.Empty(t, s.missing())
	require.False(t, held("old"))
}

// modelsNamed returns a document with models of 2,000 MB each.
func modelsNamed(models ...string) *envdoc.Document {
	doc := document(len(models), 0, 2000, "1")
	for i, name := range models {
		doc.Models[i].Name = name
	}
	return doc
}
