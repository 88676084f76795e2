package engine

import "errors"

// unreached is the cause of an error of a call for which no connection was made.
type unreached struct {
	cause error
}

// Error returns the text of the cause.
func (u *unreached) Error() string { return u.cause.Error() }

// Unwrap returns the cause.
func (u *unreached) Unwrap() error { return u.cause }

// Unreached tells whether err is of a call for which no connection was made.
func Unreached(err error) bool {
	var u *unreached
	return errors.As(err, &u)
}
