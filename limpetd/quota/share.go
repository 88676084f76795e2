package quota

import "time"

const (
	// shareFraction is the part of a quota that all daemons together use while none reaches the lease holder.
	shareFraction = 0.75
	// shareTime bounds what a share accumulates, and the time without calls for which it accumulates. The unused
	// shares of many daemons would add up to a burst.
	shareTime = time.Second
)

// Share is a daemon's part of a quota while the lease holder does not answer. The zero value is ready for use.
type Share struct {
	started  bool
	level    float64
	filledAt time.Time
}

// Take uses the share for a call if it suffices. perSecond is the rate of the share. The share starts below zero, by
// what accrues in ReportAge and by a random part, in [0, 1), of its bound: many daemons lose the lease holder at
// the same moment, before the lease holder notices it.
func (s *Share) Take(perSecond, charge, random float64, now time.Time) bool {
	bound := max(perSecond*shareTime.Seconds(), min(charge, MaxOverdraft))
	if !s.started {
		s.started, s.filledAt = true, now
		s.level = -perSecond*ReportAge.Seconds() - random*bound
	}
	if d := min(now.Sub(s.filledAt), shareTime); d > 0 {
		s.level = max(s.level, min(s.level+d.Seconds()*perSecond, bound))
		s.filledAt = now
	}
	if s.level < charge {
		return false
	}
	s.level -= charge
	return true
}

// Force uses the share for a call that can't be refused. The share may become negative.
func (s *Share) Force(charge float64) { s.level -= charge }

// Stop ends the use of the share, because the lease holder answers again.
func (s *Share) Stop() { s.started = false }
