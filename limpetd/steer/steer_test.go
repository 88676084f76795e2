package steer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/sched"
	"github.com/limpetlb/limpetlb/limpetd/steer"
)

// patience bounds the wait for what must come about.
const patience = 20 * time.Second

// leases is a store of one lease.
type leases struct {
	mu        sync.Mutex
	row       lease.Row
	version   int64
	announced string
	// lose makes writes take effect without an answer, down refuses all calls.
	lose, down map[string]bool
}

// view is the store as one daemon reaches it.
type view struct {
	*leases
	vm string
}

func (l view) Read(context.Context) (lease.Row, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down[l.vm] {
		return lease.Row{}, 0, code.Errorf(code.StoreDown, "down")
	}
	return l.row, l.version, nil
}

func (l view) Write(_ context.Context, r lease.Row, version int64, announce bool) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down[l.vm]:
		return 0, code.Errorf(code.StoreDown, "down")
	case version != l.version:
		return 0, code.Errorf(code.StoreConflict, "another version")
	}
	l.row = r
	l.version += 7
	if announce {
		l.announced = l.vm
	}
	if l.lose[l.vm] {
		return 0, code.Errorf(code.StoreUnknown, "no answer")
	}
	return l.version, nil
}

// engines are engines that hold what they are ordered to hold.
type engines struct {
	mu     sync.Mutex
	state  map[string]int64
	fence  int64
	models map[string]map[string]layout.Held
	orders []steer.Order
}

func (e *engines) Report(_ context.Context, s *layout.Server) (steer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return steer.Report{State: e.state[s.ID], Models: e.models[s.ID]}, nil
}

func (e *engines) Order(_ context.Context, s *layout.Server, o steer.Order) (steer.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return steer.Fenced, nil
	}
	e.fence = o.Fence
	if o.State != e.state[s.ID] {
		return steer.Conflict, nil
	}
	e.state[s.ID]++
	e.orders = append(e.orders, o)
	held := map[string]layout.Held{}
	for m, h := range e.models[s.ID] {
		held[m] = h
	}
	switch {
	case o.Adapter != "":
		h := held[o.Model]
		h.Adapters = append(append([]string(nil), h.Adapters...), o.Adapter)
		held[o.Model] = h
	case o.Unload:
		delete(held, o.Model)
	default:
		held[o.Model] = layout.Held{}
	}
	e.models[s.ID] = held
	return steer.Accepted, nil
}

// listener notes what it is told.
type listener struct {
	mu       sync.Mutex
	adapters map[string]map[string]bool
	shared   map[string]sched.Shared
	own      map[string]sched.Shared
	// learned and paused count samples and streams that paused.
	learned, paused int
	// freeze holds up asks while it is locked.
	freeze sync.Mutex
}

func (l *listener) Own() map[string]sched.Shared { return l.own }

func (l *listener) Share(all map[string]sched.Shared) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared = all
}

func (l *listener) Holdings(adapters, _ map[string]map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapters = adapters
}

func (l *listener) Reserve(sched.Ask) sched.Grant {
	l.freeze.Lock()
	defer l.freeze.Unlock()
	return sched.Grant{Verdict: sched.Chosen, Server: "e1"}
}

func (l *listener) Learn(list []sched.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned += len(list)
}

func (l *listener) Streamed(_ string, _, paused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused += paused
}

func (l *listener) PerToken(_, _ string) time.Duration { return 50 * time.Microsecond }

func (l *listener) holds(engine, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.adapters[engine][name]
}

// daemon is a steerer under test.
type daemon struct {
	*steer.Steerer
	member   steer.Member
	listener *listener
	stop     context.CancelFunc
}

