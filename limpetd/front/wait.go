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
	// got brings the choice; it has room for one.
	got chan sched.Choice
	// asks tells that the call asks the steerer again, and does not wait for a choice of
	// this daemon; lacking that no engine holds its model.
	asks, lacking bool
}

// dispatch gives servers to waiters in order. The lock is held.
func (f *Front) dispatch(now time.Time) {
	if len(f.waiters) == 0 {
		return
	}
	order := make([]*sched.Waiter, len(f.waiters))
	by := make(map[*sched.Waiter]*waiter, len(f.waiters))
	for i, w := range f.waiters {
		order[i] = &w.Waiter
		by[&w.Waiter] = w
	}
	sched.Order(order, now)
	f.waiters = f.waiters[:0]
	// A call without room leaves none for the next ones of its model.
	type group struct{ service, model, adapter string }
	full := map[group]bool{}
	for _, o := range order {
		w := by[o]
		if w.asks {
			if w.lacking && f.book.Loaded(&w.call.need, now) {
				w.got <- sched.Choice{Verdict: sched.AskAgain}
			} else {
				f.waiters = append(f.waiters, w)
			}
			continue
		}
		g := group{w.call.need.Service, w.call.need.Model, w.call.need.Adapter}
		if !full[g] {
			choice := f.take(w.call, now)
			if choice.Verdict == sched.Chosen || choice.Verdict == sched.NoServer {
				w.got <- choice
				continue
			}
			full[g] = true
		}
		f.waiters = append(f.waiters, w)
	}
}

// ahead counts the calls that wait for the model of a call and go first. The lock is held.
func (f *Front) ahead(c *call) int {
	n := 0
	for _, w := range f.waiters {
		o := &w.call.need
		if o.Service == c.need.Service && o.Model == c.need.Model && o.Route.Priority <= c.need.Route.Priority {
			n++
		}
	}
	return n
}

// take chooses a server for a call and notes it. The lock is held.
func (f *Front) take(c *call, now time.Time) sched.Choice {
	return f.claim(c, f.book.Choose(&c.need, now), now)
}

// claim notes a call at the server that was chosen, unless it may not be repeated. The lock
// is held.
func (f *Front) claim(c *call, choice sched.Choice, now time.Time) sched.Choice {
	if choice.Verdict != sched.Chosen {
		return choice
	}
	if c.reached > 0 && !f.book.Repeat(c.need.Service, now) {
		choice.Verdict = sched.NoRepeat
		return choice
	}
	f.book.Sent(choice.Server.ID, &c.need, now)
	return choice
}

// choose waits until a server is found for the call; false if the call was ended.
func (c *call) choose(ctx context.Context) (sched.Choice, bool) {
	for {
		choice, ok := c.chooseOnce(ctx)
		if ok || choice.Verdict != sched.AskAgain {
			return choice, ok
		}
	}
}

// chooseOnce looks for a server and waits for one; the verdict is AskAgain if it is to
// look once more.
func (c *call) chooseOnce(ctx context.Context) (sched.Choice, bool) {
	f := c.front
	choice, grant := c.place(ctx)
	now := time.Now()
	f.mu.Lock()
	worth := choice.Verdict == sched.Full && (c.waited || c.begun || f.book.Worth(&c.need, f.ahead(c), now))
	f.mu.Unlock()
	if grant != nil {
		worth = worth && sched.Patient(&c.need, f.state.Load().demands[c.need.Service])
	}
	var until time.Time
	switch choice.Verdict {
	case sched.Chosen:
		return c.chosen(choice, now), true
	case sched.Full:
		if worth {
			until = sched.WaitUntil(&c.need)
		}
	case sched.NotLoaded:
		f.deps.Loader.Want(c.need.Service, c.need.Model, c.need.Adapter)
		f.mu.Lock()
		choice.Return = f.book.LoadTime(&c.need, f.Config().Services[c.need.Service])
		f.mu.Unlock()
		if sched.Hold(&c.need, choice.Return, now) {
			until = sched.HoldUntil(&c.need)
		}
	case sched.NoServer, sched.NoRepeat, sched.AskAgain:
	}
	if until.After(now) {
		c.waited = true
		return c.wait(ctx, choice, grant, until)
	}
	c.unplaced(choice)
	return choice, false
}

