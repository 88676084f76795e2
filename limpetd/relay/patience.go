package relay

import (
	"time"
)

const (
	// leastPatience is the shortest wait for a first frame.
	leastPatience = 5 * time.Second
	// mostPatience is the longest wait for a first frame, without the time
	// for the prompt.
	mostPatience = time.Minute
	// patienceFactor multiplies the expected time to the first token.
	patienceFactor = 4
	// slowPromptRate is the lowest rate at which engines process prompts, in
	// tokens a second.
	slowPromptRate = 1000
	// betweenFrames is the longest wait for a further frame.
	betweenFrames = 15 * time.Second
	// deferredFactor multiplies both waits for deferred calls, which urgent
	// ones may hold up in an engine.
	deferredFactor = 8
	// resumedPatience is the longest wait for the first frame of a resumed
	// stream.
	resumedPatience = 5 * time.Second
)

// patience is how long a stream may bring no frame before it counts as stalled.
type patience struct {
	first   time.Duration
	between time.Duration
}

// patienceOf returns the patience with a call that arrives at time now.
func patienceOf(c Call, now time.Time) patience {
	q := c.Admission.Route
	first := patienceFactor * q.Expected.Sub(now)
	first = min(max(first, leastPatience), mostPatience)
	first += time.Duration(q.PromptTokens) * time.Second / slowPromptRate
	p := patience{first: first, between: betweenFrames}
	if !c.Admission.Deadline.IsZero() {
		p.first *= deferredFactor
		p.between *= deferredFactor
	}
	return p
}

// resumed returns the patience with a stream that is resumed.
func (p patience) resumed() patience {
	p.first = min(p.first, resumedPatience)
	return p
}
