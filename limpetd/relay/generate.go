package relay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/admit"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/route"
)

// generation is the state of one answer across all its attempts.
type generation struct {
	relay *Relay
	call  Call
	out   *outputBuffer
	// generated is the text of all accepted tokens. Another engine continues the
	// answer after this text.
	generated strings.Builder
	progress  progress
	timeouts  stallTimeouts
	arrivedAt time.Time
	attempts  int
	// sent indicates whether a byte of the call may have reached an engine, answered
	// whether a frame of an engine was accepted.
	sent     bool
	answered bool
	// unreached indicates whether the last attempt failed to connect to its engine.
	unreached bool
	// lastErr is the error of the last failed attempt.
	lastErr error
}

// generate writes the answer to out. It returns the reason for the end of the
// answer, or the error if the answer is not complete.
func (r *Relay) generate(ctx context.Context, c Call, out *outputBuffer) (string, error) {
	now := time.Now()
	g := &generation{
		relay:     r,
		call:      c,
		out:       out,
		progress:  progress{maxTokens: c.MaxTokens},
		timeouts:  newStallTimeouts(c, now),
		arrivedAt: now,
	}
	for {
		ticket, err := r.deps.Admitter.Admit(ctx, g.admission())
		if err != nil {
			return "", g.admissionFailed(ctx, err)
		}
		reason, s, err := g.runAttempt(ctx, ticket)
		if err == nil {
			return reason, nil
		}
		g.lastErr = err
		if s == stepGiveUp {
			return "", g.fail(ctx, err)
		}
		r.counts.streamsContinued.Inc(1)
		g.addEvent(event.RequestRetried, ticket.Choice().VM, err)
	}
}

// admission returns the admission request of the next attempt. A repeated attempt
// gets as much time to its first token as the call had on arrival, so that a call
// whose caller waits for the rest of the answer is not shed.
func (g *generation) admission() admit.Request {
	a := g.call.Admission
	a.Attempt = g.attempts
	a.PreviousUnreached = g.unreached
	a.Route.PromptTokens += g.progress.offset
	if g.attempts > 0 && !a.Route.ExpectedBy.IsZero() {
		a.Route.ExpectedBy = a.Route.ExpectedBy.Add(time.Since(g.arrivedAt))
	}
	return a
}

// runAttempt dispatches the generation to the engine of t until the answer is
// complete or the attempt has failed. It returns the reason for the end of a complete
// answer, or an error and the step to take next.
func (g *generation) runAttempt(ctx context.Context, t admit.Ticket) (string, step, error) {
	choice := t.Choice()
	outcome := admit.OutcomeFailed
	defer func() { t.Release(outcome) }()
	if pinned := g.call.Admission.Route; pinned.VersionPinned && choice.Slot.Version != pinned.Version {
		err := code.Errorf(code.StreamBroken, "engine %s holds version %s, but the answer began with version %s",
			choice.VM, choice.Slot.Version, pinned.Version)
		return "", stepGiveUp, err
	}
	q := g.request(choice)
	g.progress.attempt = q.Attempt
	g.attempts++
	g.addEvent(event.RequestSent, choice.VM, nil)
	a := &attempt{generation: g, ticket: t, choice: choice}
	reason, kind, err := a.dispatch(ctx, q)
	if err == nil {
		outcome = admit.OutcomeAnswered
		return reason, stepGiveUp, nil
	}
	if a.dispatched {
		a.cancel()
	}
	if kind == failedCaller {
		outcome = admit.OutcomeCallerGone
	}
	g.unreached = engine.IsUnreachable(err)
	g.prepareRetry(choice)
	return "", nextStep(recoveryState{failure: kind, resumes: maxResumes, attempts: g.attempts}), err
}

// request returns the request of the next attempt to the chosen engine.
func (g *generation) request(c route.Choice) engine.Request {
	return engine.Request{
		Attempt:         g.call.Admission.ID + "-" + strconv.Itoa(g.attempts),
		Slot:            c.Slot,
		Prompt:          g.call.Prompt,
		Generated:       g.generated.String(),
		GeneratedTokens: g.progress.offset,
		MaxTokens:       g.call.MaxTokens,
		Temperature:     g.call.Temperature,
		Seed:            g.call.Seed,
		Rank:            g.call.Admission.Route.Rank,
	}
}

// prepareRetry excludes the engine of a failed attempt from later attempts, unless
// no connection to the engine was made: such an engine may be the only one, and the
// admission prefers other engines to it. If tokens were accepted, prepareRetry also
// pins later attempts to the version of this engine.
func (g *generation) prepareRetry(c route.Choice) {
	q := &g.call.Admission.Route
	if !g.unreached {
		q.Exclude = append(slices.Clip(q.Exclude), c.VM)
	}
	if g.progress.offset > 0 {
		q.VersionPinned = true
		q.Version = c.Slot.Version
	}
}

// admissionFailed returns the error of a call whose next attempt was not admitted.
func (g *generation) admissionFailed(ctx context.Context, err error) error {
	if g.attempts == 0 && ctx.Err() == nil {
		return err
	}
	if g.progress.offset == 0 {
		return g.fail(ctx, err)
	}
	return g.fail(ctx, code.Errorf(code.StreamBroken, "no other engine can continue the answer: %w", err))
}

// fail counts and logs the failure of the answer and returns the error for the
// caller, which also states whether the call ran. If the caller has gone, fail neither
// counts nor logs.
func (g *generation) fail(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		err = g.timeoutError()
	case ctx.Err() != nil:
		return code.WithRun(code.Errorf(code.CallerGone, "the caller has gone"), g.runState())
	}
	g.relay.counts.streamsBroken.Inc(1)
	g.relay.deps.Log.Warn("answer_broken",
		zap.String("request_id", g.call.Admission.ID),
		zap.Int("attempts", g.attempts),
		zap.Int("tokens", g.progress.offset),
		zap.Int("code", int(code.Of(err))),
		zap.NamedError("cause", g.lastErr))
	return code.WithRun(err, g.runState())
}

// timeoutError returns the error of an answer that was not complete by the deadline
// of its context.
func (g *generation) timeoutError() error {
	if g.attempts == 0 {
		return code.Errorf(code.ShedDeadline, "no engine had room in time")
	}
	return code.Errorf(code.StreamBroken, "the answer was not complete in time")
}

// runState returns whether an engine ran, may have run or did not run the call.
func (g *generation) runState() code.RunState {
	switch {
	case g.answered:
		return code.RunYes
	case g.sent:
		return code.RunUnknown
	}
	return code.RunNo
}

// addEvent records an event of the request with the code of err.
func (g *generation) addEvent(k event.Kind, vm string, err error) {
	g.relay.deps.Events.Add(event.Event{
		Kind:    k,
		Request: g.call.Admission.ID,
		Model:   g.call.Admission.Route.Model,
		VM:      vm,
		Code:    int(code.Of(err)),
	})
}
