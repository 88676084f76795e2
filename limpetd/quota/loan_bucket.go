package quota

import "time"

const (
	// burstTime sets the burst of a limit: the number of requests that the limit
	// allows in burstTime. The burst of a small limit is the number of requests that
	// the limit allows in one second, up to smallLimitBurst, and at least one.
	burstTime       = 500 * time.Millisecond
	smallLimitBurst = 4
	// LoanFallbackFraction is the fraction of a limit that all daemons together grant
	// while they cannot reach its owner. An owner lends the same fraction while
	// another daemon may own the limit too.
	LoanFallbackFraction = 0.25
	// takeoverTime is how long a new owner of a limit lends only
	// LoanFallbackFraction of it, because the previous owner may still be lending.
	takeoverTime = 10 * time.Second
	// loanRetriesPerRequest and minLoanRetries bound the rate at which the daemons
	// that were granted nothing ask again: loanRetriesPerRequest times the rate at
	// which the bucket is refilled, but at least minLoanRetries per second.
	loanRetriesPerRequest = 2
	minLoanRetries        = 10
	// maxLoanRetryWait is the longest time after which such a daemon asks again.
	maxLoanRetryWait = 10 * time.Second
)

// LoanBucket is the token bucket of a caller's limit, kept by the daemon that owns
// the limit and lends whole requests to the others. The zero value is a full bucket.
//
// It differs from the buckets of a Table: there is an owner for each limit, a new owner lends at a reduced rate
// instead of starting empty, and the retries of daemons that are granted nothing are spaced out.
type LoanBucket struct {
	tokens    float64
	updatedAt time.Time
	// fullRateAt is when the owner starts to lend at the full rate of the limit.
	fullRateAt time.Time
	// nextRetry is the retry time for the next daemon that is granted nothing.
	nextRetry time.Time
}

// Reset leaves one token in the bucket and starts the takeover time.
func (b *LoanBucket) Reset(now time.Time) {
	b.tokens, b.updatedAt, b.fullRateAt = 1, now, now.Add(takeoverTime)
}

// rate returns the rate at which the bucket of a limit of perSecond is refilled at now,
// in requests per second.
func (b *LoanBucket) rate(now time.Time, perSecond float64, majority bool) float64 {
	if !majority || now.Before(b.fullRateAt) {
		return perSecond * LoanFallbackFraction
	}
	return perSecond
}

// Lend grants up to want requests of a limit of perSecond, at most the burst. During
// the takeover time, and without contact to a majority of the daemons, the bucket is
// refilled at only LoanFallbackFraction of the limit.
func (b *LoanBucket) Lend(now time.Time, perSecond float64, want int, majority bool) (granted int, retryAfter time.Duration) {
	burst := max(perSecond*burstTime.Seconds(), min(perSecond, smallLimitBurst), 1)
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = burst, now
	}
	perSecond = b.rate(now, perSecond, majority)
	if d := now.Sub(b.updatedAt); d > 0 {
		b.tokens = min(b.tokens+perSecond*d.Seconds(), burst)
		b.updatedAt = now
	}
	granted = min(max(want, 1), int(b.tokens))
	if granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	return 0, b.retryAfter(now, perSecond)
}

// retryAfter returns the time after which a daemon that was granted nothing asks
// again. The retries of different daemons are spaced out, so that the owner's load
// does not depend on the number of daemons. perSecond is the rate at which the bucket
// is refilled.
func (b *LoanBucket) retryAfter(now time.Time, perSecond float64) time.Duration {
	earliest := now.Add(CappedSeconds((1 - b.tokens) / perSecond))
	if b.nextRetry.Before(earliest) {
		b.nextRetry = earliest
	}
	retryAfter := min(b.nextRetry.Sub(now), maxLoanRetryWait)
	if retryAfter < maxLoanRetryWait {
		b.nextRetry = b.nextRetry.Add(CappedSeconds(1 / max(loanRetriesPerRequest*perSecond, minLoanRetries)))
	}
	return retryAfter
}
