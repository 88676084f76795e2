package member

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// leavingWithin is the time within which daemons must stop sending new work to a
// leaving VM, and listLag the lag of the VM list in the tests.
const (
	leavingWithin = 3 * time.Second
	listLag       = 10 * time.Second
)

// fakeReports is a DaemonReportProvider with settable contents.
type fakeReports struct {
	mu      sync.Mutex
	current DaemonReport
}

func (s *fakeReports) DaemonReport() DaemonReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *fakeReports) set(current DaemonReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = current
}

// lastLive polls the views of all daemons and returns the time after begin at which
// another daemon last listed the VM as live.
func lastLive(memberships []*Membership, vm string, begin time.Time, duration time.Duration) time.Duration {
	last := time.Duration(0)
	for time.Since(begin) < duration {
		time.Sleep(20 * time.Millisecond)
		for _, u := range memberships {
			if u.config.VM != vm && vmState(u.VMs(), vm) == store.StateLive {
				last = time.Since(begin)
			}
		}
	}
	return last
}

// TestLeavingVM measures, for each way to leave, how long daemons still send new work
// to a leaving VM while the VM list lags by 10 s and a fifth of the messages is lost.
func TestLeavingVM(t *testing.T) {
	longest := time.Duration(0)
	for _, c := range []struct {
		name    string
		daemons int
		centres int
		// leave makes a VM leave and returns its id.
		leave func(f *fakeNetwork, memberships []*Membership) string
	}{
		{"daemon receives a signal", 9, 4, func(_ *fakeNetwork, memberships []*Membership) string {
			_ = memberships[3].Leave(context.Background())
			return "vm-003"
		}},
		{"daemon receives a signal among 140", 140, 7, func(_ *fakeNetwork, memberships []*Membership) string {
			_ = memberships[3].Leave(context.Background())
			return "vm-003"
		}},
		{"engine is drained by an operator", 9, 4, func(_ *fakeNetwork, memberships []*Membership) string {
			memberships[1].AnnounceDrain("engine-1", true)
			return "engine-1"
		}},
		{"engine reports that it is leaving", 9, 4, func(_ *fakeNetwork, memberships []*Membership) string {
			loads := []engine.Report{{VM: "engine-1", MeasuredAt: time.Now(), Leaving: true}}
			memberships[0].deps.Reports.(*fakeReports).set(DaemonReport{EngineReports: loads})
			return "engine-1"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeNetwork()
				f.lag = listLag
				memberships := f.startFleet(t.Context(), c.daemons, c.centres)
				f.setList(append(slices.Clone(f.list), store.VM{ID: "engine-1", Kind: store.KindEngine, Address: "e", State: store.StateLive})...)
				memberships[0].tomb.Kill(nil)
				require.NoError(t, memberships[0].Wait())
				memberships[0] = f.start(t.Context(), f.list[0], "vm-000-2", func(d *Deps) { d.Reports = &fakeReports{} })
				time.Sleep(40 * time.Second)
				f.setLoss(5)
				begin := time.Now()
				vm := c.leave(f, memberships)
				remaining := slices.DeleteFunc(slices.Clone(f.list), func(v store.VM) bool { return v.ID == vm })
				f.setList(remaining...)
				last := lastLive(memberships, vm, begin, 9*time.Second)
				t.Logf("%s: last sent new work after %v", c.name, last)
				longest = max(longest, last)
				require.LessOrEqual(t, last, leavingWithin)
				require.InDelta(t, 0.2, f.lossRate(), 0.01)
			})
		})
	}
	t.Logf("longest time until the last new work: %v (list lag: %v)", longest, listLag)
}

// TestLeavingVMInList covers a VM whose leaving appears only in the VM list: the
// first daemon to read the list must relay the change to all others.
func TestLeavingVMInList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 140, 7)
		engines := append(slices.Clone(f.list), store.VM{ID: "engine-1", Kind: store.KindEngine, State: store.StateLive})
		f.setList(engines...)
		time.Sleep(2 * SyncPeriod)
		leaving := slices.Clone(engines)
		leaving[len(leaving)-1].State = store.StateLeaving
		f.setList(leaving...)
		last := lastLive(memberships, "engine-1", time.Now(), 5*time.Second)
		t.Logf("last sent new work after %v", last)
		require.LessOrEqual(t, last, leavingWithin)
	})
}

// TestViewsConverge announces a new document among 140 daemons in 7 data centres.
// Within 4 s, each daemon must receive the revision and be able to fetch the document
// from a peer.
func TestViewsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 140, 7)
		time.Sleep(SyncPeriod + 10*time.Second)
		for _, u := range memberships {
			require.Equal(t, 140, u.LiveDaemons())
		}
		memberships[5].Announce(Announcement{Revision: 7, Digest: "d"})
		time.Sleep(4 * time.Second)
		for i, u := range memberships {
			if i != 5 {
				require.Equal(t, int64(7), <-u.NewerRevisions())
				c, err := u.Document(t.Context(), 6)
				require.NoError(t, err)
				require.Equal(t, int64(7), c.Revision)
			}
		}
	})
}

