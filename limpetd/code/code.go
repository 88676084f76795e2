// Package code defines the numbered result codes of limpetlb and the errors
// that carry them.
//
// A code is part of the interface: it is printed by the command line, returned
// to callers in the limpet-code header and in error bodies, and listed with its
// meaning and remedy in docs/codes.md. A number is never given a second
// meaning. The hundreds group codes by aggregate.
//
// # Usage
//
// Make an error with a code, and read the code of any error:
//
//	err := code.Errorf(code.UnknownModel, "model %q is not declared", name)
//	if code.Of(err) == code.UnknownModel { ... }
//
// An error that never met this package has the code Internal; a nil error has
// the code OK. Codes survive wrapping with %w.
package code

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Code is a numbered result.
type Code int

// Run states whether the backend server may have run a call.
type Run string

// The three values of Run. RunNo is only used where no byte of the call can
// have reached a backend server, or where the backend server said so itself.
const (
	RunYes     Run = "yes"
	RunNo      Run = "no"
	RunUnknown Run = "unknown"
)

var (
	namespace = errorx.NewNamespace("limpet")
	errorType = namespace.NewType("error").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	codeKey   = errorx.RegisterProperty("code")
	runKey    = errorx.RegisterProperty("run")
)

// Error is an error with a code.
type Error struct {
	detail *errorx.Error
	cause  error
}

var _ error = (*Error)(nil)

// Error returns the message.
func (e *Error) Error() string {
	return e.detail.Message()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// Errorf returns an error with code c. The verb %w wraps a cause.
func Errorf(c Code, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{
		detail: errorType.New("%s", err.Error()).WithProperty(codeKey, c),
		cause:  errors.Unwrap(err),
	}
}

// WithRun returns an error like err that states run.
func WithRun(err error, run Run) error {
	if err == nil {
		return nil
	}
	return &Error{
		detail: errorType.New("%s", err.Error()).WithProperty(runKey, run),
		cause:  err,
	}
}

// Of returns the code of err: OK for nil, Internal for an error without one.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	if v, ok := property(err, codeKey); ok {
		return v.(Code)
	}
	return Internal
}

// RunOf returns the run state of err. An error that does not state it has the
// run state of its code.
func RunOf(err error) Run {
	if err == nil {
		return RunYes
	}
	if v, ok := property(err, runKey); ok {
		return v.(Run)
	}
	return Of(err).Info().Run
}

// property finds a property on err or on the outermost cause that has it.
func property(err error, key errorx.Property) (any, bool) {
	var e *Error
	for errors.As(err, &e) {
		if v, ok := e.detail.Property(key); ok {
			return v, true
		}
		err = e.cause
	}
	return nil, false
}

// Info returns the table entry of c. An unlisted code has the entry of
// Internal.
func (c Code) Info() Info {
	for _, i := range table {
		if i.Code == c {
			return i
		}
	}
	return Internal.Info()
}

// String returns the name of c with its number, for example
// "unknown_model(1104)".
func (c Code) String() string {
	return fmt.Sprintf("%s(%d)", c.Info().Name, int(c))
}
