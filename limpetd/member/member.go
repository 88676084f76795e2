// Package member knows the VMs of the system: those that the platform lists and
// what daemons tell each other sooner.
//
// The VM list is the authority, and late. Daemons tell each other changes: their
// own state to every near daemon, and what they hear to a few others in each
// period, news at once. Near daemons are all of a small environment, and those
// of the same data centre of a large one. What is known here is advice: being
// wrong costs time and never breaks a promise. Only Gone is built on this
// daemon's own reads of the VM list alone, since charges are released by it.
//
// # Usage
//
//	duty := member.New(ctx, member.Config{VM: "vm-1", Instance: id, DataCentre: "lima-1"},
//		member.Deps{List: list, Peers: client})
//	for _, vm := range duty.VMs() { ... }
//	err := duty.Leave(ctx) // all near daemons are told
package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// Config states who the daemon is.
type Config struct {
	VM         string
	Instance   string
	DataCentre string
	Region     string
	// Address is the host:port of the peer interface.
	Address string
	// Level is the feature level; 0 means that of this release.
	Level int
	// Seeds are addresses of peer interfaces that are asked while neither
	// the VM list nor a peer has answered.
	Seeds []string
}

// Deps are what the duty works with. All but List and Peers may be nil.
type Deps struct {
	List     store.VMList
	Peers    Transport
	Shares   ShareProvider
	Receiver ShareReceiver
	// Holder returns the VM that places models in this data centre; it is
	// told demand in each period.
	Holder func() string
	Log    *zap.Logger
	Events *event.Line
	Scope  tally.Scope
}

// Option changes a Duty.
type Option func(*Duty)

// WithPeriod sets the time between two messages to a near peer.
func WithPeriod(d time.Duration) Option {
	return func(u *Duty) { u.period = d }
}

// WithSeed fixes the random choices, for tests.
func WithSeed(seed uint64) Option {
	return func(u *Duty) { u.random = rand.New(rand.NewPCG(seed, seed)) }
}

// Duty keeps the view of the system. It is safe for concurrent use.
type Duty struct {
	config Config
	deps   Deps
	period time.Duration
	random *rand.Rand
	tomb   *tomb.Tomb
	// wake asks to pass on fresh news at once; when it is full that is asked
	// for already, and the new wish is dropped.
	wake chan struct{}
	// syncs holds the address of a peer to exchange all with; when it is
	// full another exchange is due and the new wish is dropped.
	syncs chan string
	// reads asks for an early read of the VM list, dropped when full.
	reads chan struct{}
	// newer holds the newest revision heard; a newer one replaces it.
	newer chan int64

	mu        sync.Mutex
	view      *view
	spread    *spread
	fixed     fixed
	vms       []store.VM
	synced    time.Time
	announced int64
}

// New starts the duty. It ends with ctx.
func New(ctx context.Context, config Config, deps Deps, opts ...Option) *Duty {
	if config.Level == 0 {
		config.Level = envdoc.Level
	}
	u := &Duty{
		config: config, deps: deps, period: DefaultPeriod,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:   make(chan struct{}, 1), syncs: make(chan string, 1),
		reads: make(chan struct{}, 1), newer: make(chan int64, 1),
		fixed: newFixed(),
	}
	u.defaults()
	for _, o := range opts {
		o(u)
	}
	u.view = newView(Daemon{
		VM: config.VM, Instance: config.Instance, Started: time.Now().UnixMilli(), DataCentre: config.DataCentre,
		Region: config.Region, Address: config.Address, Level: config.Level,
	})
	u.spread = newSpread(u.random)
	var inner context.Context
	u.tomb, inner = life.WithContext(ctx)
	u.tomb.Go(func() error { return u.tellPeers(inner) })
	u.tomb.Go(func() error { return u.readList(inner) })
	u.tomb.Go(func() error { return u.syncPeers(inner) })
	return u
}

// defaults fills in what may be left out.
func (u *Duty) defaults() {
	if u.deps.Log == nil {
		u.deps.Log = zap.NewNop()
	}
	if u.deps.Scope == nil {
		u.deps.Scope = tally.NoopScope
	}
}

