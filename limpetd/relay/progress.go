package relay

import (
	"github.com/limpetlb/limpetlb/limpetd/engine"
)

// frameClass states how a received frame is handled.
type frameClass int

const (
	// frameAccepted: the frame continues the answer.
	frameAccepted frameClass = iota
	// frameLast: the frame ends the answer, which is complete.
	frameLast
	// frameOtherAttempt: the frame belongs to another attempt and is dropped.
	frameOtherAttempt
	// frameDuplicate: the tokens of the frame were accepted before; the frame is
	// dropped.
	frameDuplicate
	// frameGap: tokens before the frame are missing, or only a part of the frame is
	// new; the stream is broken.
	frameGap
	// frameFailed: the frame reports an error of the engine or is invalid; the
	// attempt has failed.
	frameFailed
)

// progress is the position in an answer up to which tokens were accepted.
type progress struct {
	// attempt is the id of the current attempt.
	attempt string
	// offset is the number of accepted tokens, maxTokens the number requested.
	offset    int
	maxTokens int
}

// maxTokenBytes is the maximum length of the text of one token in bytes.
const maxTokenBytes = 1024

// classify returns how frame f is to be handled at the current position.
func (p progress) classify(f engine.Frame) frameClass {
	switch {
	case f.Attempt != p.attempt:
		return frameOtherAttempt
	case f.Error != "":
		return frameFailed
	case f.Offset < 0 || f.Tokens < 0 || f.Tokens > p.maxTokens || len(f.Text) > f.Tokens*maxTokenBytes:
		return frameFailed
	case f.Offset > p.offset:
		return frameGap
	case f.Offset < p.offset && f.Offset+f.Tokens <= p.offset:
		return frameDuplicate
	case f.Offset < p.offset:
		// Only a part of the frame is new, and the position in the text where the
		// part begins is unknown.
		return frameGap
	case f.Offset+f.Tokens > p.maxTokens:
		return frameFailed
	case f.Done:
		return frameLast
	}
	return frameAccepted
}

// Limits of the recovery of one answer.
const (
	// maxResumes is the maximum number of resumes of one attempt.
	maxResumes = 2
	// maxAttempts is the maximum number of attempts for one answer.
	maxAttempts = 3
)

// failureKind classifies the end of a stream before its last frame.
type failureKind int

const (
	// failedBeforeSend: the engine was not reached or refused the attempt; the engine
	// does not have the attempt.
	failedBeforeSend failureKind = iota
	// failedStream: the connection broke or lost frames; the engine may still
	// have the attempt.
	failedStream
	// failedStall: no frame arrived within the stall timeout. The connection may be
	// dead while the engine still generates, so the stream is resumed once.
	failedStall
	// failedEngine: the engine itself ended the attempt.
	failedEngine
	// failedCaller: the caller has gone or its deadline has passed.
	failedCaller
)

// step is the action after a failure: to resume the stream on the same engine, to
// continue the answer on another engine, or to give up.
type step int

const (
	stepResume step = iota
	stepContinue
	stepGiveUp
)

// recoveryState holds what nextStep depends on.
type recoveryState struct {
	failure failureKind
	// resumes counts the resumes of this attempt, attempts the attempts so far.
	resumes  int
	attempts int
}

// nextStep returns the step after a failure.
func nextStep(s recoveryState) step {
	switch {
	case s.failure == failedCaller:
		return stepGiveUp
	case s.failure == failedStream && s.resumes < maxResumes:
		return stepResume
	case s.failure == failedStall && s.resumes == 0:
		return stepResume
	case s.attempts < maxAttempts:
		return stepContinue
	}
	return stepGiveUp
}