func start(t *testing.T, l *leases, e *engines, vm string, power float64) *daemon {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		member:   steer.Member{VM: vm, Instance: vm + "-1", Address: socket.Addr().String(), Power: power},
		listener: &listener{own: map[string]sched.Shared{"e1": {Calls: 2, Pending: 1, Gap: 40}}},
		stop:     cancel,
	}
	d.Steerer = steer.New(ctx, steer.Config{Self: d.member}, steer.Deps{
		Engines: e, Leases: view{l, vm}, Listener: d.listener, Clock: time.Now, Log: zap.NewNop(), Scope: tally.NoopScope,
	}, socket)
	t.Cleanup(func() {
		cancel()
		// Whether the context or the last duty ends first is left open.
		if err := d.Wait(); err != nil {
			require.ErrorIs(t, err, context.Canceled)
		}
	})
	d.Know(&layout.Config{Services: map[string]*layout.Service{"s": {Name: "s", Engines: &layout.Engines{
		MemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 10,
		Models: []layout.Model{{Name: "m", MemoryMB: 40, Adapters: []string{"a1"}, AdapterMB: 1}, {Name: "n", MemoryMB: 40}},
	}}}}, []*layout.Server{{ID: "e1", Service: "s", Models: map[string]layout.Held{"m": {}}}})
	return d
}

func newEngines() *engines {
	return &engines{state: map[string]int64{}, models: map[string]map[string]layout.Held{"e1": {"m": {}}}}
}

func newLeases() *leases { return &leases{lose: map[string]bool{}, down: map[string]bool{}} }

// join tells all daemons of each other, and who has announced itself.
func join(l *leases, all ...*daemon) func() bool {
	return func() bool {
		l.mu.Lock()
		announced := l.announced
		l.mu.Unlock()
		members := []steer.Member{}
		for _, d := range all {
			members = append(members, d.member)
		}
		for _, d := range all {
			d.Members(members)
			for _, o := range all {
				if o.member.VM == announced {
					d.Announced(o.member)
				}
			}
		}
		return announced != ""
	}
}

func TestAdapterThatAnotherDaemonWantsIsLoadedAndAnnounced(t *testing.T) {
	l, e := newLeases(), newEngines()
	one, two := start(t, l, e, "one", 1), start(t, l, e, "two", 1)
	require.Eventually(t, join(l, one, two), patience, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		join(l, one, two)()
		for _, d := range []*daemon{one, two} {
			d.Want("s", "m", "a1")
		}
		return one.listener.holds("e1", "m/a1") && two.listener.holds("e1", "m/a1")
	}, patience, 20*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if o.Adapter == "a1" {
			n++
		}
	}
	require.Equal(t, 1, n)
}

func TestLoadsOfAllDaemonsAreAddedUp(t *testing.T) {
	l, e := newLeases(), newEngines()
	one, two := start(t, l, e, "one", 1), start(t, l, e, "two", 1)
	require.Eventually(t, func() bool {
		join(l, one, two)()
		one.listener.mu.Lock()
		two.listener.mu.Lock()
		defer one.listener.mu.Unlock()
		defer two.listener.mu.Unlock()
		want := sched.Shared{Calls: 4, Pending: 2, Gap: 40}
		return one.listener.shared["e1"] == want && two.listener.shared["e1"] == want
	}, patience, 5*time.Millisecond)
}

// TestWeakDaemonLeavesTheLeaseToAStrongOne: the time that a weak daemon waits used to
// count from the start of its process, so it took the lease at the first change.
func TestWeakDaemonLeavesTheLeaseToAStrongOne(t *testing.T) {
	l, e := newLeases(), newEngines()
	first := start(t, l, e, "first", 8)
	require.Eventually(t, first.Holds, patience, 5*time.Millisecond)
	weak, strong := start(t, l, e, "weak", 0.1), start(t, l, e, "strong", 8)
	require.Eventually(t, join(l, first, weak, strong), patience, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	first.stop()
	require.Eventually(t, func() bool { return weak.Holds() || strong.Holds() }, patience, time.Millisecond)
	require.True(t, strong.Holds())
}

func TestLeaseIsKeptThroughLostAnswers(t *testing.T) {
	l, e := newLeases(), newEngines()
	d := start(t, l, e, "one", 1)
	require.Eventually(t, d.Holds, patience, 5*time.Millisecond)
	l.mu.Lock()
	l.lose["one"] = true
	l.mu.Unlock()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.LessOrEqual(t, l.fence(), int64(1), "the lease changed hands")
	}
	l.mu.Lock()
	l.lose["one"] = false
	l.mu.Unlock()
	require.Eventually(t, d.Holds, patience, 5*time.Millisecond)
}

