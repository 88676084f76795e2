package sched

const (
	// outputTokenWork is the work of generating a token, in prefilled prompt tokens. It is
	// low because the tokens of a batch are generated together.
	outputTokenWork = 0.7
	// relaxedFactor is the multiple of the shortest expectation of a service from which on
	// a call's own expectation makes the call relaxed.
	relaxedFactor = 4
	// relaxedWorkShare is the part of the work of relaxed calls that counts in the placement
	// of replicas, because relaxed calls can wait until a busy engine has time.
	relaxedWorkShare = 0.3
)

// Work returns the work of a call that counts in the placement of replicas, in prompt
// tokens.
//
// Relaxed calls count less, so that a burst of calls that have seconds of time does not
// displace the replicas for urgent calls.
func Work(c *Call, d Requirements) float64 {
	work := float64(c.PromptTokens) + outputTokenWork*float64(c.OutputTokens)
	if d.ShortestExpectation > 0 && c.Route.Expectation >= relaxedFactor*d.ShortestExpectation {
		work *= relaxedWorkShare
	}
	return work
}
