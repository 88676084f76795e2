package sched

import "time"

// spareTime is the time left until the objective from which on a waiting call gives way to calls that have less.
const spareTime = time.Second

// hasSpare reports whether a call can wait for longer and still be answered in time.
func hasSpare(c *Call, now time.Time) bool {
	return !c.Resumes() && onTimeLimit(c)-now.Sub(c.Arrived) > spareTime
}

// before compares waiting calls: a negative result means that a gets a server before b. See SortWaiters.
func before(a, b *Call, now time.Time) int {
	for _, later := range [...]func(c *Call) bool{
		func(c *Call) bool { return !c.Resumes() },
		func(c *Call) bool { return Late(c, now) },
		func(c *Call) bool { return hasSpare(c, now) },
	} {
		if of := later(a); of != later(b) {
			if of {
				return 1
			}
			return -1
		}
	}
	if pa, pb := a.Priority(), b.Priority(); pa != pb {
		return pa - pb
	}
	return a.Arrived.Add(a.Route.Expectation).Compare(b.Arrived.Add(b.Route.Expectation))
}
