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

// TestStuckRoleIsReplaced requires that models on an engine that stays in a role
// which serves no whole requests are loaded elsewhere.
func TestStuckRoleIsReplaced(t *testing.T) {
	for _, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode, "unknown"} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2, 4400, store.FencingIgnores)
			defer w.stop()
			w.start("vm-1")
			w.declare(document(2, 0, 2000, "1"))
			w.run(20 * time.Second)
			w.engines[0].setMangle(func(r *engine.Report) { r.Role = role })
			w.run(roleTime / 2)
			before := w.engines[1].used()
			w.run(roleTime + 20*time.Second)
			require.Equal(t, int64(2000), before, "the role may change back")
			require.Equal(t, int64(4000), w.engines[1].used(), "role %s", role)
		})
	}
}

// TestLastCountsWholeRoles requires that a replica on an engine that serves no
// whole requests does not let another one go.
func TestLastCountsWholeRoles(t *testing.T) {
	now := time.Unix(1e9, 0)
	slot := envdoc.Slot{Model: "a", Version: "1"}
	charge := ledger.Charge{Slot: slot, Phase: ledger.PhaseCharged}
	for role, last := range map[engine.Role]bool{"": false, engine.RoleMixed: false, engine.RolePrefill: true, "unknown": true} {
		l := &loop{
			duty: &Duty{}, planner: place.NewPlanner(), document: &envdoc.Document{Models: []envdoc.Model{{Name: "a", Version: "1"}}},
			books: &books{copies: map[string]*book{}}, known: map[string]*knowledge{},
		}
		for vm, r := range map[string]engine.Role{"e1": engine.RoleMixed, "e2": role} {
			k := newKnowledge(store.VM{ID: vm})
			k.accept(engine.Report{Instance: "i", Role: r, Slots: []envdoc.Slot{slot}}, now, now)
			l.known[vm] = k
			l.books.copies[vm] = &book{row: ledger.Row{Engine: vm, Charges: []ledger.Charge{charge}}}
		}
		unload := l.books.copies["e1"]
		unload.row.Charges = []ledger.Charge{{Slot: slot, Phase: ledger.PhaseUnloading}}
		got, sure := l.last(pending{known: l.known["e1"], row: unload.row, charge: unload.row.Charges[0]}, now)
		require.True(t, sure)
		require.Equal(t, last, got, "role %s", role)
	}
}
