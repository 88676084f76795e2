package watch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/random"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// remoteReport returns a daemon's answer with the report of engine "far", which
// lists one slot.
func remoteReport(instance string, sequence int64, model string) []engine.Report {
	return []engine.Report{{VM: "far", Instance: instance, Sequence: sequence, MeasuredAt: time.Now(), Slots: []envdoc.Slot{{Model: model, Version: "1"}}}}
}

func TestRemoteReportsAreMergedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(1, 1)
		c.vms = append(c.vms, store.VM{ID: "far", Kind: store.KindEngine, DataCentre: "b", State: store.StateLive})
		w, stop := startWatch(t, c, "d0")
		defer stop()
		time.Sleep(time.Second)
		w.ReceiveRemoteReports(remoteReport("1", 5, "x"))
		w.ReceiveRemoteReports(remoteReport("1", 5, "y"))
		w.ReceiveRemoteReports([]engine.Report{{VM: "e0", Instance: "9", Sequence: 99, MeasuredAt: time.Now()}, {VM: "unlisted"}})
		v := w.View()
		require.True(t, v.HasHolder("x", "") && v.HasHolder("y", "") && v.HasHolder("m", ""))
		require.Equal(t, route.HealthFresh, v.Engines[v.Number("far")].Health)

		time.Sleep(staleAfter + time.Second)
		w.ReceiveRemoteReports(remoteReport("1", 5, "x"))
		v = w.View()
		require.Equal(t, route.HealthStale, v.Engines[v.Number("far")].Health, "a repeated report does not make a stale engine fresh")
		time.Sleep(remoteSlotTTL - staleAfter)
		v = w.View()
		require.True(t, v.HasHolder("x", ""))
		require.False(t, v.HasHolder("y", ""))

		w.ReceiveRemoteReports(remoteReport("2", 1, "z"))
		v = w.View()
		require.True(t, v.HasHolder("z", ""))
		require.False(t, v.HasHolder("x", ""), "slots of an earlier engine process are dropped")
		w.ReceiveRemoteReports([]engine.Report{{VM: "far", Instance: "1", Sequence: 9, MeasuredAt: time.Now().Add(-time.Hour), Slots: []envdoc.Slot{{Model: "x"}}}})
		require.False(t, w.View().HasHolder("x", ""))

		w.ReceiveReports("d1", []engine.Report{{VM: "far", Instance: "2", Sequence: 2, MeasuredAt: time.Now(), Slots: []envdoc.Slot{{Model: "whole"}}}})
		w.ReceiveRemoteReports(remoteReport("2", 3, "z"))
		time.Sleep(viewPeriod)
		require.True(t, w.View().HasHolder("whole", ""))
		require.False(t, w.View().HasHolder("z", ""), "a complete report takes precedence over answers")
	})
}

func TestSlotHoldersPrefersEnginesWithRoom(t *testing.T) {
	w := &Watch{config: Config{VM: "d0", DataCentre: "a"}, random: random.New(), engines: make(map[string]*engineState)}
	now := time.Now()
	add := func(id, dataCentre string, running int, slots ...envdoc.Slot) {
		s := &engineState{vm: store.VM{ID: id, DataCentre: dataCentre, State: store.StateLive}}
		s.update(engine.Report{VM: id, Instance: "1", Sequence: 1, MeasuredAt: now, BatchLimit: 8, Running: running, Slots: slots}, now, true)
		w.engines[id] = s
	}
	x, y, old := envdoc.Slot{Model: "x", Version: "2"}, envdoc.Slot{Model: "y", Version: "1"}, envdoc.Slot{Model: "x", Version: "1"}
	for i := range 4 {
		add(fmt.Sprint("full", i), "a", 8, x, y)
	}
	add("room", "a", 3, y, x)
	add("old", "a", 0, old)
	add("elsewhere", "b", 0, x)
	got := w.SlotHolders([]envdoc.Slot{x})
	require.Len(t, got, holdersPerSlot)
	require.Equal(t, "room", got[0].VM)
	require.Equal(t, []envdoc.Slot{x}, got[0].Slots)
	require.NotEqual(t, "old", got[1].VM)
	got = w.SlotHolders([]envdoc.Slot{x, y})
	require.Equal(t, []envdoc.Slot{x, y}, got[0].Slots)
	require.Equal(t, []envdoc.Slot{y, x}, w.engines["room"].report.Slots, "the stored report is unchanged")
	got = w.SlotHolders([]envdoc.Slot{{Model: "x", Version: "3"}})
	require.Len(t, got, holdersPerSlot, "engines with another version are returned if none holds the requested one")
	w.engines["room"].receivedAt = now.Add(-time.Hour)
	require.NotEqual(t, "room", w.SlotHolders([]envdoc.Slot{x})[0].VM)
	require.Empty(t, w.SlotHolders([]envdoc.Slot{{Model: "absent"}}))
}
