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

// leavingWithin is when a leaving VM gets its last new work, and listLag how far
// the VM list lags in the tests.
const (
	leavingWithin = 3 * time.Second
	listLag       = 10 * time.Second
)

// share is a ShareProvider with fixed contents.
type share struct {
	mu   sync.Mutex
	held Share
}

func (s *share) Share() Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *share) set(held Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

// watched records when any daemon last took a VM for live.
func watched(duties []*Duty, vm string, begin time.Time, span time.Duration) time.Duration {
	last := time.Duration(0)
	for time.Since(begin) < span {
		time.Sleep(20 * time.Millisecond)
		for _, u := range duties {
			if u.config.VM != vm && state(u.VMs(), vm) == store.StateLive {
				last = time.Since(begin)
			}
		}
	}
	return last
}

// TestLeavingVM measures, over the ways to leave and seeds, how long a leaving VM
// still gets new work from any daemon, where the VM list lags 10 s and a fifth
// of the messages is lost.
func TestLeavingVM(t *testing.T) {
	longest := time.Duration(0)
	for _, c := range []struct {
		name    string
		daemons int
		centres int
		// leave lets the VM leave and returns its id.
		leave func(f *fabric, duties []*Duty) string
	}{
		{"daemon gets a signal", 9, 4, func(_ *fabric, duties []*Duty) string {
			_ = duties[3].Leave(context.Background())
			return "vm-003"
		}},
		{"daemon gets a signal among 140", 140, 7, func(_ *fabric, duties []*Duty) string {
			_ = duties[3].Leave(context.Background())
			return "vm-003"
		}},
		{"engine is drained by an operator", 9, 4, func(_ *fabric, duties []*Duty) string {
			duties[1].Drain("engine-1", true)
			return "engine-1"
		}},
		{"engine says so in its report", 9, 4, func(_ *fabric, duties []*Duty) string {
			loads := []engine.Report{{VM: "engine-1", At: time.Now(), Leaving: true}}
			duties[0].deps.Shares.(*share).set(Share{Loads: loads})
			return "engine-1"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFabric()
				f.lag = listLag
				duties := f.fleet(t.Context(), c.daemons, c.centres)
				f.set(append(slices.Clone(f.vms), store.VM{ID: "engine-1", Kind: store.KindEngine, Address: "e", State: store.StateLive})...)
				duties[0].tomb.Kill(nil)
				require.NoError(t, duties[0].Wait())
				duties[0] = f.start(t.Context(), f.vms[0], "vm-000-2", func(d *Deps) { d.Shares = &share{} })
				time.Sleep(40 * time.Second)
				n := 0
				f.block(func(string, string) bool { n++; return n%5 == 0 })
				begin := time.Now()
				vm := c.leave(f, duties)
				gone := slices.DeleteFunc(slices.Clone(f.vms), func(v store.VM) bool { return v.ID == vm })
				f.set(gone...)
				last := watched(duties, vm, begin, 9*time.Second)
				t.Logf("%s: last new work after %v", c.name, last)
				longest = max(longest, last)
				require.LessOrEqual(t, last, leavingWithin)
			})
		})
	}
	t.Logf("longest time to last new work: %v (list lags %v)", longest, listLag)
}

// TestLeavingVMInTheList is a VM of which only the list tells: one daemon's read
// is passed on to all.
func TestLeavingVMInTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 140, 7)
		engines := append(slices.Clone(f.vms), store.VM{ID: "engine-1", Kind: store.KindEngine, State: store.StateLive})
		f.set(engines...)
		time.Sleep(2 * SyncPeriod)
		leaving := slices.Clone(engines)
		leaving[len(leaving)-1].State = store.StateLeaving
		f.set(leaving...)
		last := watched(duties, "engine-1", time.Now(), 5*time.Second)
		t.Logf("last new work after %v", last)
		require.LessOrEqual(t, last, leavingWithin)
	})
}

// TestViewsConverge lets 140 daemons of 7 data centres hear of a new document
// and lets each fetch it from a peer, within 4 s.
func TestViewsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 140, 7)
		time.Sleep(SyncPeriod + 10*time.Second)
		for _, u := range duties {
			require.Equal(t, 140, u.Daemons())
		}
		duties[5].Announce(Announcement{Revision: 7, Digest: "d"})
		time.Sleep(4 * time.Second)
		for i, u := range duties {
			if i != 5 {
				require.Equal(t, int64(7), <-u.Newer())
				c, err := u.Document(t.Context(), 6)
				require.NoError(t, err)
				require.Equal(t, int64(7), c.Revision)
			}
		}
	})
}

func TestRegionsApartForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 12, 4)
		time.Sleep(10 * time.Second)
		region := map[string]string{}
		for _, vm := range f.vms {
			region[vm.ID] = vm.Region
		}
		f.block(func(from, to string) bool { return to != "platform" && region[from] != region[to] })
		time.Sleep(10 * time.Second)
		for _, u := range duties {
			require.Equal(t, 6, u.Daemons())
		}
		duties[0].Announce(Announcement{Revision: 3})
		duties[1].Drain("engine-9", true)
		time.Sleep(time.Hour)
		for _, u := range duties {
			require.Equal(t, 6, u.Daemons())
			require.Len(t, u.VMs(), 12)
			require.False(t, u.Gone("vm-001", time.Minute) || u.Gone("vm-002", time.Minute), "a listed VM is not gone")
		}
		f.block(func(string, string) bool { return false })
		time.Sleep(SyncPeriod + 5*time.Second)
		for i, u := range duties {
			require.Equal(t, 12, u.Daemons(), u.config.VM)
			require.True(t, u.view.advice["engine-9"].Leaving)
			if i > 0 {
				require.Equal(t, int64(3), u.Peers()[0].Revision)
			}
		}
	})
}

// TestFalseSuspicion pauses a daemon's messages for longer than it may be silent
// and restarts another on the same VM.
func TestFalseSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 9, 4)
		time.Sleep(5 * time.Second)
		f.block(func(from, to string) bool { return to != "platform" && (from == "vm-002" || to == "vm-002") })
		time.Sleep(8 * time.Second)
		require.Equal(t, 8, duties[0].Daemons())
		require.Equal(t, store.StateLive, state(duties[0].VMs(), "vm-002"), "suspicion changes no VM")
		require.False(t, duties[0].Gone("vm-002", time.Second))
		f.block(func(string, string) bool { return false })
		time.Sleep(3 * time.Second)
		for _, u := range duties {
			require.Equal(t, 9, u.Daemons(), u.config.VM)
		}
		duties[4].tomb.Kill(nil)
		require.NoError(t, duties[4].Wait())
		f.start(t.Context(), f.vms[4], "vm-004-2", nil)
		time.Sleep(5 * time.Second)
		i := slices.IndexFunc(duties[0].Peers(), func(p Peer) bool { return p.VM == "vm-004" })
		require.Equal(t, "vm-004-2", duties[0].Peers()[i].Instance)
		require.Equal(t, 9, duties[0].Daemons())
	})
}

// TestUnheardVMsAreTriedSeldom lists VMs whose daemons belong to another
// environment.
func TestUnheardVMsAreTriedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 3, 1)
		f.set(append(slices.Clone(f.vms), entryVM("trial-1", "dc-0", ""), entryVM("trial-2", "dc-0", ""))...)
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		before := f.unanswered
		f.mu.Unlock()
		time.Sleep(100 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.InDelta(t, 3*2*100/unheardTurns, f.unanswered-before, 6)
		require.Equal(t, 3, duties[0].Daemons())
	})
}

// TestGoneByHearsay has a peer tell that a listed VM is gone: it gets no new work
// until this daemon's own read, and is never left out of the list.
func TestGoneByHearsay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 30, 1)
		time.Sleep(20 * time.Second)
		gone := Entry{VM: f.vms[3], Gone: true}
		duties[0].Receive(Sender{VM: "vm-001"}, Message{Entries: []Entry{gone}})
		require.Equal(t, store.StateLeaving, state(duties[0].VMs(), "vm-003"))
		for range 300 {
			require.NotEmpty(t, state(duties[0].VMs(), "vm-003"))
			require.False(t, duties[0].Gone("vm-003", time.Second))
			time.Sleep(time.Second)
		}
		require.Equal(t, store.StateLive, state(duties[0].VMs(), "vm-003"))
	})
}

