package admit

import "time"

const (
	// failuresInRow is the number of failures in a row that eject a backend
	// server.
	failuresInRow = 2
	// ejectTime is the time of the first ejection; it doubles with each further
	// one up to maxEjectTime.
	ejectTime    = 5 * time.Second
	maxEjectTime = 30 * time.Second
	// ejectedPart is the largest part of a group that is ejected at once.
	ejectedPart = 0.5
	// suspectTime is how long a failure makes a server less preferred.
	suspectTime = 30 * time.Second
)

// outlier is the record of a backend server. The zero value is ready for use.
type outlier struct {
	failures int
	times    int
	until    time.Time
	// failedAt is the time of the last failure.
	failedAt time.Time
}

// failed notes a failure and tells whether the server should be ejected. After
// an ejection a single failure ejects again.
func (o *outlier) failed(now time.Time) bool {
	o.failures++
	o.failedAt = now
	return !o.ejected(now) && (o.failures >= failuresInRow || o.times > 0)
}

// answered notes a success.
func (o *outlier) answered() {
	o.failures = 0
	o.times = 0
}

// eject ejects the server.
func (o *outlier) eject(now time.Time) {
	o.until = now.Add(min(ejectTime<<min(o.times, 10), maxEjectTime))
	o.times++
	o.failures = 0
}

// suspect tells whether the last call failed, lately.
func (o *outlier) suspect(now time.Time) bool {
	return o.failures > 0 && now.Sub(o.failedAt) < suspectTime
}

// ejected tells whether the server is ejected.
func (o *outlier) ejected(now time.Time) bool {
	return now.Before(o.until)
}

// mayEject tells whether one more of a group may be ejected.
func mayEject(ejected, group int) bool {
	return float64(ejected+1) <= ejectedPart*float64(group)
}
