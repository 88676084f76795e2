package gate

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
)

// defaultRetryAfter is told where the fault names no time of its own.
const defaultRetryAfter = time.Second

// retryAfter is the time that a caller is asked to wait; 0 for none.
func retryAfter(err error) time.Duration {
	if wait := admit.RetryAfter(err); wait > 0 {
		return wait
	}
	switch code.Of(err) {
	case code.Stopping, code.NoDocument, code.CallerLimit, code.QueueFull,
		code.ShedDeadline, code.NoEngine, code.NoBackend, code.RetryBudget,
		code.BackendFailed, code.ClaimStoreDown, code.ClaimInProgress,
		code.BatchStoreDown:
		return defaultRetryAfter
	}
	return 0
}
