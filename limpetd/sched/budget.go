package sched

import "time"

// budgetBuckets is the number of buckets in the sliding window of a retry budget.
const budgetBuckets = 10

// budgetShare is the part of the limit that is used. The rest covers calls that other
// daemons count in a neighbouring bucket.
const budgetShare = 0.75

// budget counts the calls and retries of a service in a sliding window of buckets.
type budget struct {
	calls, retries [budgetBuckets]int
	// bucket is the number of the newest bucket, counted since 1970.
	bucket int64
}

// advance moves the window to now, clears the buckets that left it, and returns the index
// of the current bucket.
func (g *budget) advance(window time.Duration, now time.Time) int {
	step := now.UnixNano() / int64(window/budgetBuckets)
	if step-g.bucket >= budgetBuckets || g.bucket > step {
		g.calls, g.retries = [budgetBuckets]int{}, [budgetBuckets]int{}
		g.bucket = step
	}
	for ; g.bucket < step; g.bucket++ {
		i := (g.bucket + 1) % budgetBuckets
		g.calls[i], g.retries[i] = 0, 0
	}
	return int(step % budgetBuckets)
}

// budget returns the retry budget of a service. It creates a missing one.
func (b *Balancer) budget(service string) *budget {
	g := b.budgets[service]
	if g == nil {
		g = &budget{}
		b.budgets[service] = g
	}
	return g
}

// RecordArrival counts a call from a caller for a service.
func (b *Balancer) RecordArrival(service string, now time.Time) {
	g := b.budget(service)
	g.calls[g.advance(b.settings.RetryWindow, now)]++
}

// TakeRetry reports whether a call may be retried at a service, and counts the retry if so.
// Each daemon applies its own part of the limit that holds for all daemons together.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	if !b.CanRetry(service, now) {
		return false
	}
	g := b.budget(service)
	g.retries[g.advance(b.settings.RetryWindow, now)]++
	return true
}

// CanRetry reports whether a call may be retried at a service, without counting a retry.
func (b *Balancer) CanRetry(service string, now time.Time) bool {
	g := b.budget(service)
	g.advance(b.settings.RetryWindow, now)
	calls, retries := 0, 0
	for i := range g.calls {
		calls += g.calls[i]
		retries += g.retries[i]
	}
	limit := b.settings.RetryRatio*float64(calls) + b.settings.RetrySlack/float64(b.daemons)
	return float64(retries+1) <= budgetShare*limit
}
