package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/place"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestReportBeforeTakeoverIsUncertain guards against the unload of a last replica on
// the evidence of an old report: the previous lease holder unloaded a slot and charged
// it again, and a report from before that still lists the slot. The new lease holder
// has to wait for a newer report before it unloads the other replica.
func TestReportBeforeTakeoverIsUncertain(t *testing.T) {
	slot := envdoc.Slot{Model: "a", Version: "1"}
	leaseTakenAt := time.Unix(1e9, 0)
	l := &loop{
		controller: &Controller{}, planner: place.NewPlanner(), document: &envdoc.Document{Models: []envdoc.Model{{Name: "a", Version: "1"}}},
		cache: &ledgerCache{entries: map[string]*cachedRow{}}, engines: map[string]*engineView{}, leaseTakenAt: leaseTakenAt,
	}
	for vm, phase := range map[string]ledger.Phase{"e1": ledger.PhaseUnloading, "e2": ledger.PhaseCharged} {
		l.engines[vm] = newEngineView(store.VM{ID: vm})
		l.cache.entries[vm] = &cachedRow{row: ledger.Row{Engine: vm, Charges: []ledger.Charge{{Slot: slot, Phase: phase}}}}
	}
	cases := []struct {
		name          string
		measured      time.Duration
		slots         []envdoc.Slot
		confirmed     bool
		last, certain bool
	}{
		{"the report may be older than the lease", time.Second, []envdoc.Slot{slot}, false, false, false},
		{"the load was confirmed to this lease holder", time.Second, []envdoc.Slot{slot}, true, false, true},
		{"a newer report lists the slot", MaxReportDelay + time.Second, []envdoc.Slot{slot}, false, false, true},
		{"a newer report does not list the slot", MaxReportDelay + time.Second, nil, false, true, true},
	}
	for _, c := range cases {
		now := leaseTakenAt.Add(c.measured)
		l.engines["e1"].accept(engine.Report{Instance: "i", Slots: []envdoc.Slot{slot}}, now, now)
		e := l.engines["e2"]
		clear(e.confirmedLoads)
		e.accept(engine.Report{Instance: "i", Slots: c.slots}, now, now)
		if c.confirmed {
			e.recordConfirmation("1", engine.Order{Kind: engine.OrderLoad, Slot: slot}, engine.OrderResult{Instance: "i"}, now)
		}
		row := l.cache.entries["e1"].row
		last, certain := l.isLastReplica(pendingOrder{view: l.engines["e1"], row: row, charge: row.Charges[0]}, now)
		require.Equal(t, c.certain, certain, c.name)
		require.Equal(t, c.last, last, c.name)
	}
}
