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

// waitTimeout bounds the wait for each expected state.
const waitTimeout = 20 * time.Second

// leaseStore is a store of one lease.
type leaseStore struct {
	mu      sync.Mutex
	row     lease.Row
	version int64
	era     int64
	// announced is the VM that was announced last as the lease holder.
	announced string
	// loseAnswers makes the writes of a VM take effect but return an error, down makes
	// all its calls fail.
	loseAnswers, down map[string]bool
}

// leaseClient is the access of one VM to the store.
type leaseClient struct {
	*leaseStore
	vm string
}

func (l leaseClient) Era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down[l.vm] {
		return 0
	}
	return l.era
}

// restore replaces the lease by an earlier one and begins a new era.
func (l *leaseStore) restore(row lease.Row, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row, l.version = row, version
	l.era++
}

func (l leaseClient) Read(context.Context) (lease.Row, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down[l.vm] {
		return lease.Row{}, 0, code.Errorf(code.StoreDown, "down")
	}
	return l.row, l.version, nil
}

func (l leaseClient) Write(_ context.Context, r lease.Row, version int64, announce bool) (int64, error) {
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
	if l.loseAnswers[l.vm] {
		return 0, code.Errorf(code.StoreUnknown, "no answer")
	}
	return l.version, nil
}

// engines simulates engines that accept each valid order and complete it at once.
type engines struct {
	mu     sync.Mutex
	state  map[string]int64
	fence  int64
	models map[string]map[string]layout.HeldModel
	orders []steer.Order
}

func (e *engines) Report(_ context.Context, s *layout.Server) (steer.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return steer.EngineReport{AcceptedOrders: e.state[s.ID], Models: e.models[s.ID]}, nil
}

func (e *engines) Order(_ context.Context, s *layout.Server, o steer.Order) (steer.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return steer.Fenced, nil
	}
	e.fence = o.Fence
	if o.ExpectedOrders != e.state[s.ID] {
		return steer.Conflict, nil
	}
	e.state[s.ID]++
	e.orders = append(e.orders, o)
	held := map[string]layout.HeldModel{}
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
		held[o.Model] = layout.HeldModel{}
	}
	e.models[s.ID] = held
	return steer.Accepted, nil
}

// fakeRouter records what it receives.
type fakeRouter struct {
	mu       sync.Mutex
	adapters map[string]map[string]bool
	shared   map[string]sched.ServerLoad
	own      map[string]sched.ServerLoad
	// samples counts the samples, paused the streams that had too long a pause.
	samples, paused int
	// freeze blocks reservations while it is locked.
	freeze sync.Mutex
}

func (l *fakeRouter) OwnLoad() map[string]sched.ServerLoad { return l.own }

func (l *fakeRouter) SetSharedLoad(all map[string]sched.ServerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared = all
}

func (l *fakeRouter) SetPlacement(adapters, _ map[string]map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapters = adapters
}

func (l *fakeRouter) Reserve(sched.ReservationRequest) sched.Reservation {
	l.freeze.Lock()
	defer l.freeze.Unlock()
	return sched.Reservation{Verdict: sched.Chosen, Server: "e1"}
}

func (l *fakeRouter) RecordSamples(list []sched.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples += len(list)
}

func (l *fakeRouter) RecordStreams(_ string, _, paused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused += paused
}

func (l *fakeRouter) PrefillTimePerToken(_, _ string) time.Duration { return 50 * time.Microsecond }

func (l *fakeRouter) holds(engine, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.adapters[engine][name]
}

// daemon is a Controller under test.
type daemon struct {
	*steer.Controller
	member steer.Member
	router *fakeRouter
	stop   context.CancelFunc
}