func (l *leases) fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// pair starts two daemons that are linked, and returns which one steers.
func pair(t *testing.T, l *leases, e *engines) (holder, other *daemon) {
	t.Helper()
	one, two := start(t, l, e, "one", 1), start(t, l, e, "two", 0.9)
	require.Eventually(t, join(l, one, two), patience, 5*time.Millisecond)
	require.Eventually(t, func() bool { return one.Holds() || two.Holds() }, patience, 5*time.Millisecond)
	holder, other = one, two
	if two.Holds() {
		holder, other = two, one
	}
	join(l, one, two)()
	require.Eventually(t, func() bool {
		other.listener.mu.Lock()
		defer other.listener.mu.Unlock()
		return other.listener.shared != nil
	}, patience, 5*time.Millisecond)
	return holder, other
}

// TestSteererGoesOnWithoutTheStore: nobody steered while the store was away.
func TestSteererGoesOnWithoutTheStore(t *testing.T) {
	l, e := newLeases(), newEngines()
	holder, other := pair(t, l, e)
	l.mu.Lock()
	l.down["one"], l.down["two"] = true, true
	l.mu.Unlock()
	time.Sleep(4 * time.Second)
	require.True(t, holder.Holds())
	require.False(t, other.Holds())
	require.Eventually(t, func() bool {
		other.Want("s", "m", "a1")
		return other.listener.holds("e1", "m/a1")
	}, patience, 20*time.Millisecond)
}

func TestSteererThatWasReplacedStops(t *testing.T) {
	l, e := newLeases(), newEngines()
	holder, _ := pair(t, l, e)
	l.mu.Lock()
	l.down[holder.member.VM] = true
	l.row = lease.Row{VM: "third", Instance: "third-1", Fence: l.row.Fence + 1}
	l.version++
	fence := l.row.Fence
	l.mu.Unlock()
	e.mu.Lock()
	e.fence = fence
	e.mu.Unlock()
	require.Eventually(t, func() bool {
		holder.Want("s", "m", "a1")
		return !holder.Holds()
	}, patience, 5*time.Millisecond)
}

func TestSteererWithoutStoreAndLinksStops(t *testing.T) {
	l, e := newLeases(), newEngines()
	holder, other := pair(t, l, e)
	l.mu.Lock()
	l.down[holder.member.VM] = true
	l.mu.Unlock()
	other.stop()
	holder.Members([]steer.Member{holder.member, other.member, {VM: "third"}})
	require.Eventually(t, func() bool { return !holder.Holds() }, patience, 5*time.Millisecond)
}

// TestDaemonLeavesASteererThatIsFrozen: opening a link to a VM that accepts connections
// and says nothing used to take until that VM woke.
func TestDaemonLeavesASteererThatIsFrozen(t *testing.T) {
	frozen, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, frozen.Close()) }()
	l, e := newLeases(), newEngines()
	one := start(t, l, e, "one", 1)
	require.Eventually(t, one.Holds, patience, 5*time.Millisecond)
	two := start(t, l, e, "two", 1)
	two.Announced(steer.Member{VM: "frozen", Instance: "frozen-1", Address: frozen.Addr().String()})
	time.Sleep(300 * time.Millisecond)
	two.Announced(one.member)
	require.Eventually(t, func() bool {
		two.listener.mu.Lock()
		defer two.listener.mu.Unlock()
		return two.listener.shared != nil
	}, 8*time.Second, 5*time.Millisecond)
}
