package admit

import (
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/quota"
)

const (
	// retryRatio is the number of retries allowed per first send.
	retryRatio = 0.1
	// maxRetryTokens is the largest number of retries that the budget accumulates
	// for a burst of failures.
	maxRetryTokens = 10
	// The backoff before a retry is a random time up to retryBaseWait, which
	// doubles with each attempt up to maxRetryWait.
	retryBaseWait = 50 * time.Millisecond
	maxRetryWait  = time.Second
)

// retryBudget limits retries to a fraction of the first sends. It is a token
// bucket with one token per retry.
type retryBudget struct {
	tokens float64
}

// recordFirstSend adds the retries allowed for a first send.
func (b *retryBudget) recordFirstSend() {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// take removes one retry from the budget and reports whether the budget held one.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// timeToRetry returns the time until the budget holds a retry, at a given rate of
// first sends.
func (b *retryBudget) timeToRetry(sendsPerSecond float64) time.Duration {
	perSecond := sendsPerSecond * retryRatio
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return quota.CappedSeconds((1 - b.tokens) / perSecond)
}

// retryWait returns the exponential backoff before an attempt, with full jitter.
func retryWait(attempt int, random *rand.Rand) time.Duration {
	limit := min(retryBaseWait<<min(attempt-1, 10), maxRetryWait)
	return time.Duration(random.Int64N(int64(limit) + 1))
}
