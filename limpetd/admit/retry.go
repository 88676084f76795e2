package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// retryRatio is the part of the requests sent that may be sent again.
	retryRatio = 0.1
	// maxRetryTokens bounds the retries saved up for a moment of faults.
	maxRetryTokens = 10
	// retryBase and maxRetryWait bound the wait before a retry: a random time up
	// to retryBase doubled with each attempt.
	retryBase    = 50 * time.Millisecond
	maxRetryWait = time.Second
)

// retryBudget limits retries to a part of the requests sent.
type retryBudget struct {
	tokens float64
}

// earn counts a first send.
func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// take takes a retry out of the budget, if it is there.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until the budget holds a retry at a rate of first sends.
func (b *retryBudget) wait(sendsPerSecond float64) time.Duration {
	perSecond := sendsPerSecond * retryRatio
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return seconds((1 - b.tokens) / perSecond)
}

// retryWait returns the wait before an attempt, with full jitter.
func retryWait(attempt int, random *rand.Rand) time.Duration {
	limit := min(retryBase<<min(attempt-1, 10), maxRetryWait)
	return time.Duration(random.Int64N(int64(limit) + 1))
}

// seconds converts a number of seconds; it is cut to maxRetryAfter.
func seconds(s float64) time.Duration {
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}
