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
	// createdAt is when the counts began. allowed and denied count the decisions since then.
	createdAt       time.Time
	allowed, denied int64
}

// RetryUse is the use of the retry budget of a service by one daemon.
type RetryUse struct {
	// Calls and Retries are those in the window, Limit the number of retries that the window may have.
	Calls, Retries int
	Limit          float64
	// Daemons is the number of daemons that share the budget.
	Daemons int
	// Allowed and Denied count the decisions since the daemon started, Age is the time since the first.
	Allowed, Denied int64
	Age             time.Duration
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
	g := b.budget(service)
	if g.createdAt.IsZero() {
		g.createdAt = now
	}
	if !b.CanRetry(service, now) {
		g.denied++
		return false
	}
	g.allowed++
	g.retries[g.advance(b.settings.RetryWindow, now)]++
	return true
}

// SettleRetry records by when a retry that TakeRetry allowed has arrived at its server.
func (b *Balancer) SettleRetry(_ string, _ time.Time) {}

// CanRetry reports whether a call may be retried at a service, without counting a retry.
func (b *Balancer) CanRetry(service string, now time.Time) bool {
	u := b.RetryUse(service, now)
	return float64(u.Retries+1) <= u.Limit
}

// RetryUse returns the use of the retry budget of a service.
func (b *Balancer) RetryUse(service string, now time.Time) RetryUse {
	g := b.budget(service)
	g.advance(b.settings.RetryWindow, now)
	u := RetryUse{Daemons: b.daemons, Allowed: g.allowed, Denied: g.denied, Age: now.Sub(g.createdAt)}
	for i := range g.calls {
		u.Calls += g.calls[i]
		u.Retries += g.retries[i]
	}
	u.Limit = budgetShare * (b.settings.RetryRatio*float64(u.Calls) + b.settings.RetrySlack/float64(b.daemons))
	return u
}
