package steer

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/crash"
)

// ReportNow reports to the lease holder what this daemon has learned about servers: ends of engines and
// limits.
func (s *Controller) ReportNow() { notify(s.reportNow) }

// crashesSince returns what has become known about the ends of engines after a version, or nil, and
// the current version.
func (s *Controller) crashesSince(version int64) (*crash.Facts, int64) {
	if s.deps.Crashes == nil {
		return nil, 0
	}
	facts, current := s.deps.Crashes.CrashFacts(version)
	if facts.Empty() {
		return nil, current
	}
	return &facts, current
}

// mergeCrashes adds what another daemon knows about the ends of engines.
func (s *Controller) mergeCrashes(facts *crash.Facts) {
	if facts != nil && s.deps.Crashes != nil {
		s.deps.Crashes.MergeCrashFacts(*facts)
	}
}

// hasNewCrashes reports whether more is known about the ends of engines than was sent with the last update.
func (s *Controller) hasNewCrashes() bool {
	facts, _ := s.crashesSince(s.broadcaster.crashesSent())
	return facts != nil && s.IsLeaseHolder()
}

// HasCurrentUpdate reports whether this daemon is the lease holder, or knows what all daemons have told it.
func (s *Controller) HasCurrentUpdate() bool {
	if s.IsLeaseHolder() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact.Fresh(s.deps.Clock())
}

// IsInTouch reports whether this daemon is the lease holder or has lately received an update of it.
func (s *Controller) IsInTouch() bool {
	if s.IsLeaseHolder() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastUpdate) < maxUpdateAge
}
