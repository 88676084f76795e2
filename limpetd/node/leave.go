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

// Times of leaving.
const (
	// leaveGrace is how long a leaving daemon still answers calls, with the
	// code Stopping, so that the balancer takes notice.
	leaveGrace = 2 * time.Second
	// leavePoll is the time between two looks at the requests in flight.
	leavePoll = 20 * time.Millisecond
	// handOver bounds the handing over of the lease and of jobs, and after the
	// drain the closing of claims.
	handOver = 90 * time.Second
	// shutdown bounds the closing of the interfaces.
	shutdown = 5 * time.Second
)

// accepter takes work until it leaves.
type accepter interface {
	Leave()
	Inflight() int
}

// leaver hands over what it holds, until ctx ends.
type leaver interface {
	Leave(ctx context.Context) error
}

var (
	_ accepter = (*gate.Gate)(nil)
	_ leaver   = (*member.Duty)(nil)
	_ leaver   = (*batch.Duty)(nil)
	_ leaver   = (*order.Duty)(nil)
	_ leaver   = (*claim.Claims)(nil)
)

// departure is the way in which a daemon leaves.
type departure struct {
	gate                             accepter
	members, batches, orders, claims leaver
	// longest bounds the wait for the requests in flight.
	longest time.Duration
	log     *zap.Logger
}

// Leave ends the daemon: it takes no new work at once, hands over the lease and
// its jobs, lets the requests in flight end, and stops. The error is that of ctx
// or of a drain that took longer than the setting allows.
func (n *Node) Leave(ctx context.Context) error {
	n.askToLeave()
	began := time.Now()
	d := departure{
		gate: n.gate, members: n.members, batches: n.batches, orders: n.orders, claims: n.claims,
		longest: n.config.DrainTimeout, log: n.log,
	}
	err := d.run(ctx)
	n.stopServers()
	n.cancel()
	if e := n.Wait(); err == nil {
		err = e
	}
	n.log.Info("daemon_left", zap.Duration("after", time.Since(began)), zap.Error(err))
	return err
}

// run refuses new work, hands over, and returns when nothing is in flight. The
// error is that of drain.
func (d departure) run(ctx context.Context) error {
	began := time.Now()
	d.gate.Leave()
	_ = d.members.Leave(ctx)
	d.log.Info("daemon_leaving", zap.Int("inflight", d.gate.Inflight()))
	d.handOver(ctx)
	err := d.drain(ctx, began)
	// Requests that ended last leave claims to be closed, however long the
	// drain took.
	closing, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	if e := d.claims.Leave(closing); e != nil {
		d.log.Warn("claims_not_closed", zap.Error(e))
	}
	return err
}

// handOver hands over the jobs and the lease at the same time.
func (d departure) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return d.batches.Leave(ctx) })
	g.Go(func() error { return d.orders.Leave(ctx) })
	if err := g.Wait(); err != nil {
		d.log.Warn("hand_over_incomplete", zap.Error(err))
	}
}

// drain waits until no request is in flight, and for the grace.
func (d departure) drain(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, d.longest)
	defer cancel()
	tick := time.NewTicker(leavePoll)
	defer tick.Stop()
	for d.gate.Inflight() > 0 || time.Since(began) < leaveGrace {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// stopServers closes the interfaces once their answers are written.
func (n *Node) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdown)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("server_not_closed", zap.Error(err))
		}
	}
}
