package steer

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/mirror"
	"github.com/limpetlb/limpetlb/limpetd/origin"
)

// Controller takes part in the placement for a daemon: it plans and sends orders while the
// daemon is the lease holder, and otherwise keeps a link to the lease holder. It is safe for
// concurrent use.
type Controller struct {
	tomb        *tomb.Tomb
	settings    Config
	deps        Deps
	broadcaster *broadcaster
	tables      map[string]*mirror.Follower
	wasHolder   atomic.Bool
	// leaseUnconfirmed indicates whether the outcome of the last lease write is unknown.
	// Only the goroutine of leaseLoop uses it.
	leaseUnconfirmed bool
	deferral         leaseDeferral
	// cutOffSince is since when this daemon has been cut off from servers while it holds the lease.
	// Only the goroutine of leaseLoop uses it.
	cutOffSince time.Time
	// crashesReported is the version up to which the ends of engines were reported. Only the
	// goroutine of reportLoop uses it.
	crashesReported int64
	// originsReported is the same for the streams that began.
	originsReported int64

	// quotaLease is the lease under which quotas were last charged. quotaMu guards it, and is locked before mu.
	quotaMu    sync.Mutex
	quotaLease lease.Row

	mu sync.Mutex
	// reaching is when daemons with a link last reported that they reach the servers, by VM.
	reaching   map[string]time.Time
	nextReport reportBuilder
	config     *layout.Config
	servers    []*layout.Server
	lease      *lease.Candidate
	leaving    bool
	members    []Member
	// membersKnown is whether the list of daemons was read. linked are the daemons with a link that are
	// not in it, by VM, and selfJoined is whether this daemon was added to them.
	membersKnown, selfJoined bool
	linked                   map[string]Member
	// storeUnreachable indicates whether the store did not answer the last read or write
	// of the lease. renewedAt is when the last successful write of the lease was sent.
	storeUnreachable bool
	renewedAt        time.Time
	// holder is the daemon that was announced last as the lease holder. lastUpdate is
	// when an update last arrived from it.
	holder     Member
	lastUpdate time.Time
	// contact is whether the updates of the lease holder are current.
	contact origin.Contact
	// holderConn is the connection to the lease holder; nil without a link.
	// reserveFailures counts consecutive unanswered reservation requests. None are sent
	// before reserveAfter.
	holderConn      *grpc.ClientConn
	reserveFailures int
	reserveAfter    time.Time

	// reports carries the reports of daemons to planLoop. A report that does not fit is
	// dropped; the next report covers only later calls.
	reports chan daemonReport
	// results carries the outcomes of orders and engine report requests to planLoop, as
	// functions that apply them to its state. Its capacity exceeds the number of orders in
	// flight, so that senders don't block for long.
	results chan func(*planState)
	// replan triggers a plan, reportNow a report to the lease holder.
	replan    chan struct{}
	reportNow chan struct{}
	// streamBegan triggers a report that tells of streams.
	streamBegan chan struct{}
}

// New starts a Controller that runs until ctx ends. The listener l accepts the links of other
// daemons.
func New(ctx context.Context, c Config, d Deps, l net.Listener) *Controller {
	t, ctx := life.WithContext(ctx)
	d.Scope = d.Scope.SubScope("steer")
	s := &Controller{
		tomb: t, settings: c, deps: d, broadcaster: newBroadcaster(d.Tables),
		tables:      map[string]*mirror.Follower{},
		linked:      map[string]Member{},
		reaching:    map[string]time.Time{},
		contact:     origin.Contact{MaxAge: maxUpdateAge},
		nextReport:  newReportBuilder(),
		lease:       lease.NewCandidate(lease.Config{VM: c.Self.VM, Instance: c.Self.Instance, Term: leaseTerm}),
		reports:     make(chan daemonReport, 256),
		results:     make(chan func(*planState), 256),
		replan:      make(chan struct{}, 1),
		reportNow:   make(chan struct{}, 1),
		streamBegan: make(chan struct{}, 1),
	}
	for _, f := range d.Tables {
		s.tables[f.Name()] = f
	}
	t.Go(func() error { return serveLinks(ctx, l, s) })
	t.Go(func() error {
		s.leaseLoop(ctx)
		return nil
	})
	t.Go(func() error {
		s.reportLoop(ctx)
		return nil
	})
	if d.Members != nil {
		t.Go(func() error {
			s.joinLoop(ctx)
			return nil
		})
	}
	t.Go(func() error {
		s.planLoop(ctx)
		return nil
	})
	return s
}

