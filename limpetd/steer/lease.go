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

// leaseLoop renews the lease while this daemon holds it, and otherwise takes the lease when
// it has expired and there is no link to a lease holder.
func (s *Controller) leaseLoop(ctx context.Context) {
	source := random.New()
	for ctx.Err() == nil {
		s.mu.Lock()
		s.enterEra()
		mine := s.lease.IsHolder()
		s.mu.Unlock()
		switch {
		case mine && s.leaseUnconfirmed:
			s.readLease(ctx)
		case mine && s.mayHandOver(time.Now()):
			s.handOver(ctx)
		case mine:
			s.renewLease(ctx)
		case s.mayTakeLease():
			s.tryTakeLease(ctx)
		default:
			s.deferral.reset()
		}
		pause := renewPeriod
		if s.leaseUnconfirmed {
			pause = confirmDelay
		} else if !mine {
			pause = random.Jitter(source, leasePollPeriod)
		}
		if s.IsLeaseHolder() != s.wasHolder.Swap(s.IsLeaseHolder()) {
			s.logLeaseChange()
		}
		life.Sleep(ctx, pause)
	}
}

// mayTakeLease reports whether this daemon is able to become the lease holder, and either lacks a link to
// one, or is told that the lease holder has not renewed its lease for a term while this daemon reaches the
// store. A lease holder that alone is cut off from the store goes on for a while, see IsLeaseHolder, and
// all other daemons would read the tables from the store meanwhile.
func (s *Controller) mayTakeLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.config == nil || len(s.servers) == 0 {
		return false
	}
	return time.Since(s.lastUpdate) > linkTimeout || s.lease.Next(s.deps.Clock()) == lease.Acquire && s.reachesStore()
}

// reachesStore reports whether the store has answered this daemon lately.
func (s *Controller) reachesStore() bool {
	for _, f := range s.deps.Tables {
		if time.Since(f.PolledAt()) < storePollAge {
			return true
		}
	}
	return false
}

// IsLeaseHolder reports whether this daemon acts as the lease holder: whether its lease is
// valid, or it continues during an outage of the store.
//
// A lease holder that can't reach the store continues while most daemons keep their links
// to it, because nobody can take the lease while the store is unreachable for all. If
// another daemon does take the lease, engines reject the orders of this daemon by their
// fencing token, and this daemon stops. It therefore continues only where engines check
// fencing tokens.
func (s *Controller) IsLeaseHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEra()
	now := s.deps.Clock()
	switch {
	case s.leaving:
		return false
	case s.lease.Trusted(now):
		return true
	}
	return s.settings.FirstOrderDelay == 0 && s.storeUnreachable && s.lease.IsHolder() && now.Sub(s.renewedAt) < storeOutageTerm &&
		2*(s.broadcaster.count()+1) > len(s.members)
}

// holdsFence reports whether this daemon acts as the lease holder with a fencing token. It may have lost the
// lease and taken it again since an order was made.
func (s *Controller) holdsFence(fence int64) bool {
	s.mu.Lock()
	current := s.lease.Row().Fence
	s.mu.Unlock()
	return current == fence && s.IsLeaseHolder()
}

// enterEra ends the trust in the lease if the store was restored since it was taken. The caller
// must hold mu.
func (s *Controller) enterEra() {
	if era := s.deps.Leases.Era(); s.lease.EnterEra(era, s.deps.Clock()) {
		s.deps.Log.Info("lease_era", zap.Int64("era", era))
	}
}

// renewLease writes the lease again.
func (s *Controller) renewLease(ctx context.Context) {
	s.mu.Lock()
	row, version := s.lease.Row(), s.lease.Version()
	s.mu.Unlock()
	s.writeLease(ctx, row, version, false)
}

// readLease reads the lease and reports whether the read succeeded.
func (s *Controller) readLease(ctx context.Context) bool {
	row, version, err := s.deps.Leases.Read(ctx)
	if err != nil {
		s.deps.Log.Debug("lease_unread", zap.Error(err))
		s.mu.Lock()
		s.storeUnreachable = true
		s.mu.Unlock()
		return false
	}
	s.leaseUnconfirmed = false
	s.mu.Lock()
	s.storeUnreachable = false
	s.enterEra()
	s.lease.Observe(row, version, s.deps.Clock())
	s.mu.Unlock()
	return true
}

