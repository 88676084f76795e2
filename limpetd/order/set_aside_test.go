package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/ledger"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// TestInconsistentReportSetsEngineAside guards against orders to an engine whose
// reports are inconsistent. The engine must get no orders and keep its charges, and be
// used again after consistent reports.
func TestInconsistentReportSetsEngineAside(t *testing.T) {
	cases := []struct {
		name  string
		alter func(r *engine.Report)
	}{
		{"negative memory use", func(r *engine.Report) { r.UsedMB = -1 }},
		{"memory use above capacity", func(r *engine.Report) { r.UsedMB = r.MemoryMB + 1 }},
		{"slot without a charge", func(r *engine.Report) { r.Slots = append(r.Slots, envdoc.Slot{Model: "ghost", Version: "1"}) }},
		{"decreasing time", func(r *engine.Report) { r.MeasuredAt = r.MeasuredAt.Add(-time.Duration(r.Sequence) * time.Hour) }},
		{"decreasing sequence number", func(r *engine.Report) { r.Sequence = -r.Sequence }},
		{"no instance id", func(r *engine.Report) { r.Instance = "" }},
		{"negative load", func(r *engine.Report) { r.Waiting = -1 }},
		{"VM id of another engine", func(r *engine.Report) { r.VM = "engine-9" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSetAside(t, c.alter) })
		})
	}
}

func checkSetAside(t *testing.T, alter func(r *engine.Report)) {
	s := newSimulation(t, 2, 4400, store.FencingIgnores)
	defer s.stop()
	d := s.start("vm-1")
	s.declare(document(2, 0, 2000, "1"))
	s.run(20 * time.Second)
	faulty := s.engines[0]
	faulty.setAlterReport(alter)
	s.run(30 * time.Second)
	status := d.controller.Status().Engines[0]
	require.Equal(t, code.EngineSetAside, status.SetAside)
	require.Equal(t, int64(2000), status.CommittedMB)
	before := faulty.loadsArrived()
	s.declare(document(3, 0, 2000, "1"))
	s.run(30 * time.Second)
	require.Equal(t, before, faulty.loadsArrived())
	faulty.setAlterReport(nil)
	faulty.restart()
	s.run(30 * time.Second)
	require.Equal(t, code.OK, d.controller.Status().Engines[0].SetAside)
	require.Empty(t, s.missing())
}

// TestUnreadableRowSetsEngineAside guards against orders to an engine whose row can't
// be decoded, and against writes to that row.
func TestUnreadableRowSetsEngineAside(t *testing.T) {
	newerLevel, err := ledger.Encode(ledger.Row{Engine: "engine-1"})
	require.NoError(t, err)
	for i := range newerLevel {
		if string(newerLevel[max(0, i-5):i]) == "level" {
			newerLevel[i] = 9
		}
	}
	cases := []struct {
		name  string
		value []byte
		code  code.Code
	}{
		{"garbage", []byte("garbage"), code.StoreCorrupt},
		{"newer feature level", newerLevel, code.LedgerLevel},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 2, 8400, store.FencingIgnores)
				defer s.stop()
				key := ledger.Key(testEnvironment, testDataCentre, "engine-1")
				require.NoError(t, s.table.apply(store.Tx{Writes: []store.Write{{Key: key, Value: c.value}}}))
				d := s.start("vm-1")
				s.declare(document(3, 0, 2000, "1"))
				s.run(30 * time.Second)
				require.Empty(t, s.missing())
				require.Zero(t, s.engines[0].loadsArrived())
				require.Equal(t, c.code, d.controller.Status().Engines[0].SetAside)
				rows, err := s.table.Get(t.Context(), key)
				require.NoError(t, err)
				require.Equal(t, c.value, rows[0].Value)
			})
		})
	}
}
