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

// singleModel returns a document with one model of 2000 MB.
func singleModel(name string) *envdoc.Document {
	doc := document(1, 0, 2000, "1")
	doc.Models[0].Name = name
	return doc
}

// totalLoads counts the load orders that arrived at all engines.
func (s *simulation) totalLoads() int {
	n := 0
	for _, e := range s.engines {
		n += e.loadsArrived()
	}
	return n
}

// TestNoOrderWithoutCharge requires that no order is sent while charges can't be
// written.
func TestNoOrderWithoutCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 4400, store.FencingUnknown)
		defer s.stop()
		s.start("vm-1")
		s.run(5 * time.Second)
		s.table.setFault(func(write bool) tableFault {
			if write {
				return tableDown
			}
			return tableAvailable
		})
		s.declare(document(2, 0, 2000, "1"))
		s.run(time.Minute)
		require.Zero(t, s.totalLoads())
		s.table.setFault(func(bool) tableFault { return tableAvailable })
		s.run(10 * time.Second)
		require.Empty(t, s.missing())
	})
}

// TestPausedSenderDelaysRelease pauses the lease holder before it sends a load. Its
// successor completes the load and has to delay the unload until the paused daemon
// answers. The engine restarts in between, so that only the charge protects its memory
// from the delayed load.
func TestPausedSenderDelaysRelease(t *testing.T) {
	for _, fencing := range []store.Fencing{store.FencingIgnores, store.FencingRefuses} {
		t.Run(string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkPausedSender(t, fencing) })
		})
	}
}

func checkPausedSender(t *testing.T, fencing store.Fencing) {
	s := newSimulation(t, 1, 2400, fencing)
	defer s.stop()
	first := s.start("vm-1")
	s.run(5 * time.Second)
	require.True(t, first.controller.Status().HoldsLease)
	s.start("vm-2")
	first.holdOrders()
	s.declare(singleModel("old"))
	s.run(5 * time.Second)
	require.Zero(t, s.totalLoads())
	first.pause()
	s.run(30 * time.Second)
	require.True(t, s.engines[0].holds(envdoc.Slot{Model: "old", Version: "1"}), "the successor completes the load")
	s.declare(singleModel("new"))
	s.run(40 * time.Second)
	s.engines[0].restart()
	s.run(40 * time.Second)
	first.resume()
	s.run(time.Second)
	s.checkMemory()
	s.run(time.Minute)
	s.checkMemory()
	require.Empty(t, s.missing())
}

// TestNoOrderWithoutGrant lets a daemon take the lease while no ledger row can be
// written. The daemon may not send the charged orders, since without a grant no other
// daemon would query it about them.
func TestNoOrderWithoutGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2400, store.FencingIgnores)
		defer s.stop()
		first := s.start("vm-1")
		s.run(5 * time.Second)
		first.holdOrders()
		s.declare(singleModel("old"))
		s.run(5 * time.Second)
		s.table.setLedgerWritesFail(true)
		s.kill(first, true)
		s.engines[0].restart()
		before := s.totalLoads()
		second := s.start("vm-2")
		s.run(30 * time.Second)
		require.True(t, second.controller.Status().HoldsLease)
		require.Equal(t, before, s.totalLoads())
		s.table.setLedgerWritesFail(false)
		s.run(10 * time.Second)
		require.Empty(t, s.missing())
	})
}

// TestRoleIsReset requires that an engine with another role is ordered back to the
// mixed role.
func TestRoleIsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2400, store.FencingRefuses)
		defer s.stop()
		s.start("vm-1")
		s.engines[0].mu.Lock()
		s.engines[0].role = engine.RoleDecode
		s.engines[0].mu.Unlock()
		s.run(20 * time.Second)
		s.engines[0].mu.Lock()
		defer s.engines[0].mu.Unlock()
		require.Equal(t, engine.RoleMixed, s.engines[0].role)
	})
}

// TestLostUnloadKeepsCharge loses unload orders. The memory must stay charged until an
// unload is confirmed.
func TestLostUnloadKeepsCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2400, store.FencingIgnores)
		defer s.stop()
		s.start("vm-1")
		s.declare(singleModel("old"))
		s.run(20 * time.Second)
		lost := 3
		s.engines[0].setFault(func(o engine.Order) orderFault {
			if o.Kind == engine.OrderUnload && lost > 0 {
				lost--
				return orderLost
			}
			return orderDelivered
		})
		s.declare(singleModel("new"))
		s.run(time.Minute)
		s.checkMemory()
		require.Empty(t, s.missing())
	})
}

