package admit

import (
	"errors"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry-after of refusals.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// refusal is an error with a retry-after.
type refusal struct {
	cause error
	after time.Duration
}

// Error returns the text of the cause.
func (r *refusal) Error() string { return r.cause.Error() }

// Unwrap returns the cause, which carries the code.
func (r *refusal) Unwrap() error { return r.cause }

// refuse returns an error with a code and a retry-after, which it clamps to the bounds.
func refuse(c code.Code, after time.Duration, format string, args ...any) error {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return &refusal{cause: code.Errorf(c, format, args...), after: after}
}

// RetryAfter returns the time after which a refused call should be sent again, or 0 if
// err has no retry-after.
func RetryAfter(err error) time.Duration {
	var r *refusal
	if errors.As(err, &r) {
		return r.after
	}
	return 0
}
