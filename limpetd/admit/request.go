package admit

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Request describes a generation that is to be admitted.
type Request struct {
	// ID is the request id.
	ID string
	// Caller is the name of the declared caller.
	Caller string
	// Priority is the name of the declared priority.
	Priority string
	// Deadline is the time by which the whole answer is due, zero for none.
	Deadline time.Time
	// Attempt counts the sends before this one. A request with an Attempt above 0
	// is a retry, which takes from the retry budget.
	Attempt int
	// PreviousUnreached is whether no connection was made for the previous send. This send
	// then replaces the previous one and takes nothing from the retry budget.
	PreviousUnreached bool
	// MaxTokens is the number of generated tokens asked for, which counts as demand.
	MaxTokens int
	// Route describes the engines that can answer.
	Route route.Request
}

// ServiceRequest describes a call to a plain service that is to be admitted.
type ServiceRequest struct {
	// ID is the request id.
	ID string
	// Caller is the name of the declared caller.
	Caller string
	// Pool is the pool of the service's backend servers.
	Pool string
	// Attempt counts the sends before this one, as in Request.
	Attempt int
	// Exclude lists the VMs that already failed this call.
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
	// OutcomeCallerGone means that the caller left before the answer was complete. It
	// counts neither for nor against the backend server.
	OutcomeCallerGone
)

// Ticket is the permission to dispatch one attempt. Release must be called once the
// attempt has ended.
type Ticket interface {
	// Choice returns the backend server to dispatch to.
	Choice() route.Choice
	// FirstToken records that the first token arrived.
	FirstToken()
	// Release records the outcome and frees the room on the backend server.
	Release(o Outcome)
}
