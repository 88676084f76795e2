// Package node assembles the components of a daemon and manages their lifetimes.
//
// A node starts with the membership and the environment document, followed by the
// view of the engines, admission, the relay of responses, batches and placement.
// The three interfaces, for callers, peers and operators, start last. A leaving
// node first rejects new requests and notifies its peers, then hands over the jobs and
// the lease, and waits for the requests in flight before it stops the components.
//
// # Usage
//
//	n, err := node.New(ctx, settings, node.WithLogger(log))
//	if err != nil { ... }
//	<-n.LeaveRequested() // an operator or the platform requested leaving
//	err = n.Leave(context.Background())
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/docs"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/gate"
	"github.com/limpetlb/limpetlb/limpetd/guard"
	"github.com/limpetlb/limpetlb/limpetd/keys"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
	"github.com/limpetlb/limpetlb/limpetd/peer"
	"github.com/limpetlb/limpetlb/limpetd/reach"
	"github.com/limpetlb/limpetlb/limpetd/relay"
	"github.com/limpetlb/limpetlb/limpetd/store"
	"github.com/limpetlb/limpetlb/limpetd/telem"
	"github.com/limpetlb/limpetlb/limpetd/watch"
)

// Option configures a Node.
type Option func(*Node)

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option {
	return func(n *Node) { n.log = l }
}

// Node is a running daemon.
type Node struct {
	config   conf.Config
	instance string
	started  time.Time
	log      *zap.Logger
	events   *event.Timeline
	metrics  telem.Metrics
	tomb     *tomb.Tomb
	cancel   context.CancelFunc

	platform             *store.Client
	engines              *engine.Client
	lateBound            *lateBound
	peers                *peer.Client
	callerKeys, peerKeys *keys.Reloader
	peerServer           *peer.Server
	members              *member.Membership
	docs                 *docs.Manager
	watch                *watch.Watch
	reach                *reach.Finder
	queue                *admit.Queue
	relay                *relay.Relay
	claims               *claim.Claims
	batches              *batch.Manager
	guard                *guard.Guard
	gate                 *gate.Gate
	orders               *order.Controller

	listeners listeners
	servers   []*http.Server

	leaveOnce      sync.Once
	leaveRequested chan struct{}
}

// listeners holds the listeners of the three interfaces.
type listeners struct {
	caller, peer, operator net.Listener
}

// waiter is a component that stops when its context ends.
type waiter interface {
	Wait() error
}

// New starts a daemon. The daemon stops at once when ctx ends; Leave stops it
// without interrupting requests in flight. The error has code BadSetting if a
// setting is rejected or the daemon cannot listen on an address.
func New(ctx context.Context, c conf.Config, opts ...Option) (*Node, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		config:         c,
		instance:       uuid.NewString(),
		started:        time.Now(),
		log:            zap.NewNop(),
		events:         event.New(c.VM, event.WithCapacity(c.EventCapacity)),
		metrics:        telem.NewMetrics("limpetd", c.VM),
		lateBound:      &lateBound{},
		leaveRequested: make(chan struct{}),
	}
	for _, o := range opts {
		o(n)
	}
	n.log = n.log.With(zap.String("vm", c.VM))
	if err := n.listen(); err != nil {
		return nil, err
	}
	nodeCtx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	n.tomb, nodeCtx = life.WithContext(nodeCtx)
	if err := n.createClients(nodeCtx); err != nil {
		cancel()
		n.listeners.close()
		return nil, err
	}
	n.startComponents(nodeCtx)
	n.startServers(nodeCtx)
	n.tomb.Go(func() error { return n.pollState(nodeCtx) })
	n.events.Add(event.Event{Kind: event.DaemonStarted, VM: c.VM})
	n.log.Info("daemon_started", zap.String("instance", n.instance), zap.String("callers", n.CallerAddr()),
		zap.String("peers", n.PeerAddr()), zap.String("operators", n.OperatorAddr()))
	return n, nil
}

