package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// errStalled is the cause of the cancellation of a stream on which no frame arrives
// within its stall timeout.
var errStalled = errors.New("no frame arrived in time")

// attempt is the dispatch of a generation to one engine.
type attempt struct {
	*generation
	ticket admit.Ticket
	choice route.Choice
	// dispatched indicates whether the engine may have received the attempt.
	dispatched bool
}

// openFunc opens a stream of frames.
type openFunc func(ctx context.Context) (engine.Frames, error)

// dispatch sends q to the engine and relays the frames of the answer. A broken or
// stalled stream is resumed as often as nextStep allows.
func (a *attempt) dispatch(ctx context.Context, q engine.Request) (string, failureKind, error) {
	engines := a.relay.deps.Generator
	open := func(ctx context.Context) (engine.Frames, error) {
		return engines.Generate(ctx, a.choice.Address, q)
	}
	timeouts := a.timeouts
	for resumes := 0; ; resumes++ {
		reason, kind, err := a.stream(ctx, open, timeouts)
		if err == nil {
			return reason, kind, nil
		}
		if nextStep(recoveryState{failure: kind, resumes: resumes, attempts: maxAttempts}) != stepResume {
			return "", kind, err
		}
		a.relay.counts.streamsResumed.Inc(1)
		timeouts = a.timeouts.resumed()
		open = func(ctx context.Context) (engine.Frames, error) {
			return engines.Resume(ctx, a.choice.Address, q.Attempt, a.progress.offset)
		}
	}
}

// stream opens a stream and relays its frames. It returns the reason for the end of a
// complete answer. A stream that exceeds its stall timeout is cancelled and fails with
// failedStall and code StreamBroken. An end of the caller's context means that the
// caller has gone or its deadline has passed.
func (a *attempt) stream(caller context.Context, open openFunc, t stallTimeouts) (string, failureKind, error) {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	stall := time.AfterFunc(t.firstFrame, func() { cancel(errStalled) })
	defer stall.Stop()
	reason, kind, err := a.readFrames(ctx, open, stall)
	switch {
	case err == nil:
		return reason, kind, nil
	case caller.Err() != nil:
		return "", failedCaller, caller.Err()
	case errors.Is(context.Cause(ctx), errStalled):
		a.relay.counts.streamsStalled.Inc(1)
		a.dispatched = true
		a.sent = true
		return "", failedStall, code.Errorf(code.StreamBroken, "engine %s: %w", a.choice.VM, errStalled)
	}
	return "", kind, err
}

// readFrames opens a stream and relays its frames up to the last frame or an error.
func (a *attempt) readFrames(ctx context.Context, open openFunc, stall *time.Timer) (string, failureKind, error) {
	frames, err := open(ctx)
	if err != nil {
		return "", a.recordOpenFailure(err), err
	}
	a.dispatched = true
	a.sent = true
	defer func() { _ = frames.Close() }()
	for {
		f, err := frames.Next()
		if err != nil {
			return "", failedStream, streamError(err)
		}
		class := a.progress.classify(f)
		if a.countDropped(class) {
			continue
		}
		if class == frameGap {
			a.relay.counts.frameGaps.Inc(1)
			return "", failedStream, code.Errorf(code.StreamBroken, "frames before token %d are missing", f.Offset)
		}
		if class == frameFailed {
			return "", failedEngine, code.Errorf(code.EngineError, "engine %s: %s", a.choice.VM, frameErrorText(f))
		}
		if err := a.deliver(ctx, f, stall); err != nil {
			return "", failedCaller, err
		}
		if class == frameLast {
			return f.Reason, 0, nil
		}
	}
}

// frameErrorText returns the error text for a frame that ends its attempt.
func frameErrorText(f engine.Frame) string {
	if f.Error != "" {
		return f.Error
	}
	return "invalid frame"
}

// countDropped reports whether frames of a class are dropped, and counts a dropped
// frame.
func (a *attempt) countDropped(class frameClass) bool {
	switch class {
	case frameOtherAttempt:
		a.relay.counts.framesCrossed.Inc(1)
		return true
	case frameDuplicate:
		a.relay.counts.framesDoubled.Inc(1)
		return true
	}
	return false
}

// recordOpenFailure classifies the error of a stream that could not be opened and
// records whether the engine may have received the attempt.
func (a *attempt) recordOpenFailure(err error) failureKind {
	switch code.Of(err) {
	case code.BackendFailed:
		return failedBeforeSend
	case code.BackendLost:
		a.dispatched = true
		a.sent = true
		return failedStream
	}
	a.dispatched = true
	a.sent = true
	return failedEngine
}

// streamError returns the error of a stream that ended before its last frame.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return code.Errorf(code.AnswerCut, "the stream ended before its last frame")
	}
	return code.Errorf(code.StreamBroken, "the stream broke: %w", err)
}

// deliver appends the text of a frame to the output buffer. The stall timer is
// stopped meanwhile, so that the wait for a slow caller does not count as a stall of
// the engine.
func (a *attempt) deliver(ctx context.Context, f engine.Frame, stall *time.Timer) error {
	stall.Stop()
	if !a.answered {
		a.answered = true
		a.ticket.FirstToken()
	}
	if f.Text != "" {
		if err := a.out.put(ctx, f.Text, f.Tokens); err != nil {
			return err
		}
		a.generated.WriteString(f.Text)
	}
	a.progress.offset += f.Tokens
	stall.Reset(a.timeouts.nextFrame)
	return nil
}

// cancel sends the engine a request to cancel an abandoned attempt.
func (a *attempt) cancel() {
	a.relay.counts.attemptsCancelled.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := a.relay.deps.Generator.Cancel(ctx, a.choice.Address, a.progress.attempt)
	if err != nil {
		a.relay.deps.Log.Info("cancel_failed",
			zap.String("request_id", a.call.Admission.ID),
			zap.String("vm", a.choice.VM),
			zap.Error(err))
	}
}
