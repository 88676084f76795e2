package front

import (
	"net/http"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// CallHeaders holds the values that a Dialect reads from the headers of a call.
type CallHeaders struct {
	ID string
	// Caller identifies the caller; empty if the headers don't.
	Caller string
	// Keys are the values of the header that holds the key of the caller's organisation.
	Keys []string
	// Deadline is how long the caller waits for the response; 0 if the headers state none.
	Deadline time.Duration
	Model    string
	Adapter  string
	// PromptTokens and OutputTokens are 0 if the headers do not state them.
	PromptTokens, OutputTokens int
	// InvalidTokens is whether the headers state no valid pair of these sizes. Quotas then count neither.
	InvalidTokens bool
	// Session identifies the prompt parts that the call shares with other calls; 0 if
	// there are none.
	Session uint64
	// Parts identify the parts of the prompt that other calls may share, in order.
	Parts []uint64
	// LastEvent is the id of the last event that the caller received; empty if none. Resumes is
	// the id of the call that brought the first one.
	LastEvent, Resumes string
}

// AttemptHeaders holds the values that a Dialect writes to the headers of an attempt.
type AttemptHeaders struct {
	// Instance identifies the process of the backend server that is to run the call.
	Instance string
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	// Priority is 0 for the most urgent calls of an engine and 9 for the least urgent.
	Priority int
	// ToEngine is whether the backend server is an engine.
	ToEngine bool
	// LastEvent is the id of the last event that the caller received.
	LastEvent string
}

// ResponseHeaders holds the values that a Dialect reads from the headers of a response.
type ResponseHeaders struct {
	// NotRun is whether the server reports that it did not run the call.
	NotRun bool
	// WrongServer is whether the server is not the addressed instance, or does not hold the
	// model.
	WrongServer bool
	// HasStamp is whether the response carries the mark of a server that ran the call.
	HasStamp bool
	// Load is the load that the server reports; nil if it reports none.
	Load *sched.LoadReport
	// InvalidPace is a pace in the load that is malformed or out of range.
	InvalidPace string
	// Leaving is whether the server announces that it is leaving.
	Leaving bool
	// Backoff is how long the server wants no more calls from this daemon; 0 if it states no
	// time. InvalidBackoff is a stated time that is malformed or out of range.
	Backoff        time.Duration
	InvalidBackoff string
	// Limit is the number of requests a second that the server takes from all daemons together; 0
	// if it names no limit. InvalidLimit is a value that is malformed or out of range.
	Limit        float64
	InvalidLimit string
	// Brittle is whether the server says that it ends if it must reject more than Rejections calls in a
	// second. InvalidBrittle is a value that is malformed.
	Brittle        bool
	Rejections     float64
	InvalidBrittle string
}

// Dialect maps the header names of a deployment to CallHeaders, AttemptHeaders and
// ResponseHeaders.
type Dialect interface {
	// DecodeCall decodes the headers of a call and deletes those that callers may not set.
	DecodeCall(h http.Header) CallHeaders
	// SetOrganisation replaces the key in the headers of a call by the name of the caller's organisation; by nothing if
	// the name is empty.
	SetOrganisation(h http.Header, name string)
	// SetHeaders sets the headers of an attempt.
	SetHeaders(h http.Header, s AttemptHeaders)
	// DecodeResponse decodes the status and headers of a response.
	DecodeResponse(status int, h http.Header) ResponseHeaders
	// Matches reports whether a response answers the call with the given id. On a connection that was
	// reused, a response that names no call may be an earlier one that was written again.
	Matches(h http.Header, id string, reused bool) bool
}
