package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/limpetlb/limpetlb/limpetd/event"
)

// Times of leaving.
const (
	// leaveGrace is how long a leaving daemon still answers calls, with the
	// code Stopping, so that the balancer takes notice.
	leaveGrace = 2 * time.Second
	// leavePoll is the time between two looks at the requests in flight.
	leavePoll = 20 * time.Millisecond
	// handOver bounds the handing over of the lease and of jobs.
	handOver = 90 * time.Second
	// shutdown bounds the closing of the interfaces.
	shutdown = 5 * time.Second
)

// Leave ends the daemon: it takes no new work at once, hands over the lease and
// its jobs, lets the requests in flight end, and stops. The error is that of ctx
// or of a drain that took longer than the setting allows.
func (n *Node) Leave(ctx context.Context) error {
	n.askToLeave()
	began := time.Now()
	n.gate.Leave()
	_ = n.members.Leave(ctx)
	n.line.Add(event.Event{Kind: event.DaemonLeaving, VM: n.config.VM})
	n.log.Info("daemon_leaving", zap.Int("inflight", n.gate.Inflight()))

	over, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return n.batches.Leave(over) })
	g.Go(func() error { return n.orders.Leave(over) })
	if err := g.Wait(); err != nil {
		n.log.Warn("hand_over_incomplete", zap.Error(err))
	}
	err := n.drain(ctx, began)
	if e := n.claims.Leave(over); e != nil {
		n.log.Warn("claims_not_closed", zap.Error(e))
	}
	n.stopServers()
	n.cancel()
	if e := n.Wait(); err == nil {
		err = e
	}
	n.log.Info("daemon_left", zap.Duration("after", time.Since(began)), zap.Error(err))
	return err
}

// drain waits until no request is in flight, and for the grace.
func (n *Node) drain(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, n.config.DrainTimeout)
	defer cancel()
	tick := time.NewTicker(leavePoll)
	defer tick.Stop()
	for n.gate.Inflight() > 0 || time.Since(began) < leaveGrace {
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