// TestAdviceDespiteClocks takes back a drain that a daemon with a fast clock
// told, and keeps the later state of the VM list.
func TestAdviceDespiteClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 3, 1)
		engine := store.VM{ID: "engine-1", Kind: store.KindEngine, State: store.StateLive}
		f.set(append(slices.Clone(f.vms), engine)...)
		time.Sleep(5 * time.Second)
		ahead := Advice{VM: "engine-1", Leaving: true, At: time.Now().Add(time.Hour).UnixMilli()}
		duties[0].Receive(Sender{VM: "vm-001"}, Message{Advice: []Advice{ahead}})
		time.Sleep(5 * time.Second)
		require.Equal(t, store.StateLeaving, state(duties[2].VMs(), "engine-1"))
		duties[1].Drain("engine-1", false)
		time.Sleep(5 * time.Second)
		for _, u := range duties {
			require.Equal(t, store.StateLive, state(u.VMs(), "engine-1"))
		}
		leaving := engine
		leaving.State = store.StateLeaving
		duties[0].Receive(Sender{VM: "vm-001"}, Message{Entries: []Entry{{VM: leaving}, {VM: engine}}})
		require.Equal(t, store.StateLeaving, state(duties[0].VMs(), "engine-1"))
	})
}

// TestPausedDaemonSuspectsNobody wakes a daemon that heard nothing while it was
// paused itself.
func TestPausedDaemonSuspectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 3, 1)
		time.Sleep(5 * time.Second)
		f.block(func(_, to string) bool { return to == "vm-000" })
		time.Sleep(SilentAfter - 2*DefaultPeriod)
		for _, d := range []string{"vm-001", "vm-002"} {
			duties[0].mu.Lock()
			duties[0].view.heard[d] = time.Now().Add(-time.Minute)
			duties[0].mu.Unlock()
		}
		duties[0].tellPeriod(true)
		require.Equal(t, 3, duties[0].Daemons())
	})
}

// TestGone requires this daemon's own reads of the list, and silence, for the
// lifetime.
func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 3, 1)
		time.Sleep(10 * time.Second)
		f.set(f.vms[0], f.vms[1])
		lifetime := 2 * time.Minute
		for begin := time.Now(); time.Since(begin) < 3*lifetime; time.Sleep(time.Second) {
			require.False(t, duties[0].Gone("vm-002", lifetime), "the daemon is still heard")
		}
		duties[2].tomb.Kill(nil)
		begin := time.Now()
		for !duties[0].Gone("vm-002", lifetime) {
			time.Sleep(time.Second)
			require.Less(t, time.Since(begin), 2*lifetime)
		}
		require.GreaterOrEqual(t, time.Since(begin), lifetime-time.Second)
		f.block(func(_, to string) bool { return to == "platform" })
		f.set(f.vms[0])
		time.Sleep(3 * lifetime)
		require.False(t, duties[0].Gone("vm-001", lifetime), "the list is out of reach")
		require.False(t, duties[0].Gone("vm-000", lifetime), "this VM itself")
	})
}

// TestNewDaemonWithoutPlatform learns the VMs from a seed.
func TestNewDaemonWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		f.fleet(t.Context(), 3, 1)
		time.Sleep(5 * time.Second)
		f.block(func(from, to string) bool { return from == "new" && to == "platform" })
		p := port{f: f, vm: "new"}
		f.mu.Lock()
		u := New(t.Context(), Config{VM: "new", Instance: "n", Address: "new", Seeds: []string{"vm-001"}}, Deps{List: p, Peers: p})
		f.duties["new"] = u
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		require.Equal(t, 4, u.Daemons())
		require.Len(t, u.VMs(), 4)
		require.True(t, u.Listed())
	})
}

// TestSharesArriveWhole sends slots once and lets the receiver fill them in.
func TestSharesArriveWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		duties := f.fleet(t.Context(), 1, 1)
		got := &received{}
		f.set(f.vms[0], entryVM("r", "dc-0", ""), entryVM("s", "dc-0", ""))
		held := Share{
			Loads:  []engine.Report{{VM: "engine-1", Slots: []envdoc.Slot{{Model: "m", Version: "1"}}}},
			Demand: []ModelDemand{{Model: "m", PerSecond: 2}},
		}
		s := &share{held: held}
		f.start(t.Context(), f.vms[1], "r-1", func(d *Deps) { d.Receiver = got })
		f.start(t.Context(), f.vms[2], "s-1", func(d *Deps) { d.Shares = s })
		time.Sleep(10 * time.Second)
		require.NotEmpty(t, duties[0].Peers())
		shares := got.all()
		require.Greater(t, len(shares), 5)
		for _, share := range shares {
			require.Equal(t, held.Loads, share.Loads)
			require.Equal(t, held.Demand, share.Demand)
		}
	})
}

// received is a ShareReceiver that keeps all.
type received struct {
	mu     sync.Mutex
	shares []Share
}

func (r *received) Receive(_ string, s Share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares = append(r.shares, s)
}

func (r *received) all() []Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares
}
