// Package member tracks the VMs of the environment and the daemons that run on
// them. It merges the platform's VM list with newer changes that daemons gossip to
// each other.
//
// The VM list is authoritative but lags. Each daemon therefore sends its own state
// to all near peers and relays the changes that it receives to a few daemons in
// each period; new changes are sent at once. In a small environment all daemons are
// near, in a large one those of the same data centre. The merged view is advisory:
// a wrong entry costs time but never violates a guarantee. IsGone is the exception:
// charges are released on its result, so it relies on this daemon's own reads of
// the VM list alone.
//
// # Usage
//
//	membership := member.New(ctx, member.Config{VM: "vm-1", Instance: id, DataCentre: "lima-1"},
//		member.Deps{List: list, Peers: client})
//	for _, vm := range membership.VMs() { ... }
//	err := membership.Leave(ctx) // notifies all near daemons
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

// Config identifies this daemon.
type Config struct {
	VM         string
	Instance   string
	DataCentre string
	Region     string
	// Address is the host:port of the peer interface.
	Address string
	// Level is the feature level; 0 selects the level of this release.
	Level int
	// Seeds are addresses of peer interfaces to contact until the VM list or a
	// peer has answered.
	Seeds []string
}

// Deps are the dependencies of a Membership. All but List and Peers may be nil.
type Deps struct {
	List     store.VMLister
	Peers    Transport
	Reports  DaemonReportProvider
	Receiver DaemonReportReceiver
	// LeaseHolder returns the VM of the daemon that places models in this data
	// centre (the placement lease holder), or an empty string if the VM is
	// unknown. Demand is sent only to that VM, or to every near peer while the VM
	// is unknown.
	LeaseHolder func() string
	Log         *zap.Logger
	Events      *event.Timeline
	Scope       tally.Scope
}

// Option configures a Membership.
type Option func(*Membership)

// WithPeriod sets the time between two messages to a near peer.
func WithPeriod(d time.Duration) Option {
	return func(u *Membership) { u.period = d }
}

// WithSeed makes the random choices deterministic, for tests.
func WithSeed(seed uint64) Option {
	return func(u *Membership) { u.random = rand.New(rand.NewPCG(seed, seed)) }
}

// Membership maintains this daemon's view of the environment. It is safe for concurrent
// use.
type Membership struct {
	config Config
	deps   Deps
	period time.Duration
	random *rand.Rand
	tomb   *tomb.Tomb
	// wake triggers an immediate send of pending updates. A signal is dropped
	// when the channel is full, since a send is already pending then.
	wake chan struct{}
	// syncAddress holds the address of a peer to exchange the full state with.
	// An address is dropped when another exchange is already pending.
	syncAddress chan string
	// earlyRead requests an early read of the VM list; dropped when full.
	earlyRead chan struct{}
	// newerRevision holds the newest document revision that a peer announced. A
	// newer revision replaces an undelivered one.
	newerRevision chan int64

	mu                sync.Mutex
	view              *view
	gossip            *gossip
	reports           reportCache
	mergedVMs         []store.VM
	lastSync          time.Time
	announcedRevision int64
}

// New starts a Membership that runs until ctx ends.
func New(ctx context.Context, config Config, deps Deps, opts ...Option) *Membership {
	if config.Level == 0 {
		config.Level = envdoc.FeatureLevel
	}
	u := &Membership{
		config: config, deps: deps, period: DefaultPeriod,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:   make(chan struct{}, 1), syncAddress: make(chan string, 1),
		earlyRead: make(chan struct{}, 1), newerRevision: make(chan int64, 1),
		reports: newReportCache(),
	}
	u.setDefaults()
	for _, o := range opts {
		o(u)
	}
	u.view = newView(Daemon{
		VM: config.VM, Instance: config.Instance, Started: time.Now().UnixMilli(), DataCentre: config.DataCentre,
		Region: config.Region, Address: config.Address, Level: config.Level,
	})
	u.gossip = newGossip(u.random)
	var tombCtx context.Context
	u.tomb, tombCtx = life.WithContext(ctx)
	u.tomb.Go(func() error { return u.sendLoop(tombCtx) })
	u.tomb.Go(func() error { return u.readListLoop(tombCtx) })
	u.tomb.Go(func() error { return u.syncLoop(tombCtx) })
	return u
}

// setDefaults replaces a nil Log and a nil Scope with no-op values.
func (u *Membership) setDefaults() {
	if u.deps.Log == nil {
		u.deps.Log = zap.NewNop()
	}
	if u.deps.Scope == nil {
		u.deps.Scope = tally.NoopScope
	}
}

