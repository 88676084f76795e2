package steer

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/quota"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// reserve answers a reservation request as the lease holder.
func (s *Controller) reserve(a sched.ReservationRequest) sched.Reservation {
	if a.Charge > 0 && !s.mayCharge() {
		a.Charge = 0
	}
	return s.deps.Router.Reserve(a)
}

// hasQuotas reports whether a configuration has quotas. Without a lease holder, most calls of their organisations are
// refused, so that a restarted lease holder takes its lease again at once.
func hasQuotas(c *layout.Config) bool {
	return c != nil && slices.ContainsFunc(c.Organisations, func(o *layout.Organisation) bool { return o.Quota.Limited() })
}

// mayCharge reports whether this daemon may charge quotas: whether its lease is valid. A lease holder that goes on
// without the store may have a successor, which charges too. The buckets are empty at the first charge of a lease.
func (s *Controller) mayCharge() bool {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.mu.Lock()
	s.enterEra()
	row, valid := s.lease.Row(), !s.leaving && s.lease.Trusted(s.deps.Clock())
	s.mu.Unlock()
	if valid && (row.Fence != s.quotaLease.Fence || row.Era != s.quotaLease.Era) {
		s.quotaLease = row
		s.deps.Router.StartQuotas()
	}
	return valid
}

// chargeUse charges what a daemon has used of quotas without an answer of this one.
func (s *Controller) chargeUse(use map[string]float64) {
	if len(use) > 0 && s.mayCharge() {
		s.deps.Router.ChargeQuotas(use)
	}
}

// connectedFraction returns the fraction of the daemons in the list of daemons that have reported lately, this one
// included. The others may be using their shares of the quotas.
func (s *Controller) connectedFraction(now time.Time) float64 {
	s.mu.Lock()
	members, known := s.members, s.membersKnown
	s.mu.Unlock()
	if len(members) == 0 {
		if known {
			// Only daemons in the list use shares.
			return 1
		}
		return 0
	}
	reporting := s.broadcaster.reporting(now)
	connected := 0
	for _, m := range members {
		if m.VM == s.settings.Self.VM || reporting[m.VM] {
			connected++
		}
	}
	return float64(connected) / float64(len(members))
}

// reporting returns the daemons whose last report is recent, by VM.
func (b *broadcaster) reporting(now time.Time) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	vms := make(map[string]bool, len(b.subscribers))
	for s := range b.subscribers {
		if now.Sub(s.reportedAt) <= quota.ReportAge {
			vms[s.vm] = true
		}
	}
	return vms
}
