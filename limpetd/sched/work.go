package sched

const (
	// outputWork is the work of a token that an engine makes, in tokens that it reads:
	// a batch makes its tokens together.
	outputWork = 0.7
	// relaxedTimes is how many times the tightest expectation of its service a call's own
	// must be for it to count as relaxed.
	relaxedTimes = 4
	// relaxedWork is the part of the work of relaxed calls that replicas are wanted for:
	// they can wait until a busy engine has time.
	relaxedWork = 0.3
)

// Work returns the work of a call by which replicas are placed, in tokens of a prompt.
//
// It answers a burst of calls that have seconds of time: replicas for them would take the
// place of those for urgent calls.
func Work(c *Call, d Demands) float64 {
	work := float64(c.PromptTokens) + outputWork*float64(c.OutputTokens)
	if d.Tightest > 0 && c.Route.Expectation >= relaxedTimes*d.Tightest {
		work *= relaxedWork
	}
	return work
}
