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
)

// Steerer is the placement duty of a daemon. It is safe for concurrent use.
type Steerer struct {
	tomb       *tomb.Tomb
	settings   Config
	deps       Deps
	hub        *hub
	tables     map[string]*mirror.Follower
	wasHolding atomic.Bool
	// doubt tells that the outcome of a write of the lease is not known; only the
	// duty that keeps the lease uses it.
	doubt bool
	yield yield

	mu      sync.Mutex
	counts  counts
	config  *layout.Config
	servers []*layout.Server
	lease   *lease.Machine
	leaving bool
	members []Member
	// away tells that the store did not answer the last call about the lease, renewed
	// is when it was last written.
	away    bool
	renewed time.Time
	// steerer is the daemon that announced itself last; linked is when word came
	// from it.
	steerer Member
	linked  time.Time
	// peer is the connection to the steerer; nil without a link. misses counts asks in a
	// row that were not answered, and mute is until when none are sent.
	peer   *grpc.ClientConn
	misses int
	mute   time.Time

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
		tomb: t, settings: c, deps: d, hub: newHub(d.Tables),
		tables:  map[string]*mirror.Follower{},
		counts:  newCounts(),
		lease:   lease.NewMachine(lease.Config{VM: c.Self.VM, Instance: c.Self.Instance, Term: leaseTerm}),
		reports: make(chan told, 256),
		results: make(chan func(*books), 256),
		wake:    make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
	}
	for _, f := range d.Tables {
		s.tables[f.Name()] = f
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

// Members sets the daemons of the deployment.
func (s *Steerer) Members(all []Member) {
	s.mu.Lock()
	s.members = all
	s.mu.Unlock()
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
		case s.Holds():
			s.report(s.take())
		case to.Address != "" && to.Instance != s.settings.Self.Instance:
			if err := s.follow(ctx, to); err != nil && ctx.Err() == nil {
				s.deps.Log.Info("link_lost", zap.String("vm", to.VM), zap.Error(err))
				if status.Code(err) == codes.FailedPrecondition {
					s.unlinked()
				}
				life.Sleep(ctx, reportRetry)
			}
			continue
		}
		s.pause(ctx)
	}
}

// unlinked notes that the daemon that was the steerer no longer is.
func (s *Steerer) unlinked() {
	s.mu.Lock()
	s.linked = time.Time{}
	s.mu.Unlock()
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

// follow keeps a link to the steerer until it is lost or another is announced.
func (s *Steerer) follow(ctx context.Context, to Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A frozen VM accepts connections and says nothing.
	late := time.AfterFunc(openTimeout, cancel)
	stream, conn, err := dialLink(ctx, to.Address)
	if err != nil {
		return err
	}
	if !late.Stop() {
		return errors.Join(errSilentSteerer, conn.Close())
	}
	s.connected(conn)
	defer func() {
		s.connected(nil)
		if err := conn.Close(); err != nil {
			s.deps.Log.Debug("link_not_closed", zap.Error(err))
		}
	}()
	received := make(chan error, 1)
	s.tomb.Go(func() error {
		defer cancel()
		adapters, closing := map[string]map[string]bool{}, map[string]map[string]bool{}
		for {
			var w word
			if err := stream.RecvMsg(&w); err != nil {
				received <- err
				return nil
			}
			if w.Whole {
				clear(adapters)
				clear(closing)
			}
			s.learn(w, adapters, closing)
		}
	})
	first := s.take()
	first.Versions = map[string]int64{}
	for name, f := range s.tables {
		first.Versions[name] = f.Version()
	}
	if err := stream.SendMsg(first); err != nil {
		return err
	}
	start := time.Now()
	for {
		s.pause(ctx)
		s.mu.Lock()
		linked, now := s.linked, s.steerer
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			select {
			case err := <-received:
				return err
			default:
				return ctx.Err()
			}
		case now != to:
			return nil
		case time.Since(linked) > linkTimeout && time.Since(start) > linkTimeout:
			return io.ErrNoProgress
		}
		if err := stream.SendMsg(s.take()); err != nil {
			return err
		}
	}
}

// learn takes a word of the steerer in. The maps hold what all engines have.
func (s *Steerer) learn(w word, adapters, closing map[string]map[string]bool) {
	now := time.Now()
	s.mu.Lock()
	s.linked = now
	if w.Loads != nil && !s.lease.Mine() {
		s.lease.Observe(lease.Row{VM: w.Lease.VM, Instance: w.Lease.Instance, Fence: w.Lease.Fence}, w.Lease.Version, s.deps.Clock())
	}
	s.mu.Unlock()
	if w.Whole || len(w.Adapters) > 0 || len(w.Closing) > 0 {
		maps.Copy(adapters, sets(w.Adapters))
		maps.Copy(closing, sets(w.Closing))
		s.deps.Listener.Holdings(maps.Clone(adapters), maps.Clone(closing))
	}
	if w.Loads != nil {
		s.deps.Listener.Share(w.Loads)
	}
	for _, u := range w.Tables {
		if f := s.tables[u.Table]; f != nil {
			f.Offer(u, now)
		}
	}
}

func sets(lists map[string][]string) map[string]map[string]bool {
	out := make(map[string]map[string]bool, len(lists))
	for key, list := range lists {
		out[key] = set(list)
	}
	return out
}

// link serves the link of another daemon.
func (s *Steerer) link(stream grpc.ServerStream) error {
	if !s.Holds() {
		return errNotSteerer
	}
	var first told
	if err := stream.RecvMsg(&first); err != nil {
		return err
	}
	out := s.hub.join(first.Versions)
	defer s.hub.leave(out)
	s.hub.heard(out, &first)
	s.report(first)
	failed := make(chan error, 1)
	s.tomb.Go(func() error {
		for {
			var t told
			if err := stream.RecvMsg(&t); err != nil {
				failed <- err
				return nil
			}
			s.hub.heard(out, &t)
			s.report(t)
		}
	})
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case err := <-failed:
			return err
		case w := <-out.next:
			if !s.Holds() {
				return errNotSteerer
			}
			if s.hub.cut(out) || time.Since(w.at) > wordDelay {
				return errSlow
			}
			if err := stream.SendMsg(w.message); err != nil {
				return err
			}
		}
	}
}

// errSilentSteerer means that a link could not be opened in time.
var errSilentSteerer = errors.New("the steerer accepts no link")

// errNotSteerer ends links to a daemon that does not hold the lease, errSlow those to a
// daemon that takes no words.
var (
	errNotSteerer = status.Error(codes.FailedPrecondition, "this daemon is not the steerer")
	errSlow       = status.Error(codes.ResourceExhausted, "too many words wait for the daemon")
)

// result hands an outcome to the plan.
func (s *Steerer) result(f func(*books)) {
	select {
	case s.results <- f:
	case <-s.tomb.Dying():
	}
}
