package relay

import (
	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// verdict is what becomes of a frame.
type verdict int

const (
	// frameTaken: the frame continues the answer.
	frameTaken verdict = iota
	// frameLast: the frame ends the answer, which is whole.
	frameLast
	// frameCrossed: the frame belongs to another attempt and is dropped.
	frameCrossed
	// frameDoubled: the tokens of the frame were taken before; it is dropped.
	frameDoubled
	// frameGap: tokens before the frame are missing; the stream is broken.
	frameGap
	// frameFault: the engine says that it failed, or the frame contradicts
	// itself; the attempt is over.
	frameFault
)

// progress is how far an answer has come.
type progress struct {
	// attempt is the id of the attempt in progress.
	attempt string
	// offset is the number of tokens taken, limit what was asked for.
	offset int
	limit  int
}

// maxTokenBytes is the longest text of one token.
const maxTokenBytes = 1024

// judge decides on a frame without changing anything.
func (g progress) judge(f engine.Frame) verdict {
	switch {
	case f.Attempt != g.attempt:
		return frameCrossed
	case f.Error != "":
		return frameFault
	case f.Offset < 0 || f.Tokens < 0 || f.Tokens > g.limit || len(f.Text) > f.Tokens*maxTokenBytes:
		return frameFault
	case f.Offset > g.offset:
		return frameGap
	case f.Offset < g.offset && f.Offset+f.Tokens <= g.offset:
		return frameDoubled
	case f.Offset < g.offset:
		// Part of the frame is new; where it begins in the text is not known.
		return frameGap
	case f.Offset+f.Tokens > g.limit:
		return frameFault
	case f.Done:
		return frameLast
	}
	return frameTaken
}

// Bounds of the recovery of one answer.
const (
	// maxResumes is the number of resumes of one attempt.
	maxResumes = 2
	// maxAttempts is the number of engines tried for one answer.
	maxAttempts = 3
)

// failure is how a stream ended without its last frame.
type failure int

const (
	// failedBeforeSend: the engine was not reached or refused; it does not have
	// the attempt.
	failedBeforeSend failure = iota
	// failedStream: the connection broke or lost frames; the engine may still
	// have the attempt.
	failedStream
	// failedStall: the connection brings no frames. It may be dead while the
	// engine goes on, so the stream is resumed once.
	failedStall
	// failedEngine: the engine itself ended the attempt.
	failedEngine
	// failedCaller: the caller has gone or its time is over.
	failedCaller
)

// step is what is done after a failure.
type step int

const (
	stepResume step = iota
	stepContinue
	stepGiveUp
)

// facts are what the decision after a failure rests on.
type facts struct {
	failure failure
	// resumes counts resumes of this attempt, attempts the engines tried.
	resumes  int
	attempts int
}

// decide returns the step after a failure.
func decide(f facts) step {
	switch {
	case f.failure == failedCaller:
		return stepGiveUp
	case f.failure == failedStream && f.resumes < maxResumes:
		return stepResume
	case f.failure == failedStall && f.resumes == 0:
		return stepResume
	case f.attempts < maxAttempts:
		return stepContinue
	}
	return stepGiveUp
}
