package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// renamed declares one model of 2000 MB under a name.
func renamed(name string) *envdoc.Document {
	doc := document(1, 0, 2000, "1")
	doc.Models[0].Name = name
	return doc
}

// total counts the loads that arrived at all engines.
func (w *world) total() int {
	n := 0
	for _, e := range w.engines {
		n += e.arrivals()
	}
	return n
}

// TestNoOrderWithoutCharge requires that nothing is sent while no charge can be
// stored.
func TestNoOrderWithoutCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 4400, store.FencingUnknown)
		defer w.stop()
		w.start("vm-1")
		w.run(5 * time.Second)
		w.table.setFault(func(write bool) tableFault {
			if write {
				return tableDown
			}
			return tableUp
		})
		w.declare(document(2, 0, 2000, "1"))
		w.run(time.Minute)
		require.Zero(t, w.total())
		w.table.setFault(func(bool) tableFault { return tableUp })
		w.run(10 * time.Second)
		require.Empty(t, w.missing())
	})
}

// TestPausedSenderHoldsRelease pauses a holder before it sends a load. Its
// successor finishes the load, and has to wait with the unload until the paused
// one answers: the engine restarts, so that nothing but the charge protects it
// from the late load.
func TestPausedSenderHoldsRelease(t *testing.T) {
	for _, fencing := range []store.Fencing{store.FencingIgnores, store.FencingRefuses} {
		t.Run(string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { pausedSender(t, fencing) })
		})
	}
}

func pausedSender(t *testing.T, fencing store.Fencing) {
	w := newWorld(t, 1, 2400, fencing)
	defer w.stop()
	first := w.start("vm-1")
	w.run(5 * time.Second)
	require.True(t, first.duty.Status().Mine)
	w.start("vm-2")
	first.pauseOrders()
	w.declare(renamed("old"))
	w.run(5 * time.Second)
	require.Zero(t, w.total())
	first.pause()
	w.run(30 * time.Second)
	require.True(t, w.engines[0].holds(envdoc.Slot{Model: "old", Version: "1"}), "the successor finishes the load")
	w.declare(renamed("new"))
	w.run(40 * time.Second)
	w.engines[0].restart()
	w.run(40 * time.Second)
	first.resume()
	w.run(time.Second)
	w.checkMemory()
	w.run(time.Minute)
	w.checkMemory()
	require.Empty(t, w.missing())
}

// TestNoOrderWithoutGrant lets a daemon take the lease and not a row: it may not
// send what the row charges, since nobody would ask it about that.
func TestNoOrderWithoutGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2400, store.FencingIgnores)
		defer w.stop()
		first := w.start("vm-1")
		w.run(5 * time.Second)
		first.pauseOrders()
		w.declare(renamed("old"))
		w.run(5 * time.Second)
		w.table.setLedgerDown(true)
		w.kill(first, true)
		w.engines[0].restart()
		before := w.total()
		second := w.start("vm-2")
		w.run(30 * time.Second)
		require.True(t, second.duty.Status().Mine)
		require.Equal(t, before, w.total())
		w.table.setLedgerDown(false)
		w.run(10 * time.Second)
		require.Empty(t, w.missing())
	})
}

// TestRoleChange requires that an engine in another role is ordered back.
func TestRoleChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2400, store.FencingRefuses)
		defer w.stop()
		w.start("vm-1")
		w.engines[0].mu.Lock()
		w.engines[0].role = engine.RoleDecode
		w.engines[0].mu.Unlock()
		w.run(20 * time.Second)
		w.engines[0].mu.Lock()
		defer w.engines[0].mu.Unlock()
		require.Equal(t, engine.RoleMixed, w.engines[0].role)
	})
}

// TestLostUnloadKeepsCharge loses unloads: the memory stays charged until one is
// confirmed.
func TestLostUnloadKeepsCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2400, store.FencingIgnores)
		defer w.stop()
		w.start("vm-1")
		w.declare(renamed("old"))
		w.run(20 * time.Second)
		lost := 3
		w.engines[0].setFault(func(o engine.Order) orderFault {
			if o.Kind == engine.OrderUnload && lost > 0 {
				lost--
				return orderLost
			}
			return orderUp
		})
		w.declare(renamed("new"))
		w.run(time.Minute)
		w.checkMemory()
		require.Empty(t, w.missing())
	})
}