func startDaemon(t *testing.T, l *leaseStore, e *engines, vm string, power float64) *daemon {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		member: steer.Member{VM: vm, Instance: vm + "-1", Address: socket.Addr().String(), Power: power},
		router: &fakeRouter{own: map[string]sched.ServerLoad{"e1": {Calls: 2, Pending: 1, PauseMS: 40}}},
		stop:   cancel,
	}
	d.Controller = steer.New(ctx, steer.Config{Self: d.member}, steer.Deps{
		Engines: e, Leases: leaseClient{l, vm}, Router: d.router, Clock: time.Now, Log: zap.NewNop(), Scope: tally.NoopScope,
	}, socket)
	t.Cleanup(func() {
		cancel()
		// Depending on timing, Wait returns nil or context.Canceled.
		if err := d.Wait(); err != nil {
			require.ErrorIs(t, err, context.Canceled)
		}
	})
	d.SetServers(&layout.Config{Services: map[string]*layout.Service{"s": {Name: "s", Engines: &layout.Engines{
		MemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 10,
		Models: []layout.Model{{Name: "m", MemoryMB: 40, Adapters: []string{"a1"}, AdapterMB: 1}, {Name: "n", MemoryMB: 40}},
	}}}}, []*layout.Server{{ID: "e1", Service: "s", Models: map[string]layout.HeldModel{"m": {}}}})
	return d
}

func newEngines() *engines {
	return &engines{state: map[string]int64{}, models: map[string]map[string]layout.HeldModel{"e1": {"m": {}}}}
}

func newLeaseStore() *leaseStore {
	return &leaseStore{loseAnswers: map[string]bool{}, down: map[string]bool{}}
}

// syncMembers returns a function that sets the members and the announced lease holder in all
// daemons, and reports whether a lease holder has been announced.
func syncMembers(l *leaseStore, all ...*daemon) func() bool {
	return func() bool {
		l.mu.Lock()
		announced := l.announced
		l.mu.Unlock()
		members := []steer.Member{}
		for _, d := range all {
			members = append(members, d.member)
		}
		for _, d := range all {
			d.SetMembers(members)
			for _, o := range all {
				if o.member.VM == announced {
					d.SetLeaseHolder(o.member)
				}
			}
		}
		return announced != ""
	}
}

// TestWantedAdapterIsLoadedOnceAndAnnounced checks that the lease holder combines the demand
// of two daemons for an adapter into one order, and announces the adapter to both.
func TestWantedAdapterIsLoadedOnceAndAnnounced(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	one, two := startDaemon(t, l, e, "one", 1), startDaemon(t, l, e, "two", 1)
	require.Eventually(t, syncMembers(l, one, two), waitTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		syncMembers(l, one, two)()
		for _, d := range []*daemon{one, two} {
			d.RequestLoad("s", "m", "a1")
		}
		return one.router.holds("e1", "m/a1") && two.router.holds("e1", "m/a1")
	}, waitTimeout, 20*time.Millisecond)
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

func TestLoadIsSummedOverDaemons(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	one, two := startDaemon(t, l, e, "one", 1), startDaemon(t, l, e, "two", 1)
	require.Eventually(t, func() bool {
		syncMembers(l, one, two)()
		one.router.mu.Lock()
		two.router.mu.Lock()
		defer one.router.mu.Unlock()
		defer two.router.mu.Unlock()
		want := sched.ServerLoad{Calls: 4, Pending: 2, PauseMS: 40}
		return one.router.shared["e1"] == want && two.router.shared["e1"] == want
	}, waitTimeout, 5*time.Millisecond)
}

// TestWeakDaemonLeavesLeaseToStrongOne guards against counting the delay of a weak daemon from
// the start of its process, so that the delay is over when a lease holder stops.
func TestWeakDaemonLeavesLeaseToStrongOne(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	first := startDaemon(t, l, e, "first", 8)
	require.Eventually(t, first.IsLeaseHolder, waitTimeout, 5*time.Millisecond)
	weak, strong := startDaemon(t, l, e, "weak", 0.1), startDaemon(t, l, e, "strong", 8)
	require.Eventually(t, syncMembers(l, first, weak, strong), waitTimeout, 5*time.Millisecond)
	time.Sleep(2 * time.Second)
	first.stop()
	require.Eventually(t, func() bool { return weak.IsLeaseHolder() || strong.IsLeaseHolder() }, waitTimeout, time.Millisecond)
	require.True(t, strong.IsLeaseHolder())
}