// place finds a server for the call: the one whose time the steerer reserves, or without
// a steerer the one that this daemon chooses. The grant is nil without a steerer.
func (c *call) place(ctx context.Context) (sched.Choice, *sched.Grant) {
	f := c.front
	now := time.Now()
	if r := f.deps.Reserver; r != nil && c.need.Model != "" && c.mayRepeat(now) {
		f.mu.Lock()
		ask := f.book.Ask(&c.need, f.state.Load().demands[c.need.Service], now)
		f.mu.Unlock()
		grant, err := r.Reserve(ctx, ask)
		if err == nil {
			c.outcome.asks++
			if choice, ok := c.granted(ctx, grant); ok {
				c.outcome.granted = choice.Verdict == sched.Chosen
				return choice, &grant
			}
		}
		now = time.Now()
	}
	c.outcome.granted = false
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.take(c, now), nil
}

// mayRepeat tells whether the call was sent to no server yet or may be sent again.
func (c *call) mayRepeat(now time.Time) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.reached == 0 || f.book.CanRepeat(c.need.Service, now)
}

// granted waits until a granted call is to be sent; false if this daemon can't use the
// grant, or knows of an engine that the steerer does not know.
func (c *call) granted(ctx context.Context, g sched.Grant) (sched.Choice, bool) {
	f := c.front
	if g.Verdict == sched.Chosen && g.After > 0 {
		life.Sleep(ctx, g.After)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	choice := f.book.Granted(g, &c.need, now)
	switch choice.Verdict {
	case sched.NoServer:
		return choice, false
	case sched.NotLoaded:
		return choice, !f.book.Loaded(&c.need, now)
	case sched.Full:
		choice = f.book.Busy(&c.need, now)
	}
	return f.claim(c, choice, now), true
}

// chosen notes when the call got a server.
func (c *call) chosen(choice sched.Choice, now time.Time) sched.Choice {
	if c.outcome.sends > 0 {
		c.front.metrics.repeated.Inc(1)
	}
	c.outcome.waited = now.Sub(c.need.Arrived)
	return choice
}

// unplaced ends a call that no server can take.
func (c *call) unplaced(choice sched.Choice) {
	switch choice.Verdict {
	case sched.NoRepeat:
		c.giveUp(code.RetryBudget, choice, "retry budget spent after: "+c.outcome.reason)
	case sched.NotLoaded:
		c.giveUp(code.NoEngine, choice, "no engine holds the model")
	case sched.Full:
		c.giveUp(code.ShedDeadline, choice, "no engine has room in time")
	case sched.NoServer, sched.Chosen, sched.AskAgain:
		c.giveUp(code.NoBackend, choice, "no server of the service can be used")
	}
}

// wait queues the call until a time; false if the call was ended.
func (c *call) wait(ctx context.Context, choice sched.Choice, grant *sched.Grant, until time.Time) (sched.Choice, bool) {
	f := c.front
	w := &waiter{Waiter: sched.Waiter{Call: &c.need, Until: until}, call: c, got: make(chan sched.Choice, 1)}
	ends := until
	if grant != nil {
		w.asks, w.lacking = true, grant.Verdict == sched.NotLoaded
		if again := time.Now().Add(grant.After); !w.lacking && again.Before(until) {
			ends = again
		}
	}
	f.mu.Lock()
	f.waiters = append(f.waiters, w)
	f.mu.Unlock()
	timer := time.NewTimer(time.Until(ends))
	defer timer.Stop()
	select {
	case got := <-w.got:
		return c.take(got)
	case <-timer.C:
	case <-f.left.Done():
	case <-ctx.Done():
	}
	f.mu.Lock()
	f.waiters = slices.DeleteFunc(f.waiters, func(o *waiter) bool { return o == w })
	f.mu.Unlock()
	select {
	case got := <-w.got:
		// A server was chosen meanwhile.
		return c.take(got)
	default:
	}
	switch {
	case errors.Is(c.request.Context().Err(), context.Canceled):
		c.cut(code.CallerGone, "the caller left while it waited")
	case f.left.Err() != nil:
		c.giveUp(code.Stopping, sched.Choice{Return: leavingReturn}, "leaving")
	case ctx.Err() != nil:
		c.expire("no server was found")
	case time.Now().Before(until):
		choice.Verdict = sched.AskAgain
	default:
		c.unplaced(choice)
	}
	return choice, false
}

// take takes the choice that a waiting call got.
func (c *call) take(got sched.Choice) (sched.Choice, bool) {
	switch got.Verdict {
	case sched.Chosen:
		return c.chosen(got, time.Now()), true
	case sched.AskAgain:
		return got, false
	}
	c.unplaced(got)
	return got, false
}
