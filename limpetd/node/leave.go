package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/limpetlb/limpetlb/limpetd/batch"
	"github.com/limpetlb/limpetlb/limpetd/claim"
	"github.com/limpetlb/limpetlb/limpetd/gate"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/order"
)

// Time limits and periods of leaving.
const (
	// leaveGrace is how long a leaving daemon still responds to requests, with
	// code Stopping, so that the load balancer notices.
	leaveGrace = 2 * time.Second
	// drainPollPeriod is the time between two checks of the requests in flight.
	drainPollPeriod = 20 * time.Millisecond
	// handOverTimeout is the time limit for handing over the lease and the
	// jobs, and again for closing claims after the drain.
	handOverTimeout = 90 * time.Second
	// shutdownTimeout is the time limit for closing the servers.
	shutdownTimeout = 5 * time.Second
)

// requestServer rejects new requests after Leave and returns the number of requests
// in flight.
type requestServer interface {
	Leave()
	InFlight() int
}

// leaver hands over or completes its work, unless ctx ends first.
type leaver interface {
	Leave(ctx context.Context) error
}

var (
	_ requestServer = (*gate.Gate)(nil)
	_ leaver        = (*member.Membership)(nil)
	_ leaver        = (*batch.Manager)(nil)
	_ leaver        = (*order.Controller)(nil)
	_ leaver        = (*claim.Claims)(nil)
)

// leaveSequence runs the steps by which a daemon leaves.
type leaveSequence struct {
	gate                             requestServer
	members, batches, orders, claims leaver
	// drainTimeout limits the wait for the requests in flight.
	drainTimeout time.Duration
	log          *zap.Logger
}

// Leave stops the daemon: it rejects new requests at once, hands over the lease
// and the jobs, waits for the requests in flight, and stops all components. The
// error is that of ctx, of a drain that exceeded the configured time limit, or of
// Wait.
func (n *Node) Leave(ctx context.Context) error {
	n.requestLeave()
	start := time.Now()
	sequence := leaveSequence{
		gate: n.gate, members: n.members, batches: n.batches, orders: n.orders, claims: n.claims,
		drainTimeout: n.config.DrainTimeout, log: n.log,
	}
	err := sequence.run(ctx)
	n.stopServers()
	n.cancel()
	if e := n.Wait(); err == nil {
		err = e
	}
	n.log.Info("daemon_left", zap.Duration("after", time.Since(start)), zap.Error(err))
	return err
}

// run rejects new requests, hands over the lease and the jobs, waits for the
// requests in flight and then for the closing of claims, each step within its time
// limit. The error is that of drain.
func (s leaveSequence) run(ctx context.Context) error {
	start := time.Now()
	s.gate.Leave()
	_ = s.members.Leave(ctx)
	s.log.Info("daemon_leaving", zap.Int("inflight", s.gate.InFlight()))
	s.handOver(ctx)
	err := s.drain(ctx, start)
	// The last requests may leave claims to close, so that closing has its own
	// time limit, however long the drain took.
	closeCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if e := s.claims.Leave(closeCtx); e != nil {
		s.log.Warn("claims_not_closed", zap.Error(e))
	}
	return err
}

// handOver hands over the jobs and the lease concurrently.
func (s leaveSequence) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return s.batches.Leave(ctx) })
	g.Go(func() error { return s.orders.Leave(ctx) })
	if err := g.Wait(); err != nil {
		s.log.Warn("hand_over_incomplete", zap.Error(err))
	}
}

// drain waits until no request is in flight and leaveGrace has passed since start. The
// error is non-nil if ctx ends or drainTimeout passes first.
func (s leaveSequence) drain(ctx context.Context, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, s.drainTimeout)
	defer cancel()
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for s.gate.InFlight() > 0 || time.Since(start) < leaveGrace {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// stopServers shuts down the servers for callers and operators. It waits for responses
// in progress for at most shutdownTimeout.
func (n *Node) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("server_not_closed", zap.Error(err))
		}
	}
}
