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

// errStalled ends a stream that brings no frame for too long.
var errStalled = errors.New("no frame came in time")

// attempt is the dispatch to one engine.
type attempt struct {
	*generation
	ticket admit.Ticket
	choice route.Choice
	// dispatched tells that the engine may have the attempt.
	dispatched bool
}

// opener opens a stream of frames.
type opener func(ctx context.Context) (engine.Frames, error)

// run dispatches q and resumes its stream as long as that may help.
func (a *attempt) run(ctx context.Context, q engine.Request) (string, failure, error) {
	engines := a.relay.deps.Generator
	open := func(ctx context.Context) (engine.Frames, error) {
		return engines.Generate(ctx, a.choice.Address, q)
	}
	patience := a.patience
	for resumes := 0; ; resumes++ {
		reason, how, err := a.stream(ctx, open, patience)
		if err == nil {
			return reason, how, nil
		}
		if decide(facts{failure: how, resumes: resumes, attempts: maxAttempts}) != stepResume {
			return "", how, err
		}
		a.relay.counts.resumed.Inc(1)
		patience = a.patience.resumed()
		open = func(ctx context.Context) (engine.Frames, error) {
			return engines.Resume(ctx, a.choice.Address, q.Attempt, a.progress.offset)
		}
	}
}

// stream opens a connection and takes its frames. A stream that stalls is
// broken; a context that ended otherwise means that the caller has gone.
func (a *attempt) stream(caller context.Context, open opener, p patience) (string, failure, error) {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	stall := time.AfterFunc(p.first, func() { cancel(errStalled) })
	defer stall.Stop()
	reason, how, err := a.frames(ctx, open, stall)
	switch {
	case err == nil:
		return reason, how, nil
	case caller.Err() != nil:
		return "", failedCaller, caller.Err()
	case errors.Is(context.Cause(ctx), errStalled):
		a.relay.counts.stalled.Inc(1)
		a.dispatched = true
		a.sent = true
		return "", failedStall, code.Errorf(code.StreamBroken, "engine %s: %w", a.choice.VM, errStalled)
	}
	return "", how, err
}

// frames takes the frames of one connection.
func (a *attempt) frames(ctx context.Context, open opener, stall *time.Timer) (string, failure, error) {
	frames, err := open(ctx)
	if err != nil {
		return "", a.openFailure(err), err
	}
	a.dispatched = true
	a.sent = true
	defer func() { _ = frames.Close() }()
	for {
		f, err := frames.Next()
		if err != nil {
			return "", failedStream, brokenStream(err)
		}
		v := a.progress.judge(f)
		if a.dropped(v) {
			continue
		}
		if v == frameGap {
			a.relay.counts.gaps.Inc(1)
			return "", failedStream, code.Errorf(code.StreamBroken, "frames before token %d are missing", f.Offset)
		}
		if v == frameFault {
			return "", failedEngine, code.Errorf(code.EngineError, "engine %s: %s", a.choice.VM, faultOf(f))
		}
		if err := a.take(ctx, f, stall); err != nil {
			return "", failedCaller, err
		}
		if v == frameLast {
			return f.Reason, 0, nil
		}
	}
}

// faultOf describes a frame that ends its attempt.
func faultOf(f engine.Frame) string {
	if f.Error != "" {
		return f.Error
	}
	return "a frame contradicts itself"
}

// dropped counts a frame that is dropped.
func (a *attempt) dropped(v verdict) bool {
	switch v {
	case frameCrossed:
		a.relay.counts.crossed.Inc(1)
		return true
	case frameDoubled:
		a.relay.counts.doubled.Inc(1)
		return true
	}
	return false
}

// openFailure classifies a stream that could not be opened.
func (a *attempt) openFailure(err error) failure {
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

func brokenStream(err error) error {
	if errors.Is(err, io.EOF) {
		return code.Errorf(code.AnswerCut, "the stream ended before its last frame")
	}
	return code.Errorf(code.StreamBroken, "the stream broke: %w", err)
}

// take hands the text of a frame on. The wait for a slow caller does not count
// as a stall of the engine.
func (a *attempt) take(ctx context.Context, f engine.Frame, stall *time.Timer) error {
	stall.Stop()
	if !a.answered {
		a.answered = true
		a.ticket.FirstToken()
	}
	if f.Text != "" {
		if err := a.out.put(ctx, f.Text, f.Tokens); err != nil {
			return err
		}
		a.taken.WriteString(f.Text)
	}
	a.progress.offset += f.Tokens
	stall.Reset(a.patience.between)
	return nil
}

// cancel frees the engine of an attempt that is given up.
func (a *attempt) cancel() {
	a.relay.counts.cancelled.Inc(1)
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
