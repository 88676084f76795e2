package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// fakeCluster is a VMProvider and an engine.Reporter for the tests. The address of
// an engine is its VM id.
type fakeCluster struct {
	mu       sync.Mutex
	vms      []store.VM
	down     map[string]bool
	reads    map[string]int
	events   []engine.CacheEvent
	sequence int64
}

func newFakeCluster(daemons, engines int) *fakeCluster {
	c := &fakeCluster{down: make(map[string]bool), reads: make(map[string]int)}
	for i := range daemons {
		c.vms = append(c.vms, store.VM{ID: fmt.Sprintf("d%d", i), Kind: store.KindEntry, DataCentre: "a", State: store.StateLive})
	}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		c.vms = append(c.vms, store.VM{ID: id, Address: id, Kind: store.KindEngine, DataCentre: "a", State: store.StateLive})
	}
	return c
}

func (c *fakeCluster) VMs() []store.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]store.VM(nil), c.vms...)
}

func (c *fakeCluster) Report(_ context.Context, address string) (engine.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads[address]++
	if c.down[address] {
		return engine.Report{}, errors.New("down")
	}
	c.sequence++
	slots := []envdoc.Slot{{Model: "m", Version: "1"}}
	return engine.Report{VM: address, Instance: "1", Sequence: c.sequence, MeasuredAt: time.Now(), Slots: slots}, nil
}

func (c *fakeCluster) CacheEvents(_ context.Context, _ string, after int64) ([]engine.CacheEvent, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []engine.CacheEvent
	for _, e := range c.events {
		if e.Sequence > after {
			events = append(events, e)
		}
	}
	return events, nil
}

func (c *fakeCluster) setDown(vm string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[vm] = down
}

func (c *fakeCluster) setLeaving(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.vms {
		if c.vms[i].ID == vm {
			c.vms[i].State = store.StateLeaving
		}
	}
}

// usableEngines returns the VMs of the engines that view v offers for model m.
func usableEngines(v *route.View) []string {
	var vms []string
	for _, n := range v.AppendHolders(&route.Request{Model: "m", Version: "1"}, nil) {
		vms = append(vms, v.Engines[n].VM)
	}
	return vms
}

// startWatch starts the Watch of the daemon on vm. The returned function stops the
// Watch and must be called before the test's synctest bubble ends.
func startWatch(t *testing.T, c *fakeCluster, vm string) (*Watch, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	w := New(ctx, Config{VM: vm, DataCentre: "a"}, Deps{VMs: c, Reporter: c})
	return w, func() {
		cancel()
		require.NoError(t, w.Wait())
	}
}

func TestEngineIsReadByOneOrTwoDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(5, 8)
		var watches []*Watch
		for i := range 5 {
			w, stop := startWatch(t, c, fmt.Sprintf("d%d", i))
			defer stop()
			watches = append(watches, w)
		}
		time.Sleep(3 * time.Second)
		for e := range 8 {
			readers := 0
			for _, w := range watches {
				if _, _, ok := w.Report(fmt.Sprintf("e%d", e)); ok {
					readers++
				}
			}
			require.GreaterOrEqual(t, readers, 1)
			require.LessOrEqual(t, readers, 2)
		}
		// The daemons exchange their reports, so each view contains all engines.
		for i, w := range watches {
			for k, other := range watches {
				if i != k {
					w.ReceiveReports(fmt.Sprintf("d%d", k), other.LocalReports())
				}
			}
		}
		time.Sleep(2 * viewPeriod)
		for _, w := range watches {
			require.Len(t, usableEngines(w.View()), 8)
		}
	})
}

func TestDaemonReadsAllEnginesWhenNoDaemonIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(0, 3)
		w, stop := startWatch(t, c, "d0")
		defer stop()
		time.Sleep(2 * time.Second)
		require.Len(t, usableEngines(w.View()), 3)
		require.Len(t, w.LocalReports(), 3)
	})
}

func TestUnusableEngineIsExcluded(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(c *fakeCluster)
		within time.Duration
	}{
		{"leaving", func(c *fakeCluster) { c.setLeaving("e1") }, time.Second},
		{"broken", func(c *fakeCluster) { c.setDown("e1", true) }, 3 * time.Second},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeCluster(1, 3)
				w, stop := startWatch(t, c, "d0")
				defer stop()
				time.Sleep(2 * time.Second)
				require.Equal(t, []string{"e0", "e1", "e2"}, usableEngines(w.View()))
				x.fault(c)
				time.Sleep(x.within)
				require.Equal(t, []string{"e0", "e2"}, usableEngines(w.View()))
				c.setDown("e1", false)
				time.Sleep(2 * time.Second)
				require.Equal(t, x.name == "broken", len(usableEngines(w.View())) == 3)
			})
		})
	}
}

func TestDaemonTakesOverReadsOfSilentDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Three daemons are listed, but only d0 runs.
		c := newFakeCluster(3, 6)
		w, stop := startWatch(t, c, "d0")
		defer stop()
		time.Sleep(10 * time.Second)
		require.Len(t, usableEngines(w.View()), 6)
	})
}

