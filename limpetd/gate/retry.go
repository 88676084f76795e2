package gate

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// defaultRetryAfter is the wait for retryable errors that carry no time of their
// own.
const defaultRetryAfter = time.Second

// retryAfter returns how long the caller is asked to wait before a retry, or 0 if
// the response to err has no Retry-After header.
func retryAfter(err error) time.Duration {
	if wait := admit.RetryAfter(err); wait > 0 {
		return wait
	}
	switch code.Of(err) {
	case code.Stopping, code.NoDocument, code.CallerLimit, code.QueueFull,
		code.ShedDeadline, code.NoEngine, code.NoBackend, code.RetryBudget,
		code.BackendFailed, code.ClaimStoreDown, code.ClaimInProgress,
		code.BatchStoreDown, code.MemoryShort:
		return defaultRetryAfter
	}
	return 0
}
