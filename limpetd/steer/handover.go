package steer

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// PathProvider reports whether this daemon can send orders to servers.
type PathProvider interface {
	// CutOff reports whether this daemon has lost its paths to at least half of the servers, while
	// other daemons reach them.
	CutOff() bool
}

const (
	// handOverDelay is how long a lease holder that is cut off from servers keeps the lease.
	handOverDelay = time.Second
	// maxReachAge is the age of the last report of a daemon up to which it counts as one that can take
	// the lease.
	maxReachAge = 4 * reportPeriod
	// cutOffDelay is how long a daemon that is cut off from servers leaves a free lease to others. Like
	// weakVMDelay, it exceeds two pauses between reads of the lease.
	cutOffDelay = 2 * weakVMDelay
)

// isCutOff reports whether this daemon is cut off from servers.
func (s *Controller) isCutOff() bool { return s.deps.Paths != nil && s.deps.Paths.CutOff() }

// recordReach records whether a daemon with a link reaches the servers.
func (s *Controller) recordReach(r *daemonReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.CutOff {
		delete(s.reaching, r.VM)
		return
	}
	s.reaching[r.VM] = time.Now()
}

// mayHandOver reports whether this daemon, which holds the lease, should release it because it can't send orders
// to servers while another daemon can. Only the goroutine of leaseLoop calls it.
func (s *Controller) mayHandOver(now time.Time) bool {
	if !s.isCutOff() {
		s.cutOffSince = time.Time{}
		return false
	}
	if s.cutOffSince.IsZero() {
		s.cutOffSince = now
	}
	if now.Sub(s.cutOffSince) < handOverDelay {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.reaching {
		if now.Sub(at) < maxReachAge {
			return true
		}
	}
	return false
}

// handOver releases the lease, and ends the links so that another daemon takes it at once.
func (s *Controller) handOver(ctx context.Context) {
	s.mu.Lock()
	row, version := s.lease.FreeRow(), s.lease.Version()
	s.lease.Invalidate()
	s.mu.Unlock()
	s.cutOffSince = time.Time{}
	s.deps.Log.Info("lease_released", zap.Int64("fence", row.Fence), zap.String("reason", "no path to servers"))
	if _, err := s.deps.Leases.Write(ctx, row, version, false); err != nil {
		// The lease expires if it was not released.
		s.deps.Log.Warn("lease_unreleased", zap.Int64("fence", row.Fence), zap.Error(err))
	}
	s.broadcaster.wakeAll(time.Now())
}
