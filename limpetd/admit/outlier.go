package admit

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures after which a
	// backend server is ejected.
	ejectAfterFailures = 2
	// baseEjectionTime is the duration of the first ejection. It doubles with
	// each further ejection, up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 30 * time.Second
	// maxEjectedFraction is the largest fraction of a group of servers that is
	// ejected at the same time.
	maxEjectedFraction = 0.5
	// suspectTime is how long a server is less preferred after a failure.
	suspectTime = 30 * time.Second
)

// outlier detects whether a backend server is an outlier, by its consecutive
// failures. The zero value is ready for use.
type outlier struct {
	// failures counts the failures since the last success or ejection, ejections
	// the ejections since the last success.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// failedAt is the time of the last failure.
	failedAt time.Time
}

// recordFailure records a failure and reports whether the server should be
// ejected. After an ejection, a single failure is enough until the server answers.
func (o *outlier) recordFailure(now time.Time) bool {
	o.failures++
	o.failedAt = now
	return !o.ejected(now) && (o.failures >= ejectAfterFailures || o.ejections > 0)
}

// recordSuccess records that the server answered.
func (o *outlier) recordSuccess() {
	o.failures = 0
	o.ejections = 0
}

// eject ejects the server from now on.
func (o *outlier) eject(now time.Time) {
	o.ejectedUntil = now.Add(min(baseEjectionTime<<min(o.ejections, 10), maxEjectionTime))
	o.ejections++
	o.failures = 0
}

// suspect reports whether the last call failed, less than suspectTime ago.
func (o *outlier) suspect(now time.Time) bool {
	return o.failures > 0 && now.Sub(o.failedAt) < suspectTime
}

// ejected reports whether the server is ejected at now.
func (o *outlier) ejected(now time.Time) bool {
	return now.Before(o.ejectedUntil)
}

// mayEject reports whether one more server may be ejected from a group of which
// some are ejected already.
func mayEject(ejected, group int) bool {
	return float64(ejected+1) <= maxEjectedFraction*float64(group)
}