// Wait returns when the duty has ended.
func (u *Duty) Wait() error {
	if err := u.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// VMs returns the VM list merged with what peers told sooner, in the order of
// ids. The caller must not change it.
func (u *Duty) VMs() []store.VM {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.vms == nil {
		u.vms = u.view.vms()
	}
	return u.vms
}

// Listed tells whether the VM list has been read, by this daemon or a peer.
func (u *Duty) Listed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.view.entries) > 0
}

// Daemons returns the number of daemons that take work, with this one.
func (u *Duty) Daemons() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.view.live()
}

// Peers returns the other daemons, in the order of VMs.
func (u *Duty) Peers() []Peer {
	u.mu.Lock()
	defer u.mu.Unlock()
	var peers []Peer
	for _, d := range u.view.peers() {
		peers = append(peers, peerOf(d))
	}
	return peers
}

// Far returns the daemons that are not told load reports and tell none here: in
// an environment of more than MeshSize daemons those of other data centres, else
// none. Daemons that leave, are suspected or were never heard are left out.
// The caller must not change them.
func (u *Duty) Far() []Peer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.view.refresh()
	return u.view.far
}

// Gone tells whether this daemon's own reads of the VM list have lacked a VM, and
// nobody heard it here, for its connection lifetime and at least ListLag. False
// may mean that it is not known yet.
func (u *Duty) Gone(vm string, lifetime time.Duration) bool {
	u.mu.Lock()
	gone := u.view.gone(vm, lifetime, time.Now())
	u.mu.Unlock()
	if !gone {
		select {
		case u.reads <- struct{}{}:
		default:
		}
	}
	return gone
}

// SetReady tells peers whether this daemon takes callers' requests.
func (u *Duty) SetReady(ready bool) {
	u.change(func(d *Daemon) bool {
		changed := d.Ready != ready
		d.Ready = ready
		return changed
	})
}

// Announce tells peers at once what document is in force here.
func (u *Duty) Announce(a Announcement) {
	u.change(func(d *Daemon) bool {
		changed := d.Revision != a.Revision || d.Digest != a.Digest || d.Refused != a.Refused
		d.Revision, d.Digest, d.Refused = a.Revision, a.Digest, a.Refused
		u.announced = a.Revision
		return changed
	})
}

// Newer delivers revisions that peers have in force and that are newer than the
// one announced here.
func (u *Duty) Newer() <-chan int64 {
	return u.newer
}

// Leave tells all near peers at once that this daemon leaves.
func (u *Duty) Leave(_ context.Context) error {
	u.change(func(d *Daemon) bool {
		changed := !d.Leaving
		d.Leaving, d.Ready = true, false
		return changed
	})
	u.record(event.DaemonLeaving, u.config.VM)
	u.tellNews()
	return nil
}

// Drain tells peers that a VM which runs no daemon leaves, or with leaving false
// that it stays.
func (u *Duty) Drain(vm string, leaving bool) {
	u.mu.Lock()
	if u.view.advise(vm, leaving, time.Now()) {
		u.vms = nil
	}
	u.mu.Unlock()
	u.nudge()
}

// change changes this daemon's state and tells peers at once if it differs.
func (u *Duty) change(f func(*Daemon) bool) {
	u.mu.Lock()
	self := u.view.self
	changed := f(&self)
	if changed {
		u.view.update(func(d *Daemon) {
			self.Sequence = d.Sequence
			*d = self
		})
		u.vms = nil
	}
	u.mu.Unlock()
	if changed {
		u.nudge()
	}
}

// nudge asks to pass news on at once.
func (u *Duty) nudge() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// record adds to the log and the time line.
func (u *Duty) record(kind event.Kind, vm string) {
	u.deps.Log.Info(string(kind), zap.String("vm", vm))
	if u.deps.Events != nil {
		u.deps.Events.Add(event.Event{Kind: kind, VM: vm})
	}
}

// adviseLeaving notes the engines that say that they leave, and tells whether any
// of it is new.
func (u *Duty) adviseLeaving(reports []engine.Report, now time.Time) bool {
	fresh := false
	for _, r := range reports {
		if r.Leaving && u.view.advise(r.VM, true, now) {
			fresh, u.vms = true, nil
		}
	}
	return fresh
}