// Wait blocks until all goroutines of the membership have ended.
func (u *Membership) Wait() error {
	if err := u.tomb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// VMs returns the VM list merged with newer changes from peers, sorted by id. The
// caller must not modify the slice.
func (u *Membership) VMs() []store.VM {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mergedVMs == nil {
		u.mergedVMs = u.view.vms()
	}
	return u.mergedVMs
}

// Listed reports whether this daemon or a peer has read the VM list.
func (u *Membership) Listed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.view.entries) > 0
}

// LiveDaemons returns the number of daemons that are neither leaving nor suspected, including
// this one, but at least 1.
func (u *Membership) LiveDaemons() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.view.countActive()
}

// Peers returns the other daemons, sorted by VM. It omits a daemon that is leaving or
// suspected once the VM is gone from the list.
func (u *Membership) Peers() []Peer {
	u.mu.Lock()
	defer u.mu.Unlock()
	var peers []Peer
	for _, d := range u.view.peers() {
		peers = append(peers, peerOf(d))
	}
	return peers
}

// FarPeers returns the daemons that neither receive load reports from this daemon nor
// send it theirs: in an environment of more than MeshSize daemons those of other
// data centres, otherwise none. Daemons that are leaving or suspected, or from
// which no state has been received, are omitted. The caller must not modify the
// slice.
func (u *Membership) FarPeers() []Peer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.view.refresh()
	return u.view.reachableFar
}

// IsGone reports whether a VM has been missing from this daemon's own reads of the VM
// list, and has sent no message to this daemon, for the lifetime of its connections
// and at least ListLag. False may also mean that this is not established yet: IsGone
// then requests an early read of the list.
func (u *Membership) IsGone(vm string, lifetime time.Duration) bool {
	u.mu.Lock()
	gone := u.view.gone(vm, lifetime, time.Now())
	u.mu.Unlock()
	if !gone {
		select {
		case u.earlyRead <- struct{}{}:
		default:
		}
	}
	return gone
}

// SetReady announces to peers whether this daemon accepts callers' requests.
func (u *Membership) SetReady(ready bool) {
	u.updateSelf(func(d *Daemon) bool {
		changed := d.Ready != ready
		d.Ready = ready
		return changed
	})
}

// Announce reports to peers which document is in force here and whether a newer one is
// refused, without waiting for the next period.
func (u *Membership) Announce(a Announcement) {
	u.updateSelf(func(d *Daemon) bool {
		changed := d.Revision != a.Revision || d.Digest != a.Digest || d.Refused != a.Refused
		d.Revision, d.Digest, d.Refused = a.Revision, a.Digest, a.Refused
		u.announcedRevision = a.Revision
		return changed
	})
}

// NewerRevisions delivers document revisions that are in force at peers and newer than the
// revision announced here.
func (u *Membership) NewerRevisions() <-chan int64 {
	return u.newerRevision
}

// Leave notifies all near peers immediately that this daemon is leaving.
func (u *Membership) Leave(_ context.Context) error {
	u.updateSelf(func(d *Daemon) bool {
		changed := !d.Leaving
		d.Leaving, d.Ready = true, false
		return changed
	})
	u.record(event.DaemonLeaving, u.config.VM)
	u.sendUrgent()
	return nil
}

// AnnounceDrain announces to peers that a VM without a daemon is leaving or, if leaving is
// false, that it stays.
func (u *Membership) AnnounceDrain(vm string, leaving bool) {
	u.mu.Lock()
	if u.view.recordDrainNotice(vm, leaving, time.Now()) {
		u.mergedVMs = nil
	}
	u.mu.Unlock()
	u.wakeSender()
}

// updateSelf applies f to a copy of this daemon's state. If f returns true, the copy
// becomes the new state and is sent to peers at once.
func (u *Membership) updateSelf(f func(*Daemon) bool) {
	u.mu.Lock()
	self := u.view.self
	changed := f(&self)
	if changed {
		u.view.updateSelf(func(d *Daemon) {
			self.Sequence = d.Sequence
			*d = self
		})
		u.mergedVMs = nil
	}
	u.mu.Unlock()
	if changed {
		u.wakeSender()
	}
}

// wakeSender triggers an immediate send of pending updates.
func (u *Membership) wakeSender() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// record logs an event and adds it to the daemon's events.
func (u *Membership) record(kind event.Kind, vm string) {
	u.deps.Log.Info(string(kind), zap.String("vm", vm))
	if u.deps.Events != nil {
		u.deps.Events.Add(event.Event{Kind: kind, VM: vm})
	}
}

// recordLeaving records that the engines whose reports announce it are leaving. It
// reports whether this changed the view.
func (u *Membership) recordLeaving(reports []engine.Report, now time.Time) bool {
	changed := false
	for _, r := range reports {
		if r.Leaving && u.view.recordDrainNotice(r.VM, true, now) {
			changed, u.mergedVMs = true, nil
		}
	}
	return changed
}
