package steer

import (
	"context"
	"io"
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
)

// Steerer is the placement duty of a daemon. It is safe for concurrent use.
type Steerer struct {
	tomb       *tomb.Tomb
	settings   Config
	deps       Deps
	hub        *hub
	wasHolding atomic.Bool

	mu      sync.Mutex
	counts  counts
	config  *layout.Config
	servers []*layout.Server
	lease   *lease.Machine
	leaving bool
	// steerer is the daemon that announced itself last; linked is when word came
	// from it.
	steerer Member
	linked  time.Time

	// reports brings the reports of daemons to the plan; when it is full, a report
	// is dropped, and the next one tells of later calls.
	reports chan told
	// results brings the outcomes of orders and reports of engines to the plan. It
	// holds more than there are orders under way, so that none waits for long.
	results chan func(*books)
	// wake asks for a plan, urgent for a report to the steerer.
	wake   chan struct{}
	urgent chan struct{}
}

// New starts the duty; l serves the links of other daemons.
func New(ctx context.Context, c Config, d Deps, l net.Listener) *Steerer {
	t, ctx := life.WithContext(ctx)
	d.Scope = d.Scope.SubScope("steer")
	s := &Steerer{
		tomb: t, settings: c, deps: d, hub: newHub(),
		counts:  newCounts(),
		lease:   lease.NewMachine(lease.Config{VM: c.VM, Instance: c.Instance, Term: leaseTerm}),
		reports: make(chan told, 256),
		results: make(chan func(*books), 256),
		wake:    make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
	}
	t.Go(func() error { return serveLinks(ctx, l, s) })
	t.Go(func() error {
		s.keep(ctx)
		return nil
	})
	t.Go(func() error {
		s.tell(ctx)
		return nil
	})
	t.Go(func() error {
		s.plan(ctx)
		return nil
	})
	return s
}

// Wait returns when all duties have ended.
func (s *Steerer) Wait() error { return s.tomb.Wait() }

// Know sets the configuration and the servers that are known to run.
func (s *Steerer) Know(c *layout.Config, servers []*layout.Server) {
	s.mu.Lock()
	s.config, s.servers = c, servers
	s.mu.Unlock()
	poke(s.wake)
}

// Announced sets the daemon that announced itself as the steerer.
func (s *Steerer) Announced(m Member) {
	s.mu.Lock()
	changed := s.steerer != m
	s.steerer = m
	s.mu.Unlock()
	if changed {
		s.deps.Log.Info("steerer_announced", zap.String("vm", m.VM), zap.String("address", m.Address))
		poke(s.urgent)
	}
}

// Used notes a call and its work.
func (s *Steerer) Used(service, model, adapter string, work int) {
	s.mu.Lock()
	k := slot{service, model, adapter}
	u := s.counts.used[k]
	u.Calls++
	u.Work += float64(work)
	s.counts.used[k] = u
	s.mu.Unlock()
}

// Want notes a call that waits for a model or adapter.
func (s *Steerer) Want(service, model, adapter string) {
	s.mu.Lock()
	s.counts.waiting[slot{service, model, adapter}]++
	s.mu.Unlock()
	poke(s.urgent)
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tell reports to the steerer: over a link, or directly if this daemon is the steerer.
func (s *Steerer) tell(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		to := s.steerer
		s.mu.Unlock()
		switch {
		case s.holds():
			s.report(s.take())
		case to.Address != "" && to.Instance != s.settings.Instance:
			if err := s.follow(ctx, to); err != nil && ctx.Err() == nil {
				s.deps.Log.Info("link_lost", zap.String("vm", to.VM), zap.Error(err))
				life.Sleep(ctx, reportRetry)
			}
			continue
		}
		s.pause(ctx)
	}
}

// pause waits for the next report: for a period, or less when calls wait.
func (s *Steerer) pause(ctx context.Context) {
	timer := time.NewTimer(tellPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.urgent:
		life.Sleep(ctx, urgentPeriod)
	}
}

func (s *Steerer) take() told {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.take(s.settings.VM)
}

// report hands a report to the plan.
func (s *Steerer) report(t told) {
	select {
	case s.reports <- t:
	default:
		s.deps.Scope.Counter("reports_dropped").Inc(1)
	}
}

// follow keeps a link to the steerer until it is lost or another is announced.
func (s *Steerer) follow(ctx context.Context, to Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, closer, err := dialLink(ctx, to.Address)
	if err != nil {
		return err
	}
	defer func() {
		if err := closer.Close(); err != nil {
			s.deps.Log.Debug("link_not_closed", zap.Error(err))
		}
	}()
	s.tomb.Go(func() error {
		defer cancel()
		for {
			var h holdings
			if err := stream.RecvMsg(&h); err != nil {
				return nil
			}
			s.learn(h)
		}
	})
	start := time.Now()
	for {
		if err := stream.SendMsg(s.take()); err != nil {
			return err
		}
		s.pause(ctx)
		s.mu.Lock()
		linked, now := s.linked, s.steerer
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case now != to:
			return nil
		case time.Since(linked) > linkTimeout && time.Since(start) > linkTimeout:
			return io.ErrNoProgress
		}
	}
}

// learn takes holdings from the steerer in.
func (s *Steerer) learn(h holdings) {
	s.mu.Lock()
	s.linked = time.Now()
	s.mu.Unlock()
	if h.Whole {
		s.deps.Listener.Holdings(sets(h.Adapters), sets(h.Closing))
	}
}

func sets(lists map[string][]string) map[string]map[string]bool {
	out := make(map[string]map[string]bool, len(lists))
	for key, list := range lists {
		set := make(map[string]bool, len(list))
		for _, name := range list {
			set[name] = true
		}
		out[key] = set
	}
	return out
}

// link serves the link of another daemon.
func (s *Steerer) link(stream grpc.ServerStream) error {
	if !s.holds() {
		return status.Error(codes.FailedPrecondition, "this daemon is not the steerer")
	}
	out := s.hub.join()
	defer s.hub.leave(out)
	// A new link gets all holdings with the next plan.
	s.result(func(b *books) { b.published = nil })
	ctx := stream.Context()
	failed := make(chan error, 1)
	s.tomb.Go(func() error {
		for {
			var t told
			if err := stream.RecvMsg(&t); err != nil {
				failed <- err
				return nil
			}
			s.report(t)
			s.hub.ack(out)
		}
	})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case h := <-out.next:
			if !s.holds() {
				return status.Error(codes.FailedPrecondition, "this daemon is no longer the steerer")
			}
			if err := stream.SendMsg(h); err != nil {
				return err
			}
		}
	}
}

// result hands an outcome to the plan.
func (s *Steerer) result(f func(*books)) {
	select {
	case s.results <- f:
	case <-s.tomb.Dying():
	}
}
