package front

import (
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

const (
	// retryLogInterval is the least time between two log lines about the retry budget of a service,
	// estimateLogInterval between two about its estimates.
	retryLogInterval    = time.Second
	estimateLogInterval = time.Second
)

// takeRetry reports whether the call may be sent to another server, counts the decision and logs the use of
// the budget. The caller must hold mu.
func (f *Front) takeRetry(c *call, now time.Time) bool {
	service := c.schedCall.Service
	allowed := f.balancer.TakeRetry(c.delivery, now)
	c.retryTaken = allowed
	if allowed {
		f.metrics.retriesAllowed.Inc(1)
	} else {
		f.metrics.retriesDenied.Inc(1)
	}
	if now.Sub(f.retriesLogged[service]) < retryLogInterval {
		return allowed
	}
	f.retriesLogged[service] = now
	u := f.balancer.RetryUse(service, now)
	f.deps.Log.Info("retry_budget",
		zap.String("service", service), zap.String("request", c.info.ID), zap.Bool("allowed", allowed), zap.String("after", c.outcome.reason),
		zap.Int("calls", u.Calls), zap.Int("retries", u.Retries), zap.Int("pending", u.Pending), zap.Float64("limit", u.Limit), zap.Int("daemons", u.Daemons),
		zap.Int64("allowed_total", u.Allowed), zap.Int64("denied_total", u.Denied), zap.Duration("age", u.Age))
	return allowed
}

// recordSend records that an attempt has a connection, to which the call will be written.
func (c *call) recordSend() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.retryTaken {
		f.balancer.RecordFirstSend(c.delivery)
	}
	c.retryTaken = false
	c.connected++
}

// cancelRetry undoes the decision on a retry that is not sent. The caller must hold the mu of the Front.
func (c *call) cancelRetry(now time.Time) {
	if c.retryTaken {
		c.retryTaken = false
		c.front.balancer.RecordUnsent(c.delivery, true, now)
	}
}

// recordDelivery records in the retry budget whether the server of an attempt that has ended may still read the call. The caller must hold mu.
func (a *attempt) recordDelivery(r sched.Result, now time.Time) {
	f, c := a.call.front, a.call
	switch {
	case a.conn == nil:
		c.cancelRetry(now)
	case a.unwritten:
		f.balancer.RecordUnsent(c.delivery, a.retry, now)
	case a.begunAt.IsZero():
		vm, _ := a.conn.Tunnel()
		f.balancer.RecordUnread(c.delivery, a.server, vm, now)
		f.metrics.unanswered.Inc(1)
		f.deps.Log.Info("call_unanswered", zap.String("server", a.server.ID), zap.String("request", c.info.ID), zap.Int("result", int(r)),
			zap.Duration("waited", now.Sub(a.sentAt)), zap.Duration("silent", f.balancer.SilentFor(a.server.ID, now)))
	}
}

// reserveAlternative assigns another server to a call whose server is silent, if the call may be sent again and the
// retry budget allows it. Until then the call stays: a server that is silent may answer, and calls that left it
// together would find that only a few of them may be sent again.
func (c *call) reserveAlternative(now time.Time) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.runs >= c.schedCall.Route.MaxAttempts || c.outcome.attempts >= maxAttempts || f.balancer.HasLimits(c.schedCall.Service) {
		return false
	}
	choice := f.balancer.Choose(&c.schedCall, now)
	if choice.Verdict != sched.Chosen || !f.balancer.CanRetry(c.schedCall.Service, now) {
		return false
	}
	if choice = f.assign(c, choice, now); choice.Verdict != sched.Chosen {
		return false
	}
	c.alternative = &choice
	return true
}

// takeAlternative returns the server that reserveAlternative has assigned.
func (c *call) takeAlternative() (sched.Choice, bool) {
	if c.alternative == nil {
		return sched.Choice{}, false
	}
	choice := *c.alternative
	c.alternative = nil
	return c.recordChoice(choice, time.Now()), true
}

// releaseRetry ends the use of the budget and of the assigned server by a call that has ended.
func (c *call) releaseRetry() {
	f, now := c.front, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.alternative != nil {
		f.balancer.RecordResult(c.alternative.Server.ID, &c.schedCall, sched.Cancelled, false, now)
		c.alternative = nil
	}
	c.cancelRetry(now)
}

// logEstimate logs the estimates by which the lease holder reserves the engines of a service, when streams
// paused for too long. The caller must hold mu.
func (f *Front) logEstimate(service string, streams, paused int, now time.Time) {
	if paused == 0 || now.Sub(f.estimateLogged[service]) < estimateLogInterval {
		return
	}
	f.estimateLogged[service] = now
	perToken, share := f.balancer.PrefillEstimate(service)
	f.deps.Log.Info("prefill_estimate", zap.String("service", service), zap.Int("streams", streams), zap.Int("paused", paused),
		zap.Duration("per_token", perToken), zap.Float64("share", share))
}
