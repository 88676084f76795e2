package quota

import (
	"math"
	"time"
)

// grantWindow is the time at the start of each cycle of a CycleShare in which requests are granted.
const grantWindow = time.Second

// CycleShare limits what a daemon grants while it cannot reach the owner of a
// limit. It grants up to a fixed number of requests per cycle, only within grantWindow
// from the start of the cycle. The zero value is ready for use.
type CycleShare struct {
	// cycle is the number of the current cycle, used the requests granted in it.
	cycle, used int64
}

// Take decides on a request. At a rate of less than one request per grantWindow, the
// cycle is longer than grantWindow and grants one request. The cycles of the daemons
// start at different phases and unused requests do not carry over, so that many daemons
// do not grant a request at the same time.
func (s *CycleShare) Take(now time.Time, perSecond, phase float64) (ok bool, retryAfter time.Duration) {
	maxGrants := max(math.Floor(perSecond*grantWindow.Seconds()), 1)
	period := maxGrants / perSecond
	position := float64(now.UnixNano())/float64(time.Second)/period + phase
	cycle := int64(math.Floor(position))
	if cycle != s.cycle {
		s.cycle, s.used = cycle, 0
	}
	elapsed := (position - math.Floor(position)) * period
	if elapsed < grantWindow.Seconds() && s.used < int64(maxGrants) {
		s.used++
		return true, 0
	}
	return false, CappedSeconds(period - elapsed)
}
