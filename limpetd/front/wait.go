package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/life"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// waiter is a call that waits for a server.
type waiter struct {
	sched.Waiter
	call *call
	// result receives the choice that ends the wait. Its capacity is 1, so that dispatch
	// never blocks.
	result chan sched.Choice
	// asksAgain is whether the call requests a reservation again at the end of the wait
	// instead of receiving a choice of this daemon. notLoaded is whether no engine holds
	// the model of the call; dispatch ends the wait when an engine does.
	asksAgain, notLoaded bool
}

// dispatch assigns servers to waiters in the order of sched.SortWaiters. The caller must
// hold mu.
func (f *Front) dispatch(now time.Time) {
	if len(f.waiters) == 0 {
		return
	}
	order := make([]*sched.Waiter, len(f.waiters))
	waiterOf := make(map[*sched.Waiter]*waiter, len(f.waiters))
	for i, w := range f.waiters {
		order[i] = &w.Waiter
		waiterOf[&w.Waiter] = w
	}
	sched.SortWaiters(order, now)
	f.waiters = f.waiters[:0]
	// If a call finds no room, the later calls of the same model find none either.
	type group struct{ service, model, adapter string }
	noRoom := map[group]bool{}
	for _, o := range order {
		w := waiterOf[o]
		if choice, ok := f.checkPrompt(w.call, now); !ok {
			w.result <- choice
			continue
		}
		if w.asksAgain {
			if w.notLoaded && f.balancer.Loaded(&w.call.schedCall, now) {
				w.result <- sched.Choice{Verdict: sched.ChooseAgain}
			} else {
				f.waiters = append(f.waiters, w)
			}
			continue
		}
		g := group{w.call.schedCall.Service, w.call.schedCall.Model, w.call.schedCall.Adapter}
		if !noRoom[g] {
			choice := f.assignServer(w.call, now)
			if endsWait(choice.Verdict) {
				w.result <- choice
				continue
			}
			noRoom[g] = true
		}
		f.waiters = append(f.waiters, w)
	}
}

// endsWait reports whether a waiting call receives a choice with this verdict.
func endsWait(v sched.Verdict) bool {
	switch v {
	case sched.Chosen, sched.NoServer, sched.PromptBlocked, sched.KeyWithdrawn, sched.OverQuota, sched.QuotaUnknown, sched.ChooseAgain:
		return true
	}
	return false
}

// countAhead counts the waiters of the same service and model with an equal or more urgent
// priority, whatever their adapter. The caller must hold mu.
func (f *Front) countAhead(c *call) int {
	n := 0
	for _, w := range f.waiters {
		o := &w.call.schedCall
		if o.Service == c.schedCall.Service && o.Model == c.schedCall.Model && o.Priority() <= c.schedCall.Priority() {
			n++
		}
	}
	return n
}

// assignServer chooses a server for a call and assigns it. The caller must hold mu.
func (f *Front) assignServer(c *call, now time.Time) sched.Choice {
	return f.assign(c, f.balancer.Choose(&c.schedCall, now), now)
}

// assign records that a call is sent to the chosen server. All calls to servers pass it. The verdict
// becomes KeyWithdrawn if the key of the call is no longer valid, PromptBlocked if the prompt may end
// the engine, ChooseAgain if the call must be charged to a quota first, and RetryBudgetSpent if the retry
// budget is spent. The caller must hold mu.
func (f *Front) assign(c *call, choice sched.Choice, now time.Time) sched.Choice {
	if choice.Verdict != sched.Chosen {
		return choice
	}
	if !c.keepKey() {
		choice.Verdict = sched.KeyWithdrawn
		return choice
	}
	if refused, ok := f.checkPrompt(c, now); !ok {
		return refused
	}
	if !c.isCharged(now) {
		choice.Verdict = sched.ChooseAgain
		return choice
	}
	if c.connected > 0 && !f.takeRetry(c, now) {
		choice.Verdict = sched.RetryBudgetSpent
		return choice
	}
	f.startTrial(c, now)
	f.balancer.RecordSend(choice.Server.ID, &c.schedCall, now)
	f.countCrossing(c, choice, now)
	return choice
}

// choose returns a server for the call and waits for one if necessary. It returns false if
// it ended the call.
func (c *call) choose(ctx context.Context) (sched.Choice, bool) {
	for {
		choice, ok := c.chooseOnce(ctx)
		if ok || choice.Verdict != sched.ChooseAgain {
			return choice, ok
		}
	}
}