// TestDelayedWriteIsPrevented delays ledger writes until after the daemon has given
// them up. Otherwise the unloads of the last two replicas could both take effect.
func TestDelayedWriteIsPrevented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 4400, store.FencingIgnores)
		defer s.stop()
		s.start("vm-1")
		doc := document(1, 0, 2000, "1")
		doc.Models[0].MinReplicas = 2
		s.declare(doc)
		s.run(20 * time.Second)
		s.table.setFault(func(write bool) tableFault {
			if write {
				return tableDelayed
			}
			return tableAvailable
		})
		s.declare(document(1, 0, 2000, "2"))
		s.run(20 * time.Second)
		s.table.setFault(func(bool) tableFault { return tableAvailable })
		s.run(time.Minute)
		require.Empty(t, s.unloadedLastReplicas())
		require.Empty(t, s.missing())
	})
}

// TestTakeover stops the lease holder. Another daemon must place models within two
// lease terms.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 6600, store.FencingRefuses)
		defer s.stop()
		first := s.start("vm-1")
		s.declare(document(2, 0, 2000, "1"))
		s.run(10 * time.Second)
		s.start("vm-2")
		s.run(10 * time.Second)
		require.True(t, first.controller.Status().HoldsLease)
		before := s.totalLoads()
		s.kill(first, false)
		s.declare(document(3, 0, 2000, "1"))
		s.run(2 * DefaultLeaseTerm)
		require.Greater(t, s.totalLoads(), before)
	})
}

// TestHandover makes the lease holder leave. Its successor must send orders at once,
// and unloads without waiting until the VM of the former lease holder is gone.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 2400, store.FencingIgnores)
		defer s.stop()
		first := s.start("vm-1")
		s.declare(singleModel("old"))
		s.run(20 * time.Second)
		s.start("vm-2")
		s.run(20 * time.Second)
		require.NoError(t, first.controller.Leave(t.Context()))
		s.kill(first, false)
		s.declare(singleModel("new"))
		s.run(DefaultLeaseTerm + 5*time.Second)
		require.Empty(t, s.missing())
	})
}

// TestRestoreWithoutTable makes the table unavailable, stops the lease holder and
// restarts the engines. Another daemon must restore the charged slots.
func TestRestoreWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 4400, store.FencingIgnores)
		defer s.stop()
		first := s.start("vm-1")
		s.run(5 * time.Second)
		s.start("vm-2")
		s.run(5 * time.Second)
		s.declare(document(2, 1, 2000, "1"))
		s.run(30 * time.Second)
		require.Empty(t, s.missing())
		s.table.setFault(func(bool) tableFault { return tableDown })
		s.kill(first, false)
		for _, e := range s.engines {
			e.restart()
		}
		s.run(time.Minute)
		require.Empty(t, s.missing())
		s.checkMemory()
	})
}

// TestLoadsStayWithinBudgets requires that model loads stay within the rate and
// concurrency of the weight store, and adapter loads within their number in transit.
func TestLoadsStayWithinBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 90000, store.FencingIgnores)
		defer s.stop()
		for _, e := range s.engines {
			e.loadTime = 5 * time.Second
		}
		s.start("vm-1")
		doc := document(30, 8, 2000, "1")
		doc.Budgets = envdoc.Budgets{LoadsPerSecond: 0.5, LoadsAtOnce: 2, AdaptersInTransit: 3}
		s.run(5 * time.Second)
		s.declare(doc)
		s.run(3 * time.Minute)
		models, adapters := s.maxLoads()
		require.Equal(t, 2, models)
		require.Equal(t, 3, adapters)
		require.Empty(t, s.missing())
	})
}

// TestLedgerWritesPerMove bounds the number of ledger transactions per move.
func TestLedgerWritesPerMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 9000, store.FencingIgnores)
		defer s.stop()
		s.start("vm-1")
		s.declare(document(6, 0, 2000, "1"))
		s.run(30 * time.Second)
		before, movesBefore := s.table.countLedgerTransactions(), s.totalMoves()
		s.declare(document(6, 0, 2000, "2"))
		s.run(2 * time.Minute)
		require.Empty(t, s.missing())
		moves := (s.totalMoves() - movesBefore) / 2
		writes := s.table.countLedgerTransactions() - before
		t.Logf("%d ledger transactions for %d replaced replicas", writes, moves)
		require.LessOrEqual(t, writes, 3*moves)

		before, movesBefore = s.table.countLedgerTransactions(), s.totalMoves()
		s.declare(document(6, 10, 2000, "2"))
		s.run(time.Minute)
		s.declare(document(6, 0, 2000, "2"))
		s.run(time.Minute)
		moves = s.totalMoves() - movesBefore
		writes = s.table.countLedgerTransactions() - before
		t.Logf("%d ledger transactions for %d moves of adapters", writes, moves)
		require.Equal(t, 120, moves)
		require.LessOrEqual(t, float64(writes), 0.2*float64(moves))
	})
}
