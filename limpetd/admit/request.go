package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Request asks for the admission of a generation.
type Request struct {
	// ID is the request id.
	ID string
	// Caller is the name of the declared caller.
	Caller string
	// Priority is the name of the declared priority.
	Priority string
	// Deadline is when the whole answer is due; zero for none.
	Deadline time.Time
	// Attempt counts the sends before this one; above 0 the admission takes
	// from the retry budget.
	Attempt int
	// Unreached tells that no connection was made for the send before this one,
	// which then takes its place in the budget.
	Unreached bool
	// MaxTokens is the number of generated tokens asked for, for the demand.
	MaxTokens int
	Route     route.Request
}

// ServiceRequest asks for the admission of a call to a plain service.
type ServiceRequest struct {
	ID      string
	Caller  string
	Pool    string
	Attempt int
	// Exclude lists VMs that failed this call already.
	Exclude []string
}

// Outcome is how a dispatched call ended, as far as the backend server is
// concerned.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeAnswered means that the backend server answered.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the backend server failed the call.
	OutcomeFailed
	// OutcomeGone means that the caller gave up.
	OutcomeGone
)

// Ticket is the leave to dispatch one attempt. Release must be called once.
type Ticket interface {
	// Choice is the backend server to dispatch to.
	Choice() route.Choice
	// FirstToken reports that the first token came.
	FirstToken()
	// Release gives the room back.
	Release(o Outcome)
}