// chooseOnce chooses a server and waits at most once. With the verdict AskAgain the caller
// must call it again.
func (c *call) chooseOnce(ctx context.Context) (sched.Choice, bool) {
	f := c.front
	if c.refuseBlocked(time.Now()) {
		return sched.Choice{Verdict: sched.PromptBlocked}, false
	}
	choice, reservation := c.findServer(ctx)
	if choice.Verdict != sched.Chosen {
		c.returnCharge()
	}
	now := time.Now()
	f.mu.Lock()
	// The lease holder has already let a call to a plain server wait for as long as it can be on time.
	refusedSlot := reservation != nil && c.runs == 0 && c.sharesSlots()
	worthWaiting := choice.Verdict == sched.Full && !refusedSlot && (c.waited || c.responseBegun || c.schedCall.TakesUp || f.balancer.WorthWaiting(&c.schedCall, f.countAhead(c), now))
	f.mu.Unlock()
	if reservation != nil {
		worthWaiting = worthWaiting || choice.Verdict == sched.Full && sched.HasCapacityInTime(*reservation, &c.schedCall, now)
		worthWaiting = worthWaiting && sched.WaitsForReservation(&c.schedCall, f.activeConfig.Load().requirements[c.schedCall.Service])
	}
	var until time.Time
	switch choice.Verdict {
	case sched.Chosen:
		return c.recordChoice(choice, now), true
	case sched.ChooseAgain:
		// A new configuration has given the organisation a quota since the call was found to need no charge.
		return choice, false
	case sched.Full:
		if worthWaiting {
			until = sched.WaitUntil(&c.schedCall)
		}
	case sched.NotLoaded:
		if c.schedCall.PinsSoftware && !f.runsEverywhere(c) {
			// The model may be loaded at an engine of another version.
			break
		}
		f.deps.Loader.RequestLoad(c.schedCall.Service, c.schedCall.Model, c.schedCall.Adapter)
		f.mu.Lock()
		choice.RetryAfter = f.balancer.LoadTime(&c.schedCall, f.Config().Services[c.schedCall.Service])
		f.mu.Unlock()
		if sched.ShouldHold(&c.schedCall, choice.RetryAfter, now) {
			until = sched.HoldUntil(&c.schedCall)
		}
	}
	if until.After(now) {
		c.waited = true
		return c.wait(ctx, choice, reservation, until)
	}
	c.endUnplaced(choice)
	return choice, false
}

// findServer returns the server that the Reserver reserved for the call. If the Reserver
// does not answer or its reservation can't be used, this daemon chooses a server, and the
// reservation is nil.
func (c *call) findServer(ctx context.Context) (sched.Choice, *sched.Reservation) {
	f := c.front
	now := time.Now()
	answered := true
	if r := f.deps.Reserver; r != nil && c.needsReservation() && c.mayRetry(now) {
		f.mu.Lock()
		ask := f.balancer.NewReservationRequest(&c.schedCall, f.activeConfig.Load().requirements[c.schedCall.Service], now)
		c.addCharge(&ask, now)
		f.mu.Unlock()
		reservation, err := r.Reserve(ctx, ask)
		if answered = err == nil; answered {
			c.outcome.asks++
			if !c.recordCharge(&ask, &reservation) {
				return sched.Choice{Verdict: sched.QuotaUnknown, RetryAfter: quotaRetryAfter}, nil
			}
			if choice, ok := c.useReservation(ctx, reservation); ok {
				c.outcome.granted = choice.Verdict == sched.Chosen
				return choice, &reservation
			}
		}
		now = time.Now()
	}
	c.outcome.granted = false
	if refused, ok := c.chargeOwnChoice(ctx, answered); !ok {
		return refused, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.assignServer(c, now), nil
}

// needsReservation reports whether the lease holder must choose the server: an engine, a server of a
// service in which a server has a limit for all daemons together, or a plain server whose slots all daemons share.
func (c *call) needsReservation() bool {
	if c.schedCall.Model != "" {
		return true
	}
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.HasLimits(c.schedCall.Service) || f.balancer.SharesSlots(c.schedCall.Service)
}

// mayRetry reports whether the call has reached no server yet, or the retry budget allows
// another attempt.
func (c *call) mayRetry(now time.Time) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.connected == 0 || f.balancer.CanRetry(c.schedCall.Service, now)
}

