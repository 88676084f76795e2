package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestEngineInPartialRoleIsReplaced requires that the models of an engine whose role
// stays one that serves no whole requests are loaded on another engine.
func TestEngineInPartialRoleIsReplaced(t *testing.T) {
	for _, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode, "unknown"} {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, 2, 4400, store.FencingIgnores)
			defer s.stop()
			s.start("vm-1")
			s.declare(document(2, 0, 2000, "1"))
			s.run(20 * time.Second)
			s.engines[0].setAlterReport(func(r *engine.Report) { r.Role = role })
			s.run(partialRoleTimeout / 2)
			before := s.engines[1].used()
			s.run(partialRoleTimeout + 20*time.Second)
			require.Equal(t, int64(2000), before, "models stay in place until partialRoleTimeout")
			require.Equal(t, int64(4000), s.engines[1].used(), "role %s", role)
		})
	}
}

// TestLastReplicaIgnoresPartialRoles guards against the unload of a last replica
// because of a replica on an engine whose role serves no whole requests.
func TestLastReplicaIgnoresPartialRoles(t *testing.T) {
	now := time.Unix(1e9, 0)
	slot := envdoc.Slot{Model: "a", Version: "1"}
	charge := ledger.Charge{Slot: slot, Phase: ledger.PhaseCharged}
	for role, last := range map[engine.Role]bool{"": false, engine.RoleMixed: false, engine.RolePrefill: true, "unknown": true} {
		l := &loop{
			controller: &Controller{}, planner: place.NewPlanner(), document: &envdoc.Document{Models: []envdoc.Model{{Name: "a", Version: "1"}}},
			cache: &ledgerCache{entries: map[string]*cachedRow{}}, engines: map[string]*engineView{},
		}
		for vm, r := range map[string]engine.Role{"e1": engine.RoleMixed, "e2": role} {
			e := newEngineView(store.VM{ID: vm})
			e.accept(engine.Report{Instance: "i", Role: r, Slots: []envdoc.Slot{slot}}, now, now)
			l.engines[vm] = e
			l.cache.entries[vm] = &cachedRow{row: ledger.Row{Engine: vm, Charges: []ledger.Charge{charge}}}
		}
		unload := l.cache.entries["e1"]
		unload.row.Charges = []ledger.Charge{{Slot: slot, Phase: ledger.PhaseUnloading}}
		got, certain := l.isLastReplica(pendingOrder{view: l.engines["e1"], row: unload.row, charge: unload.row.Charges[0]}, now)
		require.True(t, certain)
		require.Equal(t, last, got, "role %s", role)
	}
}
