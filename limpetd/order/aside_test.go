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

// TestNonsenseSetsAside requires that an engine whose reports contradict
// themselves gets no orders and keeps its charges, and is used again later.
func TestNonsenseSetsAside(t *testing.T) {
	cases := []struct {
		name   string
		mangle func(r *engine.Report)
	}{
		{"negative memory", func(r *engine.Report) { r.UsedMB = -1 }},
		{"more than it has", func(r *engine.Report) { r.UsedMB = r.MemoryMB + 1 }},
		{"unknown slot", func(r *engine.Report) { r.Slots = append(r.Slots, envdoc.Slot{Model: "ghost", Version: "1"}) }},
		{"time runs back", func(r *engine.Report) { r.At = r.At.Add(-time.Duration(r.Sequence) * time.Hour) }},
		{"sequence runs back", func(r *engine.Report) { r.Sequence = -r.Sequence }},
		{"no instance", func(r *engine.Report) { r.Instance = "" }},
		{"negative load", func(r *engine.Report) { r.Waiting = -1 }},
		{"another's name", func(r *engine.Report) { r.VM = "engine-9" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { setAside(t, c.mangle) })
		})
	}
}

func setAside(t *testing.T, mangle func(r *engine.Report)) {
	w := newWorld(t, 2, 4400, store.FencingIgnores)
	defer w.stop()
	d := w.start("vm-1")
	w.declare(document(2, 0, 2000, "1"))
	w.run(20 * time.Second)
	odd := w.engines[0]
	odd.setMangle(mangle)
	w.run(30 * time.Second)
	status := d.duty.Status().Engines[0]
	require.Equal(t, code.EngineSetAside, status.SetAside)
	require.Equal(t, int64(2000), status.CommittedMB)
	before := odd.arrivals()
	w.declare(document(3, 0, 2000, "1"))
	w.run(30 * time.Second)
	require.Equal(t, before, odd.arrivals())
	odd.setMangle(nil)
	odd.restart()
	w.run(30 * time.Second)
	require.Equal(t, code.OK, d.duty.Status().Engines[0].SetAside)
	require.Empty(t, w.missing())
}

// TestUnreadableRowSetsAside requires that nothing is ordered of an engine whose
// row can't be read, and that the row is left as it is.
func TestUnreadableRowSetsAside(t *testing.T) {
	newer, err := ledger.Encode(ledger.Row{Engine: "engine-1"})
	require.NoError(t, err)
	for i := range newer {
		if string(newer[max(0, i-5):i]) == "level" {
			newer[i] = 9
		}
	}
	cases := []struct {
		name  string
		value []byte
		code  code.Code
	}{
		{"garbage", []byte("garbage"), code.StoreCorrupt},
		{"newer level", newer, code.LedgerLevel},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, 8400, store.FencingIgnores)
				defer w.stop()
				key := ledger.Key(testEnvironment, testCentre, "engine-1")
				require.NoError(t, w.table.apply(store.Tx{Writes: []store.Write{{Key: key, Value: c.value}}}))
				d := w.start("vm-1")
				w.declare(document(3, 0, 2000, "1"))
				w.run(30 * time.Second)
				require.Empty(t, w.missing())
				require.Zero(t, w.engines[0].arrivals())
				require.Equal(t, c.code, d.duty.Status().Engines[0].SetAside)
				rows, err := w.table.Get(t.Context(), key)
				require.NoError(t, err)
				require.Equal(t, c.value, rows[0].Value)
			})
		})
	}
}