// TestRegionPartition blocks all messages between two regions for an hour. Each side
// must count only its own daemons but keep all listed VMs, and the views must agree
// again soon after the partition ends.
func TestRegionPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 12, 4)
		time.Sleep(10 * time.Second)
		region := map[string]string{}
		for _, vm := range f.list {
			region[vm.ID] = vm.Region
		}
		f.block(func(from, to string) bool { return to != "platform" && region[from] != region[to] })
		time.Sleep(10 * time.Second)
		for _, u := range memberships {
			require.Equal(t, 6, u.LiveDaemons())
		}
		memberships[0].Announce(Announcement{Revision: 3})
		memberships[1].AnnounceDrain("engine-9", true)
		time.Sleep(time.Hour)
		for _, u := range memberships {
			require.Equal(t, 6, u.LiveDaemons())
			require.Len(t, u.VMs(), 12)
			require.False(t, u.IsGone("vm-001", time.Minute) || u.IsGone("vm-002", time.Minute), "a listed VM is not gone")
		}
		f.block(func(string, string) bool { return false })
		time.Sleep(SyncPeriod + 5*time.Second)
		for i, u := range memberships {
			require.Equal(t, 12, u.LiveDaemons(), u.config.VM)
			require.True(t, u.view.drainNotices["engine-9"].Leaving)
			if i > 0 {
				require.Equal(t, int64(3), u.Peers()[0].Revision)
			}
		}
	})
}

// TestFalseSuspicion blocks a daemon's messages until it is suspected; once they
// arrive again it must refute the suspicion. It then restarts another daemon on the
// same VM, whose new instance must replace the old one.
func TestFalseSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 9, 4)
		time.Sleep(5 * time.Second)
		f.block(func(from, to string) bool { return to != "platform" && (from == "vm-002" || to == "vm-002") })
		time.Sleep(8 * time.Second)
		require.Equal(t, 8, memberships[0].LiveDaemons())
		require.Equal(t, store.StateLive, vmState(memberships[0].VMs(), "vm-002"), "a suspicion does not change the state of the VM")
		require.False(t, memberships[0].IsGone("vm-002", time.Second))
		f.block(func(string, string) bool { return false })
		time.Sleep(3 * time.Second)
		for _, u := range memberships {
			require.Equal(t, 9, u.LiveDaemons(), u.config.VM)
		}
		memberships[4].tomb.Kill(nil)
		require.NoError(t, memberships[4].Wait())
		f.start(t.Context(), f.list[4], "vm-004-2", nil)
		time.Sleep(5 * time.Second)
		i := slices.IndexFunc(memberships[0].Peers(), func(p Peer) bool { return p.VM == "vm-004" })
		require.Equal(t, "vm-004-2", memberships[0].Peers()[i].Instance)
		require.Equal(t, 9, memberships[0].LiveDaemons())
	})
}

// TestUnconfirmedVMsAreContactedRarely lists VMs that run daemons of another
// environment and therefore never answer.
func TestUnconfirmedVMsAreContactedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 3, 1)
		f.setList(append(slices.Clone(f.list), entryVM("trial-1", "dc-0", ""), entryVM("trial-2", "dc-0", ""))...)
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		before := f.unanswered
		f.mu.Unlock()
		time.Sleep(100 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.InDelta(t, 3*2*100/unconfirmedTurns, f.unanswered-before, 6)
		require.Equal(t, 3, memberships[0].LiveDaemons())
	})
}

// TestIsGoneNeedsOwnReads has a peer wrongly report that a listed VM is gone. The VM
// must receive no new work until this daemon's own read of the list, and must never
// disappear from the merged list.
func TestIsGoneNeedsOwnReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 30, 1)
		time.Sleep(20 * time.Second)
		gone := Entry{VM: f.list[3], Gone: true}
		memberships[0].Receive(Sender{VM: "vm-001"}, Message{Entries: []Entry{gone}})
		require.Equal(t, store.StateLeaving, vmState(memberships[0].VMs(), "vm-003"))
		for range 300 {
			require.NotEmpty(t, vmState(memberships[0].VMs(), "vm-003"))
			require.False(t, memberships[0].IsGone("vm-003", time.Second))
			time.Sleep(time.Second)
		}
		require.Equal(t, store.StateLive, vmState(memberships[0].VMs(), "vm-003"))
	})
}