// listen opens the three listeners.
func (n *Node) listen() error {
	var err error
	open := func(flag, address string) net.Listener {
		if err != nil {
			return nil
		}
		l, e := net.Listen("tcp", address)
		if e != nil {
			err = code.Errorf(code.BadSetting, "--%s %q: %w", flag, address, e)
			return nil
		}
		return l
	}
	n.listeners.caller = open("caller-address", n.config.CallerAddress)
	n.listeners.peer = open("peer-address", n.config.PeerAddress)
	n.listeners.operator = open("operator-address", n.config.OperatorAddress)
	if err != nil {
		n.listeners.close()
	}
	return err
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, s := range []net.Listener{l.caller, l.peer, l.operator} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// startComponents starts all components in the order of their dependencies.
func (n *Node) startComponents(ctx context.Context) {
	c := n.config
	environment := docs.Scope(c.Environment, docs.Stage(c.Stage))
	log, events, scope := n.log, n.events, n.metrics.Scope
	n.members = member.New(ctx, member.Config{
		VM: c.VM, Instance: n.instance, DataCentre: c.DataCentre, Region: c.Region,
		Address: n.PeerAddr(), Seeds: c.Peers,
	}, member.Deps{
		List: n.platform, Peers: n.peers, Reports: n.lateBound, Receiver: n.lateBound, LeaseHolder: n.lateBound.leaseHolder,
		Log: log, Events: events, Scope: scope,
	})
	n.docs = docs.New(ctx, docs.Config{
		Environment: c.Environment, Stage: docs.Stage(c.Stage), VM: c.VM, Instance: n.instance,
	}, docs.Deps{
		Table: n.platform, Objects: n.platform.Objects(), Peers: n.members, Fit: n.checkFit,
		Log: log, Events: events, Scope: scope,
	})
	n.watch = watch.New(ctx, watch.Config{VM: c.VM, DataCentre: c.DataCentre}, watch.Deps{
		VMs: n.members, Reporter: n.engines, Log: log, Events: events, Scope: scope,
	})
	n.reach = reach.New(ctx, reach.Deps{
		Peers: n.members, Holders: n.peers, Answers: n.watch, Engines: n.watch,
		Documents: n.docs, Placing: n.lateBound, Placed: n.peers, Resident: n.watch, Log: log, Scope: scope,
	})
	n.queue = admit.New(ctx, admit.Config{VM: c.VM, DataCentre: c.DataCentre}, admit.Deps{
		Documents: n.docs, Views: n.watch, Peers: n.members, VMs: n.members, Seeker: n.reach, LimitOwners: limitOwnerProvider{n},
		Log: log, Events: events, Scope: scope,
	})
	n.relay = relay.New(relay.Deps{
		Generator: n.engines, Admitter: n.queue, Log: log, Events: events, Scope: scope,
	})
	n.claims = claim.New(ctx, claim.Config{Environment: environment}, claim.Deps{
		Table: n.platform, Committers: &committerSelector{Node: n}, Log: log, Events: events, Scope: scope,
	})
	n.batches = batch.New(ctx, batch.Config{VM: c.VM, Instance: n.instance, Environment: environment, Retention: c.BatchKeep}, batch.Deps{
		Table: n.platform, Objects: n.platform.Objects(), Answerer: n.relay, Documents: n.docs,
		Log: log, Events: events, Scope: scope,
	})
	n.orders = order.New(ctx, order.Config{
		VM: c.VM, Instance: n.instance, DataCentre: c.DataCentre, Environment: environment,
		LeaseTerm: c.LeaseTerm, PlanPeriod: c.PlanPeriod,
	}, order.Deps{
		Table: n.platform, OrderSender: n.engines, Documents: n.docs, VMs: n.members, VMAbsence: n.members, Reports: n.watch,
		Remotes: n.reach, Demand: n.lateBound, Grants: sentClient{n}, Log: log, Events: events, Scope: scope,
	})
	n.guard = guard.New(ctx, guard.Config{MemoryMB: c.MemoryMB, MaxFDs: c.MaxFDs, MinBodyRate: c.MinBodyRate}, guard.Deps{Log: log, Scope: scope})
	n.gate = gate.New(gate.Config{MaxBodyBytes: c.MaxBody, BodyTimeout: c.BodyTimeout}, gate.Deps{
		Documents: n.docs, Relay: n.relay, Claims: n.claims, Batches: n.batches, Ready: n, Guard: n.guard,
		Log: log, Events: events, Scope: scope,
	})
	n.lateBound.bind(n.watch, n.queue, n.orders)
}

// NotReadyReasons returns the codes of the reasons why the daemon does not accept requests.
func (n *Node) NotReadyReasons() []code.Code {
	var reasons []code.Code
	if err := n.docs.ReadyError(); err != nil {
		reasons = append(reasons, code.Of(err))
	}
	switch {
	case !n.members.Listed():
		reasons = append(reasons, code.NoMembers)
	case !n.enginesReported() && time.Since(n.started) < reportGrace:
		reasons = append(reasons, code.NoReports)
	}
	return reasons
}

// reportGrace is how long after its start a daemon waits for the first report of
// each engine. Afterwards the daemon is ready even if reports are missing.
const reportGrace = 5 * time.Second

// enginesReported reports whether each live engine of the data centre has sent a
// report.
func (n *Node) enginesReported() bool {
	for _, v := range n.members.VMs() {
		if v.Kind != store.KindEngine || v.DataCentre != n.config.DataCentre || v.State != store.StateLive {
			continue
		}
		if _, _, ok := n.watch.Report(v.ID); !ok {
			return false
		}
	}
	return true
}

// statePollPeriod is the time between two checks of the daemon's own state.
const statePollPeriod = 200 * time.Millisecond

// pollState announces to peers whether the daemon is ready, and requests leaving
// when the platform lists this VM as leaving.
func (n *Node) pollState(ctx context.Context) error {
	ticker := time.NewTicker(statePollPeriod)
	defer ticker.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		ready := len(n.NotReadyReasons()) == 0 && !n.leaving()
		if ready && !wasReady {
			n.events.Add(event.Event{Kind: event.DaemonReady, VM: n.config.VM})
			n.log.Info("daemon_ready")
		}
		wasReady = ready
		n.members.SetReady(ready)
		if n.listedAsLeaving() {
			n.requestLeave()
		}
	}
}

