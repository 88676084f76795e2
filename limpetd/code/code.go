// Package code defines the numbered result codes of limpetlb and the errors
// that carry them.
//
// Codes are a public interface: the command line prints them, callers receive
// them in the limpet-code header and in error bodies, and docs/codes.md lists
// them with their meanings and remedies. A number is never reused for another
// meaning. Codes with the same hundreds belong to the same subject.
//
// # Usage
//
// Create an error with a code, and get the code of any error:
//
//	err := code.Errorf(code.UnknownModel, "model %q is not declared", name)
//	if code.Of(err) == code.UnknownModel { ... }
//
// An error without a code has the code Internal; a nil error has the code OK.
// Wrapping an error with %w preserves its code.
package code

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Code is a result code.
type Code int

// RunState is the run state of a call: whether the backend server may have run it.
type RunState string

// The values of RunState. RunNo is used only if no byte of the call can have reached
// a backend server, or if the backend server itself reported that it did not run
// the call.
const (
	RunYes     RunState = "yes"
	RunNo      RunState = "no"
	RunUnknown RunState = "unknown"
)

var (
	namespace = errorx.NewNamespace("limpet")
	errorType = namespace.NewType("error").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	codeKey   = errorx.RegisterProperty("code")
	runKey    = errorx.RegisterProperty("run")
)

// Error is an error with a code or a run state.
type Error struct {
	// detail holds the message and the code or run state.
	detail *errorx.Error
	// cause is the wrapped error; nil if there is none.
	cause error
}

var _ error = (*Error)(nil)

// Error returns the error message.
func (e *Error) Error() string {
	return e.detail.Message()
}

// Unwrap returns the wrapped error, or nil if there is none.
func (e *Error) Unwrap() error {
	return e.cause
}

// Errorf returns an error with code c and a formatted message. The verb %w wraps
// an error.
func Errorf(c Code, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{
		detail: errorType.New("%s", err.Error()).WithProperty(codeKey, c),
		cause:  errors.Unwrap(err),
	}
}

// WithRun returns an error that wraps err and has the given run state. It returns
// nil if err is nil.
func WithRun(err error, run RunState) error {
	if err == nil {
		return nil
	}
	return &Error{
		detail: errorType.New("%s", err.Error()).WithProperty(runKey, run),
		cause:  err,
	}
}

// Of returns the code of err: OK if err is nil, Internal if err has no code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	if v, ok := property(err, codeKey); ok {
		return v.(Code)
	}
	return Internal
}

// RunOf returns the run state of err: RunYes if err is nil, and the run state of
// its code if err has none of its own.
func RunOf(err error) RunState {
	if err == nil {
		return RunYes
	}
	if v, ok := property(err, runKey); ok {
		return v.(RunState)
	}
	return Of(err).Info().Run
}

// property returns the value of a property of err, or of the outermost wrapped
// error that has the property.
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

// Info returns the description of c. A code that is not in the table has the
// description of Internal.
func (c Code) Info() Info {
	for _, i := range table {
		if i.Code == c {
			return i
		}
	}
	return Internal.Info()
}

// String returns the name and number of c, for example
// "unknown_model(1104)".
func (c Code) String() string {
	return fmt.Sprintf("%s(%d)", c.Info().Name, int(c))
}
