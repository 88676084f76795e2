package relay

import (
	"time"
)

const (
	// minFirstFrameTimeout is the shortest timeout of the first frame.
	minFirstFrameTimeout = 5 * time.Second
	// maxFirstFrameTimeout is the longest timeout of the first frame, not counting
	// the time to process the prompt.
	maxFirstFrameTimeout = time.Minute
	// firstTokenFactor is the ratio of the timeout of the first frame to the
	// expected time to the first token.
	firstTokenFactor = 4
	// minPromptRate is the lowest rate at which engines process prompts, in tokens
	// per second.
	minPromptRate = 1000
	// nextFrameTimeout is the timeout of each frame after the first.
	nextFrameTimeout = 15 * time.Second
	// deferredFactor multiplies both timeouts of a deferred call, which urgent calls
	// may delay in an engine.
	deferredFactor = 8
	// resumedFirstFrameTimeout is the longest timeout of the first frame of a
	// resumed stream.
	resumedFirstFrameTimeout = 5 * time.Second
)

// stallTimeouts holds the times without a frame after which a stream counts as
// stalled: before the first frame and between frames.
type stallTimeouts struct {
	firstFrame time.Duration
	nextFrame  time.Duration
}

// newStallTimeouts returns the timeouts of the streams of a call that arrives at
// time now.
func newStallTimeouts(c Call, now time.Time) stallTimeouts {
	q := c.Admission.Route
	first := firstTokenFactor * q.ExpectedBy.Sub(now)
	first = min(max(first, minFirstFrameTimeout), maxFirstFrameTimeout)
	first += time.Duration(q.PromptTokens) * time.Second / minPromptRate
	t := stallTimeouts{firstFrame: first, nextFrame: nextFrameTimeout}
	if !c.Admission.Deadline.IsZero() {
		t.firstFrame *= deferredFactor
		t.nextFrame *= deferredFactor
	}
	return t
}

// resumed returns the timeouts of a resumed stream.
func (t stallTimeouts) resumed() stallTimeouts {
	t.firstFrame = min(t.firstFrame, resumedFirstFrameTimeout)
	return t
}