// TestLateWriteIsBarred lets the write of an intent take effect after it was
// given up: two unloads of the last two replicas must not both come about.
func TestLateWriteIsBarred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 4400, store.FencingIgnores)
		defer w.stop()
		w.start("vm-1")
		doc := document(1, 0, 2000, "1")
		doc.Models[0].MinReplicas = 2
		w.declare(doc)
		w.run(20 * time.Second)
		w.table.setFault(func(write bool) tableFault {
			if write {
				return tableLate
			}
			return tableUp
		})
		w.declare(document(1, 0, 2000, "2"))
		w.run(20 * time.Second)
		w.table.setFault(func(bool) tableFault { return tableUp })
		w.run(time.Minute)
		require.Empty(t, w.lastUnloads())
		require.Empty(t, w.missing())
	})
}

// TestTakeover kills the holder: another daemon places within two lease terms.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 6600, store.FencingRefuses)
		defer w.stop()
		first := w.start("vm-1")
		w.declare(document(2, 0, 2000, "1"))
		w.run(10 * time.Second)
		w.start("vm-2")
		w.run(10 * time.Second)
		require.True(t, first.duty.Status().Mine)
		before := w.total()
		w.kill(first, false)
		w.declare(document(3, 0, 2000, "1"))
		w.run(2 * DefaultLeaseTerm)
		require.Greater(t, w.total(), before)
	})
}

// TestHandover leaves: the successor orders at once, and unloads without waiting
// for the VM of the one that left to be gone.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 2400, store.FencingIgnores)
		defer w.stop()
		first := w.start("vm-1")
		w.declare(renamed("old"))
		w.run(20 * time.Second)
		w.start("vm-2")
		w.run(20 * time.Second)
		require.NoError(t, first.duty.Leave(t.Context()))
		w.kill(first, false)
		w.declare(renamed("new"))
		w.run(DefaultLeaseTerm + 5*time.Second)
		require.Empty(t, w.missing())
	})
}

// TestRestoreWithoutTable cuts the data centre off, kills the holder and
// restarts an engine: another daemon restores what its rows charge.
func TestRestoreWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 4400, store.FencingIgnores)
		defer w.stop()
		first := w.start("vm-1")
		w.run(5 * time.Second)
		w.start("vm-2")
		w.run(5 * time.Second)
		w.declare(document(2, 1, 2000, "1"))
		w.run(30 * time.Second)
		require.Empty(t, w.missing())
		w.table.setFault(func(bool) tableFault { return tableDown })
		w.kill(first, false)
		for _, e := range w.engines {
			e.restart()
		}
		w.run(time.Minute)
		require.Empty(t, w.missing())
		w.checkMemory()
	})
}

// TestBudgetsHold requires that loads keep to the weight store's rate and number,
// and adapters to their number in transit.
func TestBudgetsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 90000, store.FencingIgnores)
		defer w.stop()
		for _, e := range w.engines {
			e.loadTime = 5 * time.Second
		}
		w.start("vm-1")
		doc := document(30, 8, 2000, "1")
		doc.Budgets = envdoc.Budgets{LoadsPerSecond: 0.5, LoadsAtOnce: 2, AdaptersInTransit: 3}
		w.run(5 * time.Second)
		w.declare(doc)
		w.run(3 * time.Minute)
		models, adapters := w.most()
		require.Equal(t, 2, models)
		require.Equal(t, 3, adapters)
		require.Empty(t, w.missing())
	})
}

// TestTableWrites counts the ledger's transactions for each move.
func TestTableWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 9000, store.FencingIgnores)
		defer w.stop()
		w.start("vm-1")
		w.declare(document(6, 0, 2000, "1"))
		w.run(30 * time.Second)
		before, models := w.table.transactions(), w.moved()
		w.declare(document(6, 0, 2000, "2"))
		w.run(2 * time.Minute)
		require.Empty(t, w.missing())
		moves := (w.moved() - models) / 2
		writes := w.table.transactions() - before
		t.Logf("%d writes for %d shifts of a model", writes, moves)
		require.LessOrEqual(t, writes, 3*moves)

		before, models = w.table.transactions(), w.moved()
		w.declare(document(6, 10, 2000, "2"))
		w.run(time.Minute)
		w.declare(document(6, 0, 2000, "2"))
		w.run(time.Minute)
		moves = w.moved() - models
		writes = w.table.transactions() - before
		t.Logf("%d writes for %d moves of adapters", writes, moves)
		require.Equal(t, 120, moves)
		require.LessOrEqual(t, float64(writes), 0.2*float64(moves))
	})
}
