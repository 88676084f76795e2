package member

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// DaemonReport is the data that a daemon sends to its peers besides its own state. In a
// large environment Demand and Usage are sent less often, to limit traffic.
type DaemonReport struct {
	// EngineReports are the reports of the engines that this daemon polls.
	EngineReports []engine.Report
	// Demand is the demand that this daemon observed, by model.
	Demand []ModelDemand
	// Usage is the request rate at this daemon of each caller with a limit.
	Usage []CallerUsage
}

// ModelDemand is the demand for a model or adapter at one daemon.
type ModelDemand struct {
	Model   string
	Adapter string
	// PerSecond is the recent rate of requests.
	PerSecond float64
	// TokensPerSecond is the recent rate of generated tokens requested.
	TokensPerSecond float64
	// Queued is the number of requests that wait for an engine.
	Queued int
}

// Loan is the answer of the daemon that enforces a caller's limit to a daemon that
// asks for a part of it.
type Loan struct {
	// Granted is the number of requests that the asking daemon may accept soon.
	Granted int
	// RetryAfter is the time after which to ask again if Granted is 0.
	RetryAfter time.Duration
}

// CallerUsage is the recent rate of a caller's requests at one daemon.
type CallerUsage struct {
	Caller    string
	PerSecond float64
}

// DaemonReportProvider collects the data that this daemon sends to its peers.
type DaemonReportProvider interface {
	DaemonReport() DaemonReport
}

// DaemonReportReceiver handles the data that a peer sent.
type DaemonReportReceiver interface {
	Receive(daemon string, s DaemonReport)
}