func TestNumberOfReadersPerEngine(t *testing.T) {
	for _, daemons := range []int{maxPairedDaemons, maxPairedDaemons + 1} {
		var ids []string
		for i := range daemons {
			ids = append(ids, fmt.Sprint("d", i))
		}
		assignment := newReaderAssignment(ids)
		pairs := 0
		for e := range 100 {
			readers := 0
			for _, id := range ids {
				if assignment.reads(fmt.Sprint("e", e), id) {
					readers++
				}
			}
			require.Positive(t, readers)
			pairs += readers - 1
		}
		require.Equal(t, daemons <= maxPairedDaemons, pairs > 50)
		require.Equal(t, daemons > maxPairedDaemons, pairs == 0)
	}
}

// TestTakeoverKeepsReportsFresh runs three of many listed daemons. The other daemons
// do not read their assigned engines, so the three take over. After the first minute
// all engines must stay fresh in all three views.
func TestTakeoverKeepsReportsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(maxPairedDaemons+10, 6)
		var watches []*Watch
		for i := range 3 {
			w, stop := startWatch(t, c, fmt.Sprint("d", i))
			defer stop()
			watches = append(watches, w)
		}
		stale := 0
		for round := range 120 {
			time.Sleep(time.Second)
			if round%2 == 0 {
				continue
			}
			for i, w := range watches {
				for _, e := range w.View().Engines {
					if round > 60 && e.Health != route.HealthFresh {
						stale++
					}
				}
				for k, other := range watches {
					if i != k {
						other.ReceiveReports(fmt.Sprint("d", i), w.LocalReports())
					}
				}
			}
		}
		for _, w := range watches {
			require.Len(t, w.View().Engines, 6)
		}
		require.Zero(t, stale)
	})
}

func TestNewestReportWins(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 10, 0, time.UTC)
	report := func(instance string, sequence int64, at time.Time) engine.Report {
		return engine.Report{VM: "e", Instance: instance, Sequence: sequence, MeasuredAt: at, Running: int(sequence)}
	}
	cases := []struct {
		name     string
		r        engine.Report
		accepted bool
	}{
		{"newer", report("1", 6, at), true},
		{"same", report("1", 5, at), false},
		{"older", report("1", 4, at), false},
		{"after a restart", report("2", 1, at.Add(time.Second)), true},
		{"delayed from before a restart", report("0", 99, at.Add(-time.Second)), false},
	}
	for _, c := range cases {
		s := &engineState{}
		require.True(t, s.update(report("1", 5, at), at, true))
		require.Equal(t, c.accepted, s.update(c.r, at, false), c.name)
	}
}

func TestMeasurementTimeWithWrongEngineClock(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Equal(t, now.Add(-time.Second), measurementTime(now.Add(-time.Second), now))
	require.Equal(t, now, measurementTime(now.Add(time.Minute), now))
	require.Equal(t, now, measurementTime(now.Add(-time.Minute), now))
}

func TestCacheEventGapClearsIndex(t *testing.T) {
	event := func(sequence int64, prefix uint64, removed bool) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Instance: "1", Prefix: prefix, Removed: removed}
	}
	var x prefixIndex
	require.False(t, x.apply("1", []engine.CacheEvent{event(1, 10, false), event(2, 20, false), event(3, 10, true)}))
	require.Equal(t, map[uint64]bool{20: true}, x.prefixes)
	require.EqualValues(t, 3, x.lastSequence("1"))
	require.False(t, x.apply("1", []engine.CacheEvent{event(2, 20, true)}), "events that were applied before are ignored")
	require.Equal(t, map[uint64]bool{20: true}, x.prefixes)
	require.True(t, x.apply("1", []engine.CacheEvent{event(5, 50, false)}))
	require.Equal(t, map[uint64]bool{50: true}, x.prefixes)
	require.Zero(t, x.lastSequence("2"))
	x.apply("2", nil)
	require.Empty(t, x.prefixes)
}

func TestViewContainsCachedPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(1, 1)
		c.events = []engine.CacheEvent{{Sequence: 1, Instance: "1", Prefix: 7}}
		w, stop := startWatch(t, c, "d0")
		defer stop()
		time.Sleep(4 * time.Second)
		r := &route.Request{Model: "m", Version: "1", PromptTokens: 500, Prefixes: []uint64{7, 8}}
		got, verdict := route.Choose(w.View(), []route.LocalState{{ClassesWithRoom: 3}}, nil, r, route.ChoiceOptions{Now: time.Now()}, nil)
		require.Equal(t, route.VerdictChosen, verdict)
		require.Equal(t, route.BlockTokens, got.CachedTokens)
	})
}

func BenchmarkRefresh(b *testing.B) {
	c := newFakeCluster(51, 0)
	for i := range 600 {
		c.vms = append(c.vms, store.VM{ID: fmt.Sprintf("e%03d", i), Kind: store.KindEngine, DataCentre: fmt.Sprint("dc", i%7), State: store.StateLive})
	}
	w := &Watch{config: Config{VM: "d0", DataCentre: "a"}, deps: Deps{VMs: c}, engines: make(map[string]*engineState), assigned: make(map[string]bool), period: time.Hour}
	now := time.Now()
	w.view.Store(route.NewView("a", nil, nil, nil))
	w.refresh(now)
	for id, s := range w.engines {
		slots := make([]envdoc.Slot, 20)
		for i := range slots {
			slots[i] = envdoc.Slot{Model: fmt.Sprint("m", i), Version: "1"}
		}
		s.update(engine.Report{VM: id, Instance: "1", Sequence: 1, MeasuredAt: now, Slots: slots}, now, true)
	}
	b.ReportAllocs()
	for b.Loop() {
		w.refresh(now)
	}
}