// listedAsLeaving reports whether the VM list has this VM as leaving.
func (n *Node) listedAsLeaving() bool {
	for _, v := range n.members.VMs() {
		if v.ID == n.config.VM {
			return v.State == store.StateLeaving
		}
	}
	return false
}

// leaving reports whether the daemon was asked to leave.
func (n *Node) leaving() bool {
	select {
	case <-n.leaveRequested:
		return true
	default:
		return false
	}
}

// requestLeave closes the channel that LeaveRequested returns. Further calls have no effect.
func (n *Node) requestLeave() {
	n.leaveOnce.Do(func() { close(n.leaveRequested) })
}

// LeaveRequested returns a channel that is closed when an operator or the platform has asked
// the daemon to leave, or when Leave was called. The owner of the node then calls
// Leave.
func (n *Node) LeaveRequested() <-chan struct{} {
	return n.leaveRequested
}

// CallerAddr returns the address of the interface for callers.
func (n *Node) CallerAddr() string {
	return n.listeners.caller.Addr().String()
}

// PeerAddr returns the address of the interface between daemons.
func (n *Node) PeerAddr() string {
	return n.listeners.peer.Addr().String()
}

// OperatorAddr returns the address of the interface for operators.
func (n *Node) OperatorAddr() string {
	return n.listeners.operator.Addr().String()
}

// Wait waits for all components to stop, closes the clients and the metrics, and
// returns the errors of the components.
func (n *Node) Wait() error {
	err := n.tomb.Wait()
	for _, w := range []waiter{
		n.guard, n.orders, n.batches, n.claims, n.queue, n.reach, n.watch, n.docs, n.members, n.peerServer, n.peers, n.callerKeys, n.peerKeys,
	} {
		if e := w.Wait(); e != nil && !errors.Is(e, context.Canceled) {
			err = errors.Join(err, e)
		}
	}
	n.platform.Close()
	n.engines.Close()
	_ = n.metrics.Closer.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