// useReservation waits until the reserved time and returns the choice for the reservation.
// It returns false if this daemon can't use the reservation, or if the Reserver found no
// engine that holds the model but this daemon has one, which may want no calls from it for a time.
func (c *call) useReservation(ctx context.Context, g sched.Reservation) (sched.Choice, bool) {
	f := c.front
	if g.Verdict == sched.Chosen && !g.Exclusive && c.needsSlot() {
		// A lease holder of an older build, or one that does not know the slots yet, reserves none.
		return sched.Choice{Verdict: sched.NoServer}, false
	}
	if g.Verdict == sched.Chosen && g.Delay > 0 {
		life.Sleep(ctx, g.Delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	choice := f.balancer.ChoiceFor(g, &c.schedCall, now)
	switch choice.Verdict {
	case sched.NoServer:
		return choice, false
	case sched.NotLoaded:
		return choice, !f.balancer.Loaded(&c.schedCall, now) && !f.balancer.WaitsForBackoff(&c.schedCall, now)
	case sched.Full:
		choice = c.choiceWhenFull(g, now)
	case sched.OverQuota:
		choice.RetryAfter = g.Delay
	}
	return f.assign(c, choice, now), true
}

// recordChoice records when a server was chosen for the call.
func (c *call) recordChoice(choice sched.Choice, now time.Time) sched.Choice {
	if c.outcome.attempts > 0 {
		c.front.metrics.retried.Inc(1)
	}
	c.outcome.waited = now.Sub(c.schedCall.Arrived)
	c.front.metrics.wait.RecordDuration(c.outcome.waited)
	return choice
}

// endUnplaced ends a call for which no server was found.
func (c *call) endUnplaced(choice sched.Choice) {
	switch choice.Verdict {
	case sched.NotLoaded, sched.NoServer:
		if c.schedCall.PinsSoftware {
			c.endWithoutVersion(choice)
			return
		}
	}
	switch choice.Verdict {
	case sched.RetryBudgetSpent:
		c.giveUp(code.RetryBudget, choice, "retry budget spent after: "+c.outcome.reason)
	case sched.PromptBlocked:
		c.endBlocked(choice)
	case sched.KeyWithdrawn:
		c.endWithoutKey()
	case sched.OverQuota:
		c.endOverQuota(choice)
	case sched.QuotaUnknown:
		c.endWithoutQuota(choice)
	case sched.NotLoaded:
		c.giveUp(code.NoEngine, choice, "no engine holds the model")
	case sched.Full:
		c.giveUp(code.ShedDeadline, choice, c.fullReason())
	case sched.NoServer, sched.Chosen, sched.ChooseAgain:
		c.giveUp(code.NoBackend, choice, "no server of the service can be used")
	}
}

// wait queues the call until a server is assigned or, with a reservation, until the call must
// request a reservation again, but no longer than until. It returns false if the call ended
// or the verdict is AskAgain.
func (c *call) wait(ctx context.Context, choice sched.Choice, reservation *sched.Reservation, until time.Time) (sched.Choice, bool) {
	f := c.front
	w := &waiter{Waiter: sched.Waiter{Call: &c.schedCall, Until: until}, call: c, result: make(chan sched.Choice, 1)}
	wakeAt := until
	if reservation != nil {
		w.asksAgain, w.notLoaded = true, reservation.Verdict == sched.NotLoaded
		if askAt := time.Now().Add(reservation.Delay); !w.notLoaded && askAt.Before(until) {
			wakeAt = askAt
		}
	}
	f.mu.Lock()
	if !c.keepKey() {
		f.mu.Unlock()
		c.endWithoutKey()
		return choice, false
	}
	f.waiters = append(f.waiters, w)
	f.mu.Unlock()
	timer := time.NewTimer(time.Until(wakeAt))
	defer timer.Stop()
	select {
	case result := <-w.result:
		return c.receiveChoice(result)
	case <-timer.C:
	case <-f.leaveCtx.Done():
	case <-ctx.Done():
	}
	f.mu.Lock()
	f.waiters = slices.DeleteFunc(f.waiters, func(o *waiter) bool { return o == w })
	f.mu.Unlock()
	select {
	case result := <-w.result:
		// A server was assigned after another case of the select was ready.
		return c.receiveChoice(result)
	default:
	}
	switch {
	case errors.Is(c.request.Context().Err(), context.Canceled):
		c.abort(code.CallerGone, "the caller disconnected while the call waited")
	case f.leaveCtx.Err() != nil:
		c.giveUp(code.Stopping, sched.Choice{RetryAfter: minRetryAfter}, "leaving")
	case ctx.Err() != nil:
		c.expire("no server was found")
	case time.Now().Before(until):
		choice.Verdict = sched.ChooseAgain
	default:
		c.endUnplaced(choice)
	}
	return choice, false
}

// receiveChoice handles the choice that ended the wait of the call.
func (c *call) receiveChoice(result sched.Choice) (sched.Choice, bool) {
	switch result.Verdict {
	case sched.Chosen:
		return c.recordChoice(result, time.Now()), true
	case sched.ChooseAgain:
		return result, false
	}
	c.endUnplaced(result)
	return result, false
}
