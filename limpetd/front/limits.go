package front

import (
	"time"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/layout"
	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// RecordResponse records what a server asks of the daemons by any response, to a request that was sent
// at a time: to send no more calls because it is leaving, no requests for a time, or no more than a number
// a second.
func (f *Front) RecordResponse(s *layout.Server, r ResponseHeaders, sentAt time.Time) {
	if r.Leaving && f.deps.Departures != nil {
		f.deps.Departures.RecordLeaving(s)
	}
	if r.InvalidBackoff != "" {
		f.metrics.invalidBackoffs.Inc(1)
		f.deps.Log.Warn("backoff_invalid", zap.String("server", s.ID), zap.String("value", r.InvalidBackoff))
	}
	if r.InvalidPace != "" {
		f.recordInvalidPace(s, r.InvalidPace)
	}
	f.recordLimit(s, r, sentAt)
	if r.Backoff <= 0 {
		return
	}
	f.metrics.backoffs.Inc(1)
	f.deps.Log.Info("server_backoff", zap.String("server", s.ID), zap.Duration("length", r.Backoff))
	f.mu.Lock()
	f.balancer.RecordBackoff(s.ID, r.Backoff, time.Now())
	f.mu.Unlock()
}

// RecordSpoken records that a server has answered a request that was sent at a time and is no call.
func (f *Front) RecordSpoken(s *layout.Server, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RecordSpoken(s.ID, "", sentAt, time.Now())
}

// BackoffUntil returns until when a server wants no requests from this daemon; the zero time if it
// has not asked for that.
func (f *Front) BackoffUntil(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.BackoffUntil(id)
}

// LimitObserver learns that a server has named another limit.
type LimitObserver interface {
	LimitsChanged()
}

// recordLimit records the limit that a server names in the answer to a request that was sent at a time.
func (f *Front) recordLimit(s *layout.Server, r ResponseHeaders, sentAt time.Time) {
	if r.InvalidLimit != "" {
		f.metrics.invalidLimits.Inc(1)
		f.deps.Log.Warn("limit_invalid", zap.String("server", s.ID), zap.String("value", r.InvalidLimit))
	}
	if r.InvalidBrittle != "" {
		f.metrics.invalidLimits.Inc(1)
		f.deps.Log.Warn("brittle_invalid", zap.String("server", s.ID), zap.String("value", r.InvalidBrittle))
	}
	if r.WrongServer || !r.HasStamp && !r.NotRun {
		return
	}
	f.mu.Lock()
	limitChanged := f.balancer.RecordLimit(s.ID, r.Limit, sentAt, time.Now())
	brittleChanged := f.balancer.RecordBrittle(s.ID, r.Brittle, r.Rejections, sentAt, time.Now())
	f.mu.Unlock()
	if limitChanged {
		f.metrics.limits.Inc(1)
		f.deps.Log.Info("server_limit", zap.String("server", s.ID), zap.Float64("per_second", r.Limit))
	}
	if brittleChanged {
		f.metrics.brittle.Inc(1)
		f.deps.Log.Info("server_brittle", zap.String("server", s.ID), zap.Bool("brittle", r.Brittle), zap.Float64("rejections", r.Rejections))
	}
	if limitChanged || brittleChanged {
		f.notifyLimits()
	}
}

// notifyLimits notifies the observer of a change in the limits of servers.
func (f *Front) notifyLimits() {
	if f.deps.Limits != nil {
		f.deps.Limits.LimitsChanged()
	}
}

// Limits returns the limits of servers that this daemon knows, by server.
func (f *Front) Limits() map[string]sched.Limit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Limits(time.Now())
}

// MergeLimits adds the limits that another daemon knows.
func (f *Front) MergeLimits(all map[string]sched.Limit) {
	if len(all) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.MergeLimits(all, time.Now())
}

// TakeToken reports whether an order or a report request may be sent to a server within its limit.
func (f *Front) TakeToken(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.TakeToken(id, time.Now())
}
