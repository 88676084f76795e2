package member

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// Share is what a daemon tells its peers besides its own state. It is bounded:
// the member duty cuts it to its byte budget, the newest first.
type Share struct {
	// Loads are the reports of the engines that this daemon reads.
	Loads []engine.Report
	// Demand is the demand that this daemon saw, by model.
	Demand []ModelDemand
	// Use is what callers with a limit used at this daemon.
	Use []CallerUse
}

// ModelDemand is the demand for a model or adapter at one daemon.
type ModelDemand struct {
	Model   string
	Adapter string
	// PerSecond is the recent rate of requests.
	PerSecond float64
	// TokensPerSecond is the recent rate of generated tokens asked for.
	TokensPerSecond float64
	// Queued is the number of requests that wait for an engine.
	Queued int
}

// Loan is the answer of a daemon that keeps the limit of a caller.
type Loan struct {
	// Granted is the number of requests that may be taken, soon.
	Granted int
	// After is the time after which to ask again, if Granted is 0.
	After time.Duration
}

// CallerUse is the recent rate of a caller's requests at one daemon.
type CallerUse struct {
	Caller    string
	PerSecond float64
}

// ShareProvider collects what this daemon has to tell.
type ShareProvider interface {
	Share() Share
}

// ShareReceiver takes what a peer told.
type ShareReceiver interface {
	Receive(daemon string, s Share)
}
