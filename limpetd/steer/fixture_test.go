package steer_test

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/crash"
	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
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
	// backoffUntil is until when the engines want no requests. requests counts the orders and
	// report requests.
	backoffUntil time.Time
	requests     int
}

func (e *engines) BackoffUntil(string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.backoffUntil
}

func (e *engines) Report(_ context.Context, s *layout.Server) (steer.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	return steer.EngineReport{AcceptedOrders: e.state[s.ID], Models: e.models[s.ID]}, nil
}

func (e *engines) Order(_ context.Context, s *layout.Server, o steer.Order) (steer.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
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
	leading bool
	limits  map[string]sched.Limit
	// tokens is nil if there is no limit.
	tokens   *int
	mu       sync.Mutex
	adapters map[string]map[string]bool
	shared   map[string]sched.ServerLoad
	own      map[string]sched.ServerLoad
	// starts counts the calls of StartQuotas. connected, used and charged are what the methods for quotas pass.
	starts        int
	connected     float64
	used, charged map[string]float64
	// samples counts the samples, paused the streams that had too long a pause.
	samples, paused int
	// freeze blocks reservations while it is locked, freezeUpdates the updates of the lease holder.
	freeze, freezeUpdates sync.Mutex
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

func (l *fakeRouter) Reserve(a sched.ReservationRequest) sched.Reservation {
	l.freeze.Lock()
	defer l.freeze.Unlock()
	return sched.Reservation{Verdict: sched.Chosen, Server: "e1", Charged: a.Charge > 0}
}

func (l *fakeRouter) StartQuotas() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
}

func (l *fakeRouter) SetConnected(fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = fraction
}

func (l *fakeRouter) TakeQuotaUse() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	use := l.used
	l.used = nil
	return use
}

func (l *fakeRouter) ChargeQuotas(use map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.charged == nil {
		l.charged = map[string]float64{}
	}
	for name, units := range use {
		l.charged[name] += units
	}
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

func (l *fakeRouter) UsualPace(string) float64 { return 1 }

func (l *fakeRouter) PrefillTimePerToken(_, _ string) time.Duration { return 50 * time.Microsecond }

func (l *fakeRouter) holds(engine, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.adapters[engine][name]
}

func (l *fakeRouter) SetLeading(leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = leading
}

func (l *fakeRouter) Limits() map[string]sched.Limit {
	l.freezeUpdates.Lock()
	defer l.freezeUpdates.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.limits)
}

func (l *fakeRouter) MergeLimits(all map[string]sched.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]sched.Limit{}
	}
	maps.Copy(l.limits, all)
}

func (l *fakeRouter) TakeToken(string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens == nil {
		return true
	}
	*l.tokens--
	return *l.tokens >= 0
}

// setTokens sets the number of orders and report requests that may be sent.
func (l *fakeRouter) setTokens(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = &n
}

// daemon is a Controller under test.
type daemon struct {
	*steer.Controller
	crashes    *crashes
	origins    *origins
	departures *departures
	paths      *paths
	member     steer.Member
	router     *fakeRouter
	stop       context.CancelFunc
}

// tableSource is a table of the store that never changes.
type tableSource struct{ leaseClient }

func (s tableSource) Read(ctx context.Context, _ string) ([]mirror.Row, mirror.Position, error) {
	_, _, err := s.leaseClient.Read(ctx)
	return []mirror.Row{{Key: "k", Version: 1}}, mirror.Position{Version: 1}, err
}

func (s tableSource) Changes(ctx context.Context, _ string, after mirror.Position, wait time.Duration) ([]mirror.Row, mirror.Position, error) {
	time.Sleep(min(wait, 100*time.Millisecond))
	_, _, err := s.leaseClient.Read(ctx)
	return nil, after, err
}

// paths are the paths of a daemon to servers.
type paths struct{ cutOff atomic.Bool }

func (p *paths) CutOff() bool { return p.cutOff.Load() }

func startDaemon(t *testing.T, l *leaseStore, e *engines, vm string, power float64) *daemon {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		member: steer.Member{VM: vm, Instance: vm + "-1", Address: socket.Addr().String(), Power: power},
		router: &fakeRouter{own: map[string]sched.ServerLoad{"e1": {Calls: 2, Pending: 1, PauseMS: 40}}},
		stop:   cancel,

		crashes:    &crashes{ledger: crash.NewLedger()},
		origins:    &origins{table: origin.NewTable()},
		departures: &departures{leaving: map[string]int64{}},
		paths:      &paths{},
	}
	table := mirror.NewFollower("t", tableSource{leaseClient{l, vm}}, func(map[string]mirror.Row) {}, mirror.WithRelay(func() bool { return d.Controller != nil && d.IsLeaseHolder() }))
	d.Controller = steer.New(ctx, steer.Config{Self: d.member}, steer.Deps{
		Engines: e, Leases: leaseClient{l, vm}, Router: d.router, Crashes: d.crashes, Origins: d.origins, Departures: d.departures, Paths: d.paths, Tables: []*mirror.Follower{table}, Clock: time.Now, Log: zap.NewNop(), Scope: tally.NoopScope,
	}, socket)
	var following sync.WaitGroup
	following.Go(func() { table.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		following.Wait()
		// Depending on timing, Wait returns nil or context.Canceled.
		if err := d.Wait(); err != nil {
			require.ErrorIs(t, err, context.Canceled)
		}
	})
	d.SetServers(config(), []*layout.Server{{ID: "e1", Service: "s", Models: map[string]layout.HeldModel{"m": {}}}})
	return d
}

// config returns a configuration of one service with the models m and n.
func config() *layout.Config {
	return &layout.Config{Services: map[string]*layout.Service{"s": {Name: "s", Engines: &layout.Engines{
		MemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 10,
		Models: []layout.Model{{Name: "m", MemoryMB: 40, Adapters: []string{"a1"}, AdapterMB: 1}, {Name: "n", MemoryMB: 40}},
	}}}}
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
