package sched

import (
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// backoffSpread is the part of a backoff over which the callers that were refused because of it
// return after its end.
const backoffSpread = 0.5

// RecordBackoff records that a server wants no calls from this daemon for a time.
func (b *Balancer) RecordBackoff(id string, length time.Duration, now time.Time) {
	if s := b.servers[id]; s != nil && now.Add(length).After(s.backoffUntil) {
		s.backoffUntil = now.Add(length)
	}
}

// BackoffUntil returns until when a server wants no calls from this daemon; the zero time if it has
// not asked for that.
func (b *Balancer) BackoffUntil(id string) time.Time {
	if s := b.servers[id]; s != nil {
		return s.backoffUntil
	}
	return time.Time{}
}

// inBackoff reports whether the server wants no calls from this daemon.
func (s *server) inBackoff(now time.Time) bool { return now.Before(s.backoffUntil) }

// WaitsForBackoff reports whether only servers that want no calls for a time could answer the call.
func (b *Balancer) WaitsForBackoff(c *Call, now time.Time) bool {
	return len(b.withModel(b.usable(c, now), c, now)) == 0 && !b.backoffEnd(c, now).IsZero()
}

// backoffEnd returns when the first server that wants no calls for a time, and could answer the
// call, can be used again; the zero time if there is none. It may be one that refused the call before.
func (b *Balancer) backoffEnd(c *Call, now time.Time) time.Time {
	var end time.Time
	for _, s := range b.byService[c.Service] {
		if !s.inBackoff(now) || s.entry.State != layout.Ready || !s.runs(c) || c.Model != "" && !b.HoldsModel(s.entry, c.Model, c.Adapter) {
			continue
		}
		if end.IsZero() || s.backoffUntil.Before(end) {
			end = s.backoffUntil
		}
	}
	return end
}

// RetryAfterEnd returns the retry delay for a caller that is refused because of something that ends at
// end, such as a backoff: it returns after the end, and not together with all others.
func (b *Balancer) RetryAfterEnd(end, now time.Time) time.Duration {
	left := end.Sub(now)
	return left + time.Duration(b.random.Int64N(int64(max(time.Duration(backoffSpread*float64(left)), minRetryAfter))))
}