// TestLeaseIsKeptThroughLostAnswers checks that a lease holder whose writes take effect but
// return errors renews its lease, and does not take it again with a new fencing token.
func TestLeaseIsKeptThroughLostAnswers(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	d := startDaemon(t, l, e, "one", 1)
	require.Eventually(t, d.IsLeaseHolder, waitTimeout, 5*time.Millisecond)
	l.mu.Lock()
	l.loseAnswers["one"] = true
	l.mu.Unlock()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.LessOrEqual(t, l.fence(), int64(1), "the lease was taken again")
	}
	l.mu.Lock()
	l.loseAnswers["one"] = false
	l.mu.Unlock()
	require.Eventually(t, d.IsLeaseHolder, waitTimeout, 5*time.Millisecond)
}

func (l *leaseStore) fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Fence
}

// startLinkedPair starts two daemons and waits until one of them, holder, is the lease holder
// and the other has a link to it.
func startLinkedPair(t *testing.T, l *leaseStore, e *engines) (holder, other *daemon) {
	t.Helper()
	one, two := startDaemon(t, l, e, "one", 1), startDaemon(t, l, e, "two", 0.9)
	require.Eventually(t, syncMembers(l, one, two), waitTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool { return one.IsLeaseHolder() || two.IsLeaseHolder() }, waitTimeout, 5*time.Millisecond)
	holder, other = one, two
	if two.IsLeaseHolder() {
		holder, other = two, one
	}
	syncMembers(l, one, two)()
	require.Eventually(t, func() bool {
		other.router.mu.Lock()
		defer other.router.mu.Unlock()
		return other.router.shared != nil
	}, waitTimeout, 5*time.Millisecond)
	return holder, other
}

// TestLeaseHolderContinuesDuringStoreOutage guards against an outage of the store leaving the
// deployment without a lease holder.
func TestLeaseHolderContinuesDuringStoreOutage(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	l.mu.Lock()
	l.down["one"], l.down["two"] = true, true
	l.mu.Unlock()
	time.Sleep(4 * time.Second)
	require.True(t, holder.IsLeaseHolder())
	require.False(t, other.IsLeaseHolder())
	require.Eventually(t, func() bool {
		other.RequestLoad("s", "m", "a1")
		return other.router.holds("e1", "m/a1")
	}, waitTimeout, 20*time.Millisecond)
}

// TestReplacedLeaseHolderStops checks that a lease holder that can't reach the store stops when
// engines reject its orders by their fencing token.
func TestReplacedLeaseHolderStops(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, _ := startLinkedPair(t, l, e)
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
		holder.RequestLoad("s", "m", "a1")
		return !holder.IsLeaseHolder()
	}, waitTimeout, 5*time.Millisecond)
}

// TestLeaseHolderStopsWithoutStoreAndLinks checks that a lease holder that can't reach the
// store stops when it has no links to most daemons.
func TestLeaseHolderStopsWithoutStoreAndLinks(t *testing.T) {
	l, e := newLeaseStore(), newEngines()
	holder, other := startLinkedPair(t, l, e)
	l.mu.Lock()
	l.down[holder.member.VM] = true
	l.mu.Unlock()
	other.stop()
	holder.SetMembers([]steer.Member{holder.member, other.member, {VM: "third"}})
	require.Eventually(t, func() bool { return !holder.IsLeaseHolder() }, waitTimeout, 5*time.Millisecond)
}

// TestDaemonAbandonsFrozenLeaseHolder guards against opening a link without a timeout: a
// suspended VM accepts connections but sends nothing until it resumes.
func TestDaemonAbandonsFrozenLeaseHolder(t *testing.T) {
	frozen, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, frozen.Close()) }()
	l, e := newLeaseStore(), newEngines()
	one := startDaemon(t, l, e, "one", 1)
	require.Eventually(t, one.IsLeaseHolder, waitTimeout, 5*time.Millisecond)
	two := startDaemon(t, l, e, "two", 1)
	two.SetLeaseHolder(steer.Member{VM: "frozen", Instance: "frozen-1", Address: frozen.Addr().String()})
	time.Sleep(300 * time.Millisecond)
	two.SetLeaseHolder(one.member)
	require.Eventually(t, func() bool {
		two.router.mu.Lock()
		defer two.router.mu.Unlock()
		return two.router.shared != nil
	}, 8*time.Second, 5*time.Millisecond)
}