// TestDrainNoticeToleratesClockSkew reverts a drain whose time lies in the future because
// the clock of its sender was ahead. A later state from the VM list must also win
// over an earlier one that arrives after it.
func TestDrainNoticeToleratesClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 3, 1)
		engine := store.VM{ID: "engine-1", Kind: store.KindEngine, State: store.StateLive}
		f.setList(append(slices.Clone(f.list), engine)...)
		time.Sleep(5 * time.Second)
		ahead := DrainNotice{VM: "engine-1", Leaving: true, At: time.Now().Add(time.Hour).UnixMilli()}
		memberships[0].Receive(Sender{VM: "vm-001"}, Message{DrainNotices: []DrainNotice{ahead}})
		time.Sleep(5 * time.Second)
		require.Equal(t, store.StateLeaving, vmState(memberships[2].VMs(), "engine-1"))
		memberships[1].AnnounceDrain("engine-1", false)
		time.Sleep(5 * time.Second)
		for _, u := range memberships {
			require.Equal(t, store.StateLive, vmState(u.VMs(), "engine-1"))
		}
		leaving := engine
		leaving.State = store.StateLeaving
		memberships[0].Receive(Sender{VM: "vm-001"}, Message{Entries: []Entry{{VM: leaving}, {VM: engine}}})
		require.Equal(t, store.StateLeaving, vmState(memberships[0].VMs(), "engine-1"))
	})
}

// TestPausedDaemonSuspectsNoPeers resumes a daemon that received no messages because
// it was paused itself.
func TestPausedDaemonSuspectsNoPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 3, 1)
		time.Sleep(5 * time.Second)
		f.block(func(_, to string) bool { return to == "vm-000" })
		time.Sleep(SilentAfter - 2*DefaultPeriod)
		for _, d := range []string{"vm-001", "vm-002"} {
			memberships[0].mu.Lock()
			memberships[0].view.lastReceived[d] = time.Now().Add(-time.Minute)
			memberships[0].mu.Unlock()
		}
		memberships[0].sendPeriodic(true)
		require.Equal(t, 3, memberships[0].LiveDaemons())
	})
}

// TestIsGone checks that a VM counts as gone only after it has been both missing from
// this daemon's own reads of the list and silent for the lifetime.
func TestIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 3, 1)
		time.Sleep(10 * time.Second)
		f.setList(f.list[0], f.list[1])
		lifetime := 2 * time.Minute
		for begin := time.Now(); time.Since(begin) < 3*lifetime; time.Sleep(time.Second) {
			require.False(t, memberships[0].IsGone("vm-002", lifetime), "the daemon still sends messages")
		}
		memberships[2].tomb.Kill(nil)
		begin := time.Now()
		for !memberships[0].IsGone("vm-002", lifetime) {
			time.Sleep(time.Second)
			require.Less(t, time.Since(begin), 2*lifetime)
		}
		require.GreaterOrEqual(t, time.Since(begin), lifetime-time.Second)
		f.block(func(_, to string) bool { return to == "platform" })
		f.setList(f.list[0])
		time.Sleep(3 * lifetime)
		require.False(t, memberships[0].IsGone("vm-001", lifetime), "the list cannot be read")
		require.False(t, memberships[0].IsGone("vm-000", lifetime), "a daemon does not consider its own VM gone")
	})
}

// TestBootstrapFromSeed starts a daemon that cannot reach the platform: it must get
// the VM list from a seed.
func TestBootstrapFromSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		f.startFleet(t.Context(), 3, 1)
		time.Sleep(5 * time.Second)
		f.block(func(from, to string) bool { return from == "new" && to == "platform" })
		p := endpoint{network: f, vm: "new"}
		f.mu.Lock()
		u := New(t.Context(), Config{VM: "new", Instance: "n", Address: "new", Seeds: []string{"vm-001"}}, Deps{List: p, Peers: p})
		f.memberships["new"] = u
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		require.Equal(t, 4, u.LiveDaemons())
		require.Len(t, u.VMs(), 4)
		require.True(t, u.Listed())
	})
}

// TestDaemonReportsArriveComplete sends slots only once; the receiver must restore them in
// later reports.
func TestDaemonReportsArriveComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		memberships := f.startFleet(t.Context(), 1, 1)
		receiver := &recordedReports{}
		f.setList(f.list[0], entryVM("r", "dc-0", ""), entryVM("s", "dc-0", ""))
		sent := DaemonReport{
			EngineReports: []engine.Report{{VM: "engine-1", Slots: []envdoc.Slot{{Model: "m", Version: "1"}}}},
			Demand:        []ModelDemand{{Model: "m", PerSecond: 2}},
		}
		provider := &fakeReports{current: sent}
		f.start(t.Context(), f.list[1], "r-1", func(d *Deps) { d.Receiver = receiver })
		f.start(t.Context(), f.list[2], "s-1", func(d *Deps) { d.Reports = provider })
		time.Sleep(10 * time.Second)
		require.NotEmpty(t, memberships[0].Peers())
		reports := receiver.all()
		require.Greater(t, len(reports), 5)
		for _, report := range reports {
			require.Equal(t, sent.EngineReports, report.EngineReports)
			require.Equal(t, sent.Demand, report.Demand)
		}
	})
}

// recordedReports is a DaemonReportReceiver that records all reports.
type recordedReports struct {
	mu      sync.Mutex
	reports []DaemonReport
}

func (r *recordedReports) Receive(_ string, s DaemonReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, s)
}

func (r *recordedReports) all() []DaemonReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports
}