// Wait waits until all goroutines of the Controller have ended.
func (s *Controller) Wait() error { return s.tomb.Wait() }

// SetServers sets the configuration and the servers that are known to run.
func (s *Controller) SetServers(c *layout.Config, servers []*layout.Server) {
	s.mu.Lock()
	if c != s.config {
		s.lease.SetInherits(hasQuotas(c))
	}
	s.config, s.servers = c, servers
	s.mu.Unlock()
	notify(s.replan)
}

// SetLeaseHolder sets the daemon that announced itself as the lease holder.
func (s *Controller) SetLeaseHolder(m Member) {
	s.mu.Lock()
	changed := s.holder != m
	s.holder = m
	s.mu.Unlock()
	if changed {
		s.deps.Log.Info("steerer_announced", zap.String("vm", m.VM), zap.String("address", m.Address))
		notify(s.reportNow)
	}
}

// SetMembers sets the daemons of the deployment.
func (s *Controller) SetMembers(all []Member) {
	s.mu.Lock()
	s.members, s.membersKnown = all, true
	s.mu.Unlock()
}

// notify signals c without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// reportLoop sends this daemon's reports over a link to the lease holder, or directly to
// planLoop if this daemon is the lease holder.
func (s *Controller) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		holder := s.holder
		s.mu.Unlock()
		switch {
		case s.IsLeaseHolder():
			s.submitReport(s.takeReport())
		case holder.Address != "" && holder.Instance != s.settings.Self.Instance:
			if err := s.runLink(ctx, holder); err != nil && ctx.Err() == nil {
				s.deps.Log.Info("link_lost", zap.String("vm", holder.VM), zap.Error(err))
				if status.Code(err) == codes.FailedPrecondition {
					s.clearLastUpdate()
				}
				life.Sleep(ctx, retryDelay)
			}
			continue
		}
		s.waitForReport(ctx)
	}
}

// clearLastUpdate lets this daemon take the lease without waiting for linkTimeout, because
// the announced daemon is no longer the lease holder.
func (s *Controller) clearLastUpdate() {
	s.mu.Lock()
	s.lastUpdate = time.Time{}
	s.mu.Unlock()
}

// runLink keeps a link to the lease holder until the link is lost or another lease holder
// is announced.
func (s *Controller) runLink(ctx context.Context, holder Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A suspended VM accepts connections but sends nothing.
	timeout := time.AfterFunc(linkOpenTimeout, cancel)
	stream, conn, err := dialLink(ctx, holder, s.settings.Self)
	if err != nil {
		return err
	}
	if !timeout.Stop() {
		return errors.Join(errLinkOpenTimeout, conn.Close())
	}
	s.setHolderConn(conn)
	defer func() {
		s.setHolderConn(nil)
		if err := conn.Close(); err != nil {
			s.deps.Log.Debug("link_not_closed", zap.Error(err))
		}
	}()
	failed := make(chan error, 1)
	s.tomb.Go(func() error {
		defer cancel()
		adapters, unloading := map[string]map[string]bool{}, map[string]map[string]bool{}
		for {
			var u stateUpdate
			if err := stream.RecvMsg(&u); err != nil {
				failed <- err
				return nil
			}
			if u.Full {
				clear(adapters)
				clear(unloading)
			}
			s.applyUpdate(u, adapters, unloading)
		}
	})
	s.crashesReported, s.originsReported = 0, 0
	first := s.takeReport()
	// The lease holder has left the share of a daemon without a link to the daemon.
	first.QuotaUse = nil
	first.Member = &s.settings.Self
	first.Versions, first.Eras = map[string]int64{}, map[string]int64{}
	for name, f := range s.tables {
		at := f.Position()
		first.Versions[name], first.Eras[name] = at.Version, at.Era
	}
	if err := stream.SendMsg(first); err != nil {
		return err
	}
	start := time.Now()
	for {
		s.waitForReport(ctx)
		s.mu.Lock()
		lastUpdate, current := s.lastUpdate, s.holder
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			select {
			case err := <-failed:
				return err
			default:
				return ctx.Err()
			}
		case current != holder:
			return nil
		case time.Since(lastUpdate) > linkTimeout && time.Since(start) > linkTimeout:
			return io.ErrNoProgress
		}
		if err := stream.SendMsg(s.takeReport()); err != nil {
			return err
		}
	}
}

