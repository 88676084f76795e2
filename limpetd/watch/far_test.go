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

// farReport is an answer that tells one slot of engine "far".
func farReport(instance string, sequence int64, model string) []engine.Report {
	return []engine.Report{{VM: "far", Instance: instance, Sequence: sequence, At: time.Now(), Slots: []envdoc.Slot{{Model: model, Version: "1"}}}}
}

func TestAnswersAreJoinedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		c.vms = append(c.vms, store.VM{ID: "far", Kind: store.KindEngine, DataCentre: "b", State: store.StateLive})
		w, stop := start(t, c, "d0")
		defer stop()
		time.Sleep(time.Second)
		w.ReceiveFar(farReport("1", 5, "x"))
		w.ReceiveFar(farReport("1", 5, "y"))
		w.ReceiveFar([]engine.Report{{VM: "e0", Instance: "9", Sequence: 99, At: time.Now()}, {VM: "unlisted"}})
		v := w.View()
		require.True(t, v.Holds("x", "") && v.Holds("y", "") && v.Holds("m", ""))
		require.Equal(t, route.HealthFresh, v.Engines[v.Number("far")].Health)

		time.Sleep(staleAfter + time.Second)
		w.ReceiveFar(farReport("1", 5, "x"))
		v = w.View()
		require.Equal(t, route.HealthStale, v.Engines[v.Number("far")].Health, "the same report makes nothing fresh")
		time.Sleep(farKeep - staleAfter)
		v = w.View()
		require.True(t, v.Holds("x", ""))
		require.False(t, v.Holds("y", ""))

		w.ReceiveFar(farReport("2", 1, "z"))
		v = w.View()
		require.True(t, v.Holds("z", ""))
		require.False(t, v.Holds("x", ""), "another process holds other slots")
		w.ReceiveFar([]engine.Report{{VM: "far", Instance: "1", Sequence: 9, At: time.Now().Add(-time.Hour), Slots: []envdoc.Slot{{Model: "x"}}}})
		require.False(t, w.View().Holds("x", ""))

		w.Receive("d1", []engine.Report{{VM: "far", Instance: "2", Sequence: 2, At: time.Now(), Slots: []envdoc.Slot{{Model: "whole"}}}})
		w.ReceiveFar(farReport("2", 3, "z"))
		time.Sleep(viewPeriod)
		require.True(t, w.View().Holds("whole", ""))
		require.False(t, w.View().Holds("z", ""), "a whole report goes before answers")
	})
}

func TestHoldersNamesAFewWithRoom(t *testing.T) {
	w := &Watch{config: Config{VM: "d0", DataCentre: "a"}, random: random.New(), engines: make(map[string]*state)}
	now := time.Now()
	add := func(id, centre string, running int, slots ...envdoc.Slot) {
		s := &state{vm: store.VM{ID: id, DataCentre: centre, State: store.StateLive}}
		s.take(engine.Report{VM: id, Instance: "1", Sequence: 1, At: now, BatchLimit: 8, Running: running, Slots: slots}, now, true)
		w.engines[id] = s
	}
	x, y, old := envdoc.Slot{Model: "x", Version: "2"}, envdoc.Slot{Model: "y", Version: "1"}, envdoc.Slot{Model: "x", Version: "1"}
	for i := range 4 {
		add(fmt.Sprint("full", i), "a", 8, x, y)
	}
	add("room", "a", 3, y, x)
	add("old", "a", 0, old)
	add("elsewhere", "b", 0, x)
	got := w.Holders([]envdoc.Slot{x})
	require.Len(t, got, holdersEach)
	require.Equal(t, "room", got[0].VM)
	require.Equal(t, []envdoc.Slot{x}, got[0].Slots)
	require.NotEqual(t, "old", got[1].VM)
	got = w.Holders([]envdoc.Slot{x, y})
	require.Equal(t, []envdoc.Slot{x, y}, got[0].Slots)
	require.Equal(t, []envdoc.Slot{y, x}, w.engines["room"].report.Slots, "the report itself stays as it was")
	got = w.Holders([]envdoc.Slot{{Model: "x", Version: "3"}})
	require.Len(t, got, holdersEach, "another version is told when none holds this one")
	w.engines["room"].received = now.Add(-time.Hour)
	require.NotEqual(t, "room", w.Holders([]envdoc.Slot{x})[0].VM)
	require.Empty(t, w.Holders([]envdoc.Slot{{Model: "absent"}}))
}
