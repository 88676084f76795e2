package engine

import "errors"

// unreachedError wraps the error of a request for which no connection was made.
type unreachedError struct {
	cause error
}

// Error implements error.
func (u *unreachedError) Error() string { return u.cause.Error() }

// Unwrap returns the wrapped error.
func (u *unreachedError) Unwrap() error { return u.cause }

// IsUnreachable reports whether err is the error of a request for which no connection was
// made.
func IsUnreachable(err error) bool {
	var u *unreachedError
	return errors.As(err, &u)
}
