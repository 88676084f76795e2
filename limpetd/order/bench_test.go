package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// BenchmarkStep measures a step of the lease holder without changes: 86 engines, 900
// models and 2,700 adapters, all resident. As in package watch, reports share the list
// of slots while it does not change.
func BenchmarkStep(b *testing.B) {
	s := newSimulation(b, 86, 320000, store.FencingIgnores)
	d := s.start("vm-1")
	s.kill(d, false)
	doc := document(900, 3, 10000, "1")
	l := d.controller.loop
	l.document = doc
	for i, e := range s.engines {
		l.cache.entries[e.vm.ID] = &cachedRow{row: chargeAndLoad(b, doc, e, i, len(s.engines)), version: 1}
	}
	l.cache.writable = true
	for _, e := range s.engines {
		s.reports[e.vm.ID] = receivedReport{report: e.report()}
	}
	now := time.Now()
	for b.Loop() {
		for vm, r := range s.reports {
			r.report.Sequence++
			r.report.MeasuredAt, r.at = now, now
			s.reports[vm] = r
		}
		l.observeEngines(now)
		l.updateLedger(b.Context(), lease.Hold{Key: "fence"}, now)
		require.Empty(b, l.pendingOrders(now))
		now = now.Add(time.Second)
	}
	require.Zero(b, s.table.countLedgerTransactions())
}

// chargeAndLoad charges an engine with its part of the models and loads them.
func chargeAndLoad(b *testing.B, doc *envdoc.Document, e *fakeEngine, index, engines int) ledger.Row {
	r := ledger.Row{Engine: e.vm.ID, MemoryMB: e.vm.MemoryMB}
	add := func(slot envdoc.Slot, memoryMB int64) {
		var err error
		r, err = r.Charge(slot, memoryMB, fmt.Sprint("order-", slot), time.Now())
		require.NoError(b, err)
		e.slots[slot] = memoryMB
	}
	for k := index; k < len(doc.Models); k += engines {
		m := doc.Models[k]
		add(envdoc.Slot{Model: m.Name, Version: m.Version}, m.MemoryMB)
		for _, a := range m.Adapters {
			add(envdoc.Slot{Model: m.Name, Adapter: a.Name, Version: a.Version}, a.MemoryMB)
		}
	}
	return r
}
