package steer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/lease"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/random"
)

// keep renews the lease, or takes it when it has lapsed and there is no link to a
// steerer.
func (s *Steerer) keep(ctx context.Context) {
	source := random.New()
	for ctx.Err() == nil {
		s.mu.Lock()
		mine := s.lease.Mine()
		s.mu.Unlock()
		switch {
		case mine && s.doubt:
			s.read(ctx)
		case mine:
			s.renew(ctx)
		case s.needsSteerer():
			s.candidate(ctx)
		default:
			s.yield.linked()
		}
		pause := renewPeriod
		if s.doubt {
			pause = doubtPeriod
		} else if !mine {
			pause = random.Around(source, candidatePeriod)
		}
		if s.Holds() != s.wasHolding.Swap(s.Holds()) {
			s.note()
		}
		life.Sleep(ctx, pause)
	}
}

// needsSteerer tells whether this daemon may become the steerer.
func (s *Steerer) needsSteerer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && s.config != nil && len(s.servers) > 0 && time.Since(s.linked) > linkTimeout
}

// Holds tells whether this daemon steers: whether it trusts its lease, or goes on without
// the store.
//
// A steerer whose store is away goes on while most daemons keep their links to it, as no
// other can take the lease from a store that nobody reaches. If another does, engines
// refuse the orders of this one for their fence, which ends it; so it only goes on where
// engines check fences.
func (s *Steerer) Holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock()
	switch {
	case s.leaving:
		return false
	case s.lease.Valid(now):
		return true
	}
	return s.settings.Quiet == 0 && s.away && s.lease.Mine() && now.Sub(s.renewed) < awayTerm &&
		2*(s.hub.linked()+1) > len(s.members)
}

// renew writes the lease again.
func (s *Steerer) renew(ctx context.Context) {
	s.mu.Lock()
	row, version := s.lease.Row(), s.lease.Version()
	s.mu.Unlock()
	s.write(ctx, row, version, false)
}

// read reads the lease; false if it can't be read.
func (s *Steerer) read(ctx context.Context) bool {
	row, version, err := s.deps.Leases.Read(ctx)
	if err != nil {
		s.deps.Log.Debug("lease_unread", zap.Error(err))
		s.mu.Lock()
		s.away = true
		s.mu.Unlock()
		return false
	}
	s.doubt = false
	s.mu.Lock()
	s.away = false
	s.lease.Observe(row, version, s.deps.Clock())
	s.mu.Unlock()
	return true
}

// candidate reads the lease, and takes it if it has lapsed.
func (s *Steerer) candidate(ctx context.Context) {
	if !s.read(ctx) {
		return
	}
	now := s.deps.Clock()
	s.mu.Lock()
	row, version := s.lease.Row(), s.lease.Version()
	action := s.lease.Next(now)
	action = s.yield.next(action, s.weak(), now)
	taken := s.lease.Taken()
	s.mu.Unlock()
	switch action {
	case lease.Take:
		s.write(ctx, taken, version, true)
	case lease.Renew:
		s.write(ctx, row, version, true)
	case lease.Wait:
	}
}

// yield lets a weak VM leave a free lease to a stronger one for a while.
type yield struct {
	// free is since when the lease could be taken.
	free time.Time
}

// linked notes that a steerer is there.
func (y *yield) linked() { y.free = time.Time{} }

// next returns what to do in place of action.
func (y *yield) next(action lease.Action, weak bool, now time.Time) lease.Action {
	if y.free.IsZero() || action != lease.Take {
		y.free = now
	}
	if action == lease.Take && weak && now.Sub(y.free) < weakDelay {
		return lease.Wait
	}
	return action
}

// weak tells whether another daemon has a much stronger VM.
func (s *Steerer) weak() bool {
	for _, m := range s.members {
		if m.Power > strongerBy*s.settings.Self.Power {
			return true
		}
	}
	return false
}

// write stores the lease on the condition that it has a version.
func (s *Steerer) write(ctx context.Context, row lease.Row, version int64, announce bool) {
	sent := s.deps.Clock()
	got, err := s.deps.Leases.Write(ctx, row, version, announce)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = err != nil && code.Of(err) != code.StoreConflict
	switch code.Of(err) {
	case code.OK:
		s.renewed = sent
		s.lease.Held(row, got, sent, s.deps.Clock())
	case code.StoreConflict, code.StoreUnknown:
		// The row tells what came of the write. Until it was read the lease is
		// trusted as long as the last write that is known to have taken effect allows.
		s.doubt = true
	}
	if err != nil {
		s.deps.Log.Info("lease_unwritten", zap.Int64("fence", row.Fence), zap.Int64("version", version), zap.Error(err))
	}
}

// note logs that the lease was won or lost.
func (s *Steerer) note() {
	s.mu.Lock()
	fence := s.lease.Row().Fence
	s.mu.Unlock()
	if s.Holds() {
		s.deps.Scope.Counter("lease_taken").Inc(1)
		s.deps.Log.Info("lease_taken", zap.Int64("fence", fence))
		return
	}
	s.deps.Scope.Counter("lease_lost").Inc(1)
	s.deps.Log.Info("lease_lost", zap.Int64("fence", fence))
}

// Leave hands the lease over and takes it no more.
func (s *Steerer) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	mine, version := s.lease.Mine(), s.lease.Version()
	row := lease.Row{Fence: s.lease.Row().Fence}
	s.lease.Forget()
	s.mu.Unlock()
	if !mine {
		return nil
	}
	s.deps.Log.Info("lease_released", zap.Int64("fence", row.Fence))
	_, err := s.deps.Leases.Write(ctx, row, version, false)
	return err
}
