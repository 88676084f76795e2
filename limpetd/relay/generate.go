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

// generation is one answer in the making.
type generation struct {
	relay *Relay
	call  Call
	out   *pending
	// taken is the text of all tokens taken, for continuing elsewhere.
	taken    strings.Builder
	progress progress
	patience patience
	arrived  time.Time
	attempts int
	// sent tells that a byte may have reached an engine, answered that an
	// engine has sent a frame.
	sent     bool
	answered bool
	// unreached tells that no connection was made for the last attempt.
	unreached bool
	// cause is the last failure.
	cause error
}

// generate fills out with the answer and returns how it ended.
func (r *Relay) generate(ctx context.Context, c Call, out *pending) (string, error) {
	now := time.Now()
	g := &generation{
		relay:    r,
		call:     c,
		out:      out,
		progress: progress{limit: c.MaxTokens},
		patience: patienceOf(c, now),
		arrived:  now,
	}
	for {
		ticket, err := r.deps.Admitter.Admit(ctx, g.admission())
		if err != nil {
			return "", g.refused(ctx, err)
		}
		reason, s, err := g.attempt(ctx, ticket)
		if err == nil {
			return reason, nil
		}
		g.cause = err
		if s == stepGiveUp {
			return "", g.ended(ctx, err)
		}
		r.counts.continued.Inc(1)
		g.event(event.RequestRetried, ticket.Choice().VM, err)
	}
}

// admission describes the next attempt. A further one has the time to its first
// token that the call had when it arrived, since a caller that waits for the
// rest of its answer is not to be shed.
func (g *generation) admission() admit.Request {
	a := g.call.Admission
	a.Attempt = g.attempts
	a.Unreached = g.unreached
	a.Route.PromptTokens += g.progress.offset
	if g.attempts > 0 && !a.Route.Expected.IsZero() {
		a.Route.Expected = a.Route.Expected.Add(time.Since(g.arrived))
	}
	return a
}

// attempt dispatches to one engine until the answer is whole or this engine is
// given up.
func (g *generation) attempt(ctx context.Context, t admit.Ticket) (string, step, error) {
	choice := t.Choice()
	outcome := admit.OutcomeFailed
	defer func() { t.Release(outcome) }()
	if pinned := g.call.Admission.Route; pinned.Pinned && choice.Slot.Version != pinned.Version {
		err := code.Errorf(code.StreamBroken, "engine %s holds version %s, the answer began with %s",
			choice.VM, choice.Slot.Version, pinned.Version)
		return "", stepGiveUp, err
	}
	q := g.request(choice)
	g.progress.attempt = q.Attempt
	g.attempts++
	g.event(event.RequestSent, choice.VM, nil)
	a := &attempt{generation: g, ticket: t, choice: choice}
	reason, how, err := a.run(ctx, q)
	if err == nil {
		outcome = admit.OutcomeAnswered
		return reason, stepGiveUp, nil
	}
	if a.dispatched {
		a.cancel()
	}
	if how == failedCaller {
		outcome = admit.OutcomeGone
	}
	g.unreached = engine.Unreached(err)
	g.leave(choice)
	return "", decide(facts{failure: how, resumes: maxResumes, attempts: g.attempts}), err
}

// request makes the message to the engine.
func (g *generation) request(c route.Choice) engine.Request {
	return engine.Request{
		Attempt:         g.call.Admission.ID + "-" + strconv.Itoa(g.attempts),
		Slot:            c.Slot,
		Prompt:          g.call.Prompt,
		Generated:       g.taken.String(),
		GeneratedTokens: g.progress.offset,
		MaxTokens:       g.call.MaxTokens,
		Temperature:     g.call.Temperature,
		Seed:            g.call.Seed,
		Rank:            g.call.Admission.Route.Rank,
	}
}

// leave keeps later attempts away from an engine that was reached, and on the
// version that the answer began with. One that was not may be the only engine; the
// admission prefers others to it.
func (g *generation) leave(c route.Choice) {
	q := &g.call.Admission.Route
	if !g.unreached {
		q.Exclude = append(slices.Clip(q.Exclude), c.VM)
	}
	if g.progress.offset > 0 {
		q.Pinned = true
		q.Version = c.Slot.Version
	}
}

// refused returns the error of a call whose next attempt was not admitted.
func (g *generation) refused(ctx context.Context, err error) error {
	if g.attempts == 0 && ctx.Err() == nil {
		return err
	}
	if g.progress.offset == 0 {
		return g.ended(ctx, err)
	}
	return g.ended(ctx, code.Errorf(code.StreamBroken, "no other engine continues the answer: %w", err))
}

// ended returns the error that the caller gets after a dispatch.
func (g *generation) ended(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		err = g.late()
	case ctx.Err() != nil:
		return code.WithRun(code.Errorf(code.CallerGone, "the caller has gone"), g.run())
	}
	g.relay.counts.broken.Inc(1)
	g.relay.deps.Log.Warn("answer_broken",
		zap.String("request_id", g.call.Admission.ID),
		zap.Int("attempts", g.attempts),
		zap.Int("tokens", g.progress.offset),
		zap.Int("code", int(code.Of(err))),
		zap.NamedError("cause", g.cause))
	return code.WithRun(err, g.run())
}

// late returns the error of an answer that took too long.
func (g *generation) late() error {
	if g.attempts == 0 {
		return code.Errorf(code.ShedDeadline, "no engine had room in time")
	}
	return code.Errorf(code.StreamBroken, "the answer was not whole in time")
}

// run states whether an engine may have run the call.
func (g *generation) run() code.Run {
	switch {
	case g.answered:
		return code.RunYes
	case g.sent:
		return code.RunUnknown
	}
	return code.RunNo
}

func (g *generation) event(k event.Kind, vm string, err error) {
	g.relay.deps.Events.Add(event.Event{
		Kind:    k,
		Request: g.call.Admission.ID,
		Model:   g.call.Admission.Route.Model,
		VM:      vm,
		Code:    int(code.Of(err)),
	})
}