// applyUpdate applies an update from the lease holder. adapters and unloading hold the state
// of all engines, and receive the changes.
func (s *Controller) applyUpdate(u stateUpdate, adapters, unloading map[string]map[string]bool) {
	now := time.Now()
	s.mu.Lock()
	s.lastUpdate = now
	s.contact.Confirm(s.deps.Clock())
	if u.Loads != nil && !s.lease.IsHolder() {
		s.enterEra()
		s.lease.EnterEra(u.Lease.Era, s.deps.Clock())
		if u.Lease.Era == s.lease.Era() {
			s.lease.Observe(u.Lease.row(), u.Lease.Version, s.deps.Clock())
		}
	}
	s.mu.Unlock()
	if u.Full || len(u.Adapters) > 0 || len(u.Unloading) > 0 {
		maps.Copy(adapters, toSets(u.Adapters))
		maps.Copy(unloading, toSets(u.Unloading))
		s.deps.Router.SetPlacement(maps.Clone(adapters), maps.Clone(unloading))
	}
	if u.Loads != nil {
		s.deps.Router.SetSharedLoad(u.Loads)
		s.deps.Router.SetLeading(false)
	}
	s.markLeaving(u.Leaving)
	s.mergeCrashes(u.Crashes)
	s.mergeOrigins(u.Origins)
	s.deps.Router.MergeLimits(u.Limits)
	for _, changes := range u.Tables {
		if f := s.tables[changes.Table]; f != nil {
			f.ApplyRelayed(changes, now)
		}
	}
}

func toSets(lists map[string][]string) map[string]map[string]bool {
	out := make(map[string]map[string]bool, len(lists))
	for key, list := range lists {
		out[key] = toSet(list)
	}
	return out
}

// handleLink serves the link of another daemon: it receives the daemon's reports and sends
// the updates that are queued for the daemon.
func (s *Controller) handleLink(stream grpc.ServerStream) error {
	if !s.IsLeaseHolder() {
		return errNotHolder
	}
	var first daemonReport
	if err := stream.RecvMsg(&first); err != nil {
		return err
	}
	sub := s.broadcaster.add(first.positions())
	defer s.broadcaster.remove(sub)
	s.addLinked(first.Member)
	defer s.removeLinked(first.Member)
	s.receiveReport(sub, first)
	failed := make(chan error, 1)
	s.tomb.Go(func() error {
		for {
			var r daemonReport
			if err := stream.RecvMsg(&r); err != nil {
				failed <- err
				return nil
			}
			s.receiveReport(sub, r)
		}
	})
	return s.sendUpdates(stream, sub, failed)
}

// sendUpdates sends the updates that are queued for a daemon until its link fails.
func (s *Controller) sendUpdates(stream grpc.ServerStream, sub *subscriber, failed <-chan error) error {
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case err := <-failed:
			return err
		case m := <-sub.queue:
			if !s.IsLeaseHolder() {
				return errNotHolder
			}
			if s.broadcaster.overflowed(sub) {
				return errSlowDaemon
			}
			if time.Since(m.queuedAt) > maxQueueDelay {
				s.broadcaster.requestFull(sub)
				continue
			}
			if err := stream.SendMsg(m.message); err != nil {
				return err
			}
		}
	}
}

// errLinkOpenTimeout means that a link could not be opened within linkOpenTimeout.
var errLinkOpenTimeout = errors.New("the lease holder did not accept the link in time")

// errNotHolder ends links to a daemon that is not the lease holder, errSlowDaemon those to
// a daemon that does not receive updates fast enough.
var (
	errNotHolder  = status.Error(codes.FailedPrecondition, "this daemon is not the lease holder")
	errSlowDaemon = status.Error(codes.ResourceExhausted, "the daemon does not receive updates fast enough")
)

// sendResult passes an outcome to planLoop, unless this daemon is stopping.
func (s *Controller) sendResult(apply func(*planState)) {
	select {
	case s.results <- apply:
	case <-s.tomb.Dying():
	}
}