// tryTakeLease reads the lease, and takes it if it has expired and no daemon on a stronger
// VM has precedence.
func (s *Controller) tryTakeLease(ctx context.Context) {
	if !s.readLease(ctx) {
		return
	}
	now := s.deps.Clock()
	s.mu.Lock()
	row, version := s.lease.Row(), s.lease.Version()
	action := s.lease.Next(now)
	action = s.deferral.apply(action, s.takeoverDelay(), now)
	taken := s.lease.TakeoverRow()
	s.mu.Unlock()
	switch action {
	case lease.Acquire:
		s.writeLease(ctx, taken, version, true)
	case lease.Renew:
		s.writeLease(ctx, row, version, true)
	case lease.Wait:
	}
}

// leaseDeferral delays taking a free lease on a weak VM, so that a daemon on a stronger VM
// can take it first.
type leaseDeferral struct {
	// freeSince is the time of the first read that found the lease free; zero while there
	// is a lease holder.
	freeSince time.Time
}

// reset records that there is a lease holder.
func (d *leaseDeferral) reset() { d.freeSince = time.Time{} }

// apply returns action, or Wait in place of Acquire if the lease has not been free for a delay, which leaves
// it to a stronger VM.
func (d *leaseDeferral) apply(action lease.Action, delay time.Duration, now time.Time) lease.Action {
	if action != lease.Acquire {
		d.reset()
		return action
	}
	if d.freeSince.IsZero() {
		d.freeSince = now
	}
	if now.Sub(d.freeSince) < delay {
		return lease.Wait
	}
	return action
}

// takeoverDelay returns how long this daemon leaves a free lease to others. At the first start of a fleet, the
// list of daemons is empty, and the delay depends on the power of this VM alone. The caller must hold mu.
func (s *Controller) takeoverDelay() time.Duration {
	switch {
	case s.isCutOff():
		return cutOffDelay
	case s.hasStrongerPeer():
		return weakVMDelay
	case len(s.members) == 0 && s.deps.Members != nil:
		return firstTakeoverDelay(s.settings.Self.Power)
	}
	return 0
}

// firstTakeoverDelay returns how long a VM with a power leaves the lease to others that it does not know.
func firstTakeoverDelay(power float64) time.Duration {
	if power <= weakPower {
		return weakVMDelay
	}
	return time.Duration(weakPower / power * float64(weakVMDelay))
}

// hasStrongerPeer reports whether another daemon has a VM whose power is more than
// strongerFactor times that of this daemon's VM. The caller must hold mu.
func (s *Controller) hasStrongerPeer() bool {
	for _, m := range s.members {
		if m.Power > strongerFactor*s.settings.Self.Power {
			return true
		}
	}
	return false
}

// writeLease writes the lease on the condition that the stored lease has the given version.
func (s *Controller) writeLease(ctx context.Context, row lease.Row, version int64, announce bool) {
	sent := s.deps.Clock()
	written, err := s.deps.Leases.Write(ctx, row, version, announce)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEra()
	s.storeUnreachable = err != nil && code.Of(err) != code.StoreConflict
	switch code.Of(err) {
	case code.OK:
		s.renewedAt = sent
		s.lease.RecordWrite(row, written, sent, s.deps.Clock())
	case code.StoreConflict, code.StoreUnknown:
		// Reading the row shows whether the write took effect. Until then, the lease
		// is valid as long as the last confirmed write allows.
		s.leaseUnconfirmed = true
	}
	if err != nil {
		s.deps.Log.Info("lease_unwritten", zap.Int64("fence", row.Fence), zap.Int64("version", version), zap.Error(err))
	}
}

// logLeaseChange logs that this daemon became the lease holder or stopped being it.
func (s *Controller) logLeaseChange() {
	s.mu.Lock()
	fence := s.lease.Row().Fence
	s.mu.Unlock()
	if s.IsLeaseHolder() {
		s.deps.Scope.Counter("lease_taken").Inc(1)
		s.deps.Log.Info("lease_taken", zap.Int64("fence", fence))
		return
	}
	s.deps.Scope.Counter("lease_lost").Inc(1)
	s.deps.Log.Info("lease_lost", zap.Int64("fence", fence))
}

// Leave releases the lease if this daemon holds it, and keeps this daemon from taking it
// again.
func (s *Controller) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	mine, version := s.lease.IsHolder(), s.lease.Version()
	row := s.lease.FreeRow()
	s.lease.Invalidate()
	s.mu.Unlock()
	if !mine {
		return nil
	}
	s.deps.Log.Info("lease_released", zap.Int64("fence", row.Fence))
	_, err := s.deps.Leases.Write(ctx, row, version, false)
	return err
}
