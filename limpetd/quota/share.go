package quota

import "time"

const (
	// shareFraction is the part of a quota that all daemons together use while none reaches the lease holder.
	shareFraction = 0.7
	// shareTime bounds what a share accumulates. The unused shares of many daemons would add up to a burst: together
	// with the calls of a window, they stay within the tolerance of a tenth.
	shareTime = 4 * time.Second
	// startTime is how much of a share a daemon may use at once when it loses the lease holder.
	startTime = 500 * time.Millisecond
)

// Share is a daemon's part of a quota while the lease holder does not answer. The zero value is ready for use.
type Share struct {
	started             bool
	level               float64
	filledAt, stoppedAt time.Time
}

// Take uses the share for a call. perSecond is the rate of the share, random a random number in [0, 1).
//
// With many daemons, the share of one is less than a call for seconds. A share that does not suffice is used up
// nevertheless, and the call is admitted with the probability of the part of it that there is: all daemons together
// admit what their shares add up to, and none has to save for a call that may not come. A call that exceeds what a share
// can hold by more than MaxOverdraft is not admitted: one such call could exceed the quota.
func (s *Share) Take(perSecond, charge, random float64, now time.Time) bool {
	if !s.started {
		s.started, s.filledAt = true, now
		s.level = perSecond * min(now.Sub(s.stoppedAt), startTime).Seconds()
	}
	capacity := perSecond * shareTime.Seconds()
	if d := now.Sub(s.filledAt); d > 0 {
		s.level = max(s.level, min(s.level+d.Seconds()*perSecond, capacity))
		s.filledAt = now
	}
	switch {
	case s.level >= charge:
		s.level -= charge
		return true
	case charge > capacity+MaxOverdraft:
		return false
	}
	admitted := s.level > random*charge
	s.level = min(s.level, 0)
	return admitted
}

// Force uses the share for a call that can't be refused. The share may become negative.
func (s *Share) Force(charge float64) { s.level -= charge }

// Stop ends the use of the share, because the lease holder answers again.
func (s *Share) Stop(now time.Time) {
	if s.started {
		s.started, s.stoppedAt = false, now
	}
}
