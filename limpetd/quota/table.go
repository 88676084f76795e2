// Package quota decides whether calls are within the quotas of organisations, which hold over all daemons together.
//
// The lease holder charges the calls of all daemons to a Table. A daemon keeps credit that was charged but not
// used for its next calls, and uses a small share of the quotas while the lease holder does not answer; both are in
// a Daemon. LoanBucket and CycleShare are the same decisions for limits that are lent in whole requests, as package
// admit does.
//
// The types are pure: they start no goroutines, do no I/O and read no clock. Every method receives the time. They
// are not safe for concurrent use.
//
// # Usage
//
//	t := quota.NewTable()
//	t.SetLimits(map[string]quota.Limit{"a": {PerSecond: 1000, Burst: 1000}}, now)
//	t.SetConnected(1, now)
//	if _, ok := t.Check("a", 120, now); ok {
//		t.Charge("a", 120, now)
//	}
package quota

import (
	"maps"
	"time"
)

const (
	// ReportAge is the age of a daemon's last report up to which the daemon counts as connected to the lease holder:
	// two report periods and some delay. A daemon without answers uses none of its share for as long, so that the
	// same part of a quota is not used twice.
	ReportAge = 600 * time.Millisecond
	// maxGap bounds the time for which buckets fill between two calls of a method. A lease holder that was suspended
	// does not know which daemons used their shares meanwhile.
	maxGap = ReportAge
	// minCapacity is the least capacity of a bucket, as time at the full rate. It lets calls that arrive together
	// through.
	minCapacity = 250 * time.Millisecond
	// MaxOverdraft is how far a call that exceeds the capacity may overdraw a full bucket, in units. It is less than
	// the part of a quota's tolerance that does not depend on the rate (11,000).
	MaxOverdraft = 8192
	// minRate is the least rate that admits calls, one call in eleven days. Lower ones stand for limits that are invalid.
	minRate = 1e-6
	// minWait and maxWait bound the time that is told to refused callers.
	minWait = 10 * time.Millisecond
	maxWait = time.Minute
)

// Limit is the limit of an organisation in units, which are calls or tokens.
type Limit struct {
	PerSecond float64
	// Burst is how many units may be used at once after a pause.
	Burst float64
}

func (l Limit) capacity() float64 { return max(l.Burst, l.PerSecond*minCapacity.Seconds()) }

// Table holds the buckets of all organisations at the lease holder.
type Table struct {
	buckets map[string]*bucket
	// connected is the fraction of the daemons that are connected to the lease holder. filled is the time for which
	// buckets have filled until updatedAt, in seconds at the full rate.
	connected, filled float64
	updatedAt         time.Time
}

// bucket is the token bucket of an organisation. Its level is that at the time filledTo of Table.filled.
type bucket struct {
	limit           Limit
	level, filledTo float64
}

// NewTable returns a table without organisations.
func NewTable() *Table { return &Table{buckets: map[string]*bucket{}} }

// SetLimits replaces the limits. The bucket of a new organisation is empty, others keep their level within the
// new capacity.
func (t *Table) SetLimits(limits map[string]Limit, now time.Time) {
	t.advance(now)
	maps.DeleteFunc(t.buckets, func(name string, _ *bucket) bool { return !has(limits, name) })
	for name, l := range limits {
		switch b := t.buckets[name]; {
		case b == nil:
			t.buckets[name] = &bucket{limit: l, filledTo: t.filled}
		case b.limit != l:
			b.fill(t.filled)
			b.limit = l
		}
	}
}

// has reports whether an organisation has a limit.
func has(limits map[string]Limit, organisation string) bool {
	_, ok := limits[organisation]
	return ok
}

// SetConnected sets the fraction of the daemons that are connected to the lease holder. The others use their shares.
func (t *Table) SetConnected(fraction float64, now time.Time) {
	t.advance(now)
	t.connected = min(max(fraction, 0), 1)
}

// Reset empties all buckets, because this daemon has become the lease holder. The previous one may just have
// charged what the quotas allow.
func (t *Table) Reset(now time.Time) {
	t.advance(now)
	for _, b := range t.buckets {
		b.level, b.filledTo = 0, t.filled
	}
}

// advance adds the time since the last call.
func (t *Table) advance(now time.Time) {
	if d := now.Sub(t.updatedAt); d > 0 {
		t.filled += min(d, maxGap).Seconds() * t.connected
		t.updatedAt = now
	}
}

// fill adds what has accrued until a time of Table.filled.
func (b *bucket) fill(to float64) {
	b.level = min(b.level+(to-b.filledTo)*b.limit.PerSecond, b.limit.capacity())
	b.filledTo = to
}

// Check reports whether the bucket of an organisation holds enough for a call, without charging it. If not, it
// returns the time until then. An organisation without a bucket has no limit. A call that exceeds the capacity needs
// a full bucket.
func (t *Table) Check(organisation string, charge float64, now time.Time) (wait time.Duration, ok bool) {
	b := t.buckets[organisation]
	if b == nil {
		return 0, true
	}
	t.advance(now)
	b.fill(t.filled)
	capacity := b.limit.capacity()
	if charge > capacity+MaxOverdraft || b.limit.PerSecond < minRate {
		return maxWait, false
	}
	missing := min(charge, capacity) - b.level
	if missing <= 0 {
		return 0, true
	}
	return waitFor(missing, b.limit.PerSecond*t.connected), false
}

// waitFor returns the time in which units accrue.
func waitFor(units, perSecond float64) time.Duration {
	return max(CappedSeconds(units/perSecond), minWait)
}

// CappedSeconds converts a number of seconds to a duration between 0 and a minute.
func CappedSeconds(s float64) time.Duration {
	if s >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}

// Charge charges an organisation, whose bucket may become negative. It reports whether the organisation has a bucket.
func (t *Table) Charge(organisation string, charge float64, now time.Time) bool {
	b := t.buckets[organisation]
	if b == nil {
		return false
	}
	t.advance(now)
	b.fill(t.filled)
	b.level -= charge
	return true
}
