package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestSilentDaemonHoldsOnlyItsLoads pauses a holder before it sends a load and
// leaves it listed. The unload of what it may still load waits for it, by name in
// the status; what is charged after it fell silent is unloaded without it. When it
// wakes, its late load finds its memory charged.
func TestSilentDaemonHoldsOnlyItsLoads(t *testing.T) {
	for _, fencing := range []store.Fencing{store.FencingIgnores, store.FencingRefuses} {
		synctest.Test(t, func(t *testing.T) { silentDaemon(t, fencing) })
	}
}

func silentDaemon(t *testing.T, fencing store.Fencing) {
	w := newWorld(t, 1, 6000, fencing)
	defer w.stop()
	engine := w.engines[0]
	held := func(model string) bool { return engine.holds(envdoc.Slot{Model: model, Version: "1"}) }
	first := w.start("vm-1")
	w.run(5 * time.Second)
	second := w.start("vm-2")
	first.pauseOrders()
	w.declare(named("old"))
	w.run(5 * time.Second)
	first.pause()
	w.run(30 * time.Second)
	require.True(t, held("old"), "the successor finishes the load")
	w.declare(named("a"))
	w.run(silentTime + 20*time.Second)
	w.declare(named("a", "b"))
	w.run(10 * time.Second)
	w.declare(named("a", "c"))
	w.run(20 * time.Second)
	require.True(t, held("old"))
	require.Contains(t, second.duty.Status().Engines[0].Unresolved, "unloading old@1, waits for vm-1")
	require.True(t, held("a") && held("c"), "b went without the silent daemon")
	engine.restart()
	first.resume()
	w.run(time.Second)
	w.checkMemory()
	w.run(time.Minute)
	w.checkMemory()
	require.Empty(t, w.missing())
	require.False(t, held("old"))
}

// named returns a document with models of 2,000 MB each.
func named(models ...string) *envdoc.Document {
	doc := document(len(models), 0, 2000, "1")
	for i, name := range models {
		doc.Models[i].Name = name
	}
	return doc
}
