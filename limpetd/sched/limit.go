package sched

import (
	"math"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// The lease holder keeps up to limitBurst tokens that were not used, and those of
	// limitBurstTime seconds. A daemon without a lease holder keeps one token, and gets none for the
	// time in which it had no calls, but for idleShare: the tokens of many idle daemons would add
	// up to a burst.
	limitBurst     = 2
	limitBurstTime = 0.5
	idleShare      = time.Second
	// urgentTokens is how many more tokens a server must have for calls that are not of the highest
	// priority, which leaves tokens for those that are.
	urgentTokens = 0.5
	// maxTokenDebt is how many tokens orders and reports may take ahead of calls.
	maxTokenDebt = 1
	// limitTerm is how long the end of a limit is told to other daemons.
	limitTerm = 5 * time.Second
	// A server with a limit may have limitBurst unanswered requests and those of limitUnanswered, and one more after
	// limitTrial, which doubles with each. A server that is stopped reads all of them when it goes on.
	limitUnanswered = time.Second
	limitTrial      = time.Second
	maxTrialDoubles = 6
	// limitEvidence is how much newer the answer of which another daemon tells must be to count: the ages of facts that
	// daemons tell each other shrink by the time of the transfer.
	limitEvidence = 400 * time.Millisecond
)

// rateLimit is the limit of requests a second that a server takes from all daemons together, as a token
// bucket. The lease holder grants the tokens for calls of all daemons. A daemon without a lease holder
// uses only its part of the limit.
type rateLimit struct {
	// perSecond is 0 if the limit has ended.
	perSecond float64
	tokens    float64
	filledAt  time.Time
	// sharing is whether this daemon uses its part of the limit, without a lease holder.
	sharing bool
	// namedAt is when the server last named the limit, or showed that it has ended.
	namedAt time.Time
	// unanswered counts the tokens taken since the server was last known to answer, at answeredAt. takenAt is when the
	// last one was taken.
	unanswered          float64
	answeredAt, takenAt time.Time
}

// Limit is the limit of a server as daemons tell it to each other.
type Limit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// StartedAt tells starts of the server apart.
	StartedAt int64
	// PerSecond is 0 if the limit has ended.
	PerSecond float64
	// Age is the time since an answer of the server last showed this.
	Age time.Duration
	// Brittle is nil if the server is not brittle.
	Brittle *Brittleness
}

// active reports whether the server has a limit.
func (l *rateLimit) active() bool { return l != nil && l.perSecond > 0 }

// set changes the limit. Tokens that were not used before are kept within the new limit.
func (l *rateLimit) set(perSecond float64, now time.Time) {
	if l.perSecond <= 0 {
		l.tokens, l.filledAt = 0, now
	}
	l.fill(now)
	l.perSecond = perSecond
	l.tokens = min(l.tokens, l.capacity())
}

// capacity returns how many tokens the lease holder keeps.
func (l *rateLimit) capacity() float64 { return limitBurst + limitBurstTime*l.perSecond }

// fill adds the tokens since the last call.
func (l *rateLimit) fill(now time.Time) {
	if d := now.Sub(l.filledAt); d > 0 {
		l.tokens = min(l.tokens+d.Seconds()*l.perSecond, l.capacity())
		l.filledAt = now
	}
}

// fillShare adds the tokens of one of several daemons since the last call.
func (l *rateLimit) fillShare(daemons int, now time.Time) {
	if d := min(now.Sub(l.filledAt), idleShare); d > 0 {
		l.tokens = min(l.tokens+d.Seconds()*l.perSecond/float64(daemons), 1+limitBurstTime*l.perSecond/float64(daemons))
		l.filledAt = now
	}
}

// recordAnswer records that the server has answered at a time. Requests that it had not answered may have arrived just
// then, so that they leave fewer tokens.
func (l *rateLimit) recordAnswer(at time.Time) {
	l.tokens = min(l.tokens, l.capacity()-l.unanswered)
	l.unanswered, l.answeredAt = 0, at
}

// isSilent reports whether the server has so many unanswered requests, of parts of the limit, that it gets no more for
// a time.
func (l *rateLimit) isSilent(parts int, now time.Time) bool {
	over := l.unanswered - limitBurst - l.perSecond/float64(parts)*limitUnanswered.Seconds()
	return over >= 0 && now.Sub(l.takenAt) < limitTrial<<min(int(over), maxTrialDoubles)
}

// RecordLimit records the limit that a server named in the answer to a request that was sent at a time;
// 0 if it named none. A limit has ended if the answer to a request that was sent after it was last
// named lacks it. It reports whether the limit changed.
func (b *Balancer) RecordLimit(id string, perSecond float64, sentAt, now time.Time) bool {
	s := b.servers[id]
	if s == nil || perSecond <= 0 && (!s.limit.active() || !sentAt.After(s.limit.namedAt)) {
		return false
	}
	if s.limit == nil {
		s.limit = &rateLimit{}
	}
	changed := s.limit.perSecond != perSecond
	s.limit.set(perSecond, now)
	s.limit.recordAnswer(now)
	s.limit.namedAt = now
	return changed
}

// Limits returns the limits that are in force or have ended lately, by server.
func (b *Balancer) Limits(now time.Time) map[string]Limit {
	var out map[string]Limit
	for id, s := range b.servers {
		l, brittle := Limit{StartedAt: s.entry.StartedAt, Age: limitTerm}, s.brittle.told(now)
		limited := s.limit != nil && (s.limit.active() || now.Sub(s.limit.namedAt) <= limitTerm)
		if !limited && brittle == nil {
			continue
		}
		if limited {
			l.PerSecond, l.Age = s.limit.perSecond, now.Sub(s.limit.namedAt)
		}
		if out == nil {
			out = map[string]Limit{}
		}
		l.Brittle = brittle
		out[id] = l
	}
	return out
}

// MergeLimits adds the limits that another daemon knows, if they are newer.
func (b *Balancer) MergeLimits(all map[string]Limit, now time.Time) {
	for id, l := range all {
		s := b.servers[id]
		at := now.Add(-max(l.Age, 0))
		if s == nil || s.entry.StartedAt != l.StartedAt {
			continue
		}
		s.mergeBrittle(l.Brittle, now)
		if s.limit == nil && l.PerSecond <= 0 || s.limit != nil && !at.After(s.limit.namedAt) {
			continue
		}
		if s.limit == nil {
			s.limit = &rateLimit{}
		}
		s.limit.set(l.PerSecond, now)
		if at.Sub(s.limit.answeredAt) > limitEvidence {
			s.limit.recordAnswer(at)
		}
		s.limit.namedAt = at
	}
}

// HasLimits reports whether a server of the service has a limit.
func (b *Balancer) HasLimits(service string) bool {
	for _, s := range b.byService[service] {
		if s.limit.active() {
			return true
		}
	}
	return false
}

// mayGrant reports whether a call may be sent to the server within its limit. Only the lease holder,
// which grants the tokens of all daemons, calls it.
func (s *server) mayGrant(urgent bool, now time.Time) bool {
	if !s.limit.active() {
		return true
	}
	s.limit.fill(now)
	needed := 1.0
	if !urgent {
		needed += urgentTokens
	}
	return s.limit.tokens >= needed && !s.limit.isSilent(1, now)
}

// mayUseShare reports whether this daemon may send a call without a token from the lease holder: if there
// is no lease holder, within its part of the limit.
func (b *Balancer) mayUseShare(s *server, now time.Time) bool {
	if !s.limit.active() {
		return true
	}
	if now.Sub(b.sharedAt) < sharedMaxAge {
		s.limit.sharing = false
		return false
	}
	if !s.limit.sharing {
		// The parts of many daemons are far below one request. They must not add up to a whole
		// request at all daemons at the same time.
		s.limit.sharing, s.limit.tokens, s.limit.filledAt = true, b.random.Float64(), now
	}
	s.limit.fillShare(b.daemons, now)
	return s.limit.tokens >= 1 && !s.limit.isSilent(b.daemons, now)
}

// takeToken takes a token for a request to the server.
func (s *server) takeToken(now time.Time) {
	if s.limit.active() {
		s.limit.tokens--
		s.limit.unanswered++
		s.limit.takenAt = now
	}
}

// TakeToken takes a token for an order or a report request to a server, and reports whether it may be
// sent. Such requests go ahead of calls, because placement may depend on them.
func (b *Balancer) TakeToken(id string, now time.Time) bool {
	s := b.servers[id]
	if s == nil || !s.limit.active() {
		return true
	}
	s.limit.fill(now)
	if s.limit.tokens < 1-maxTokenDebt || s.limit.isSilent(1, now) {
		return false
	}
	s.takeToken(now)
	return true
}

// tokenDelay returns the time until the first of the servers has a token.
func tokenDelay(list []*server) time.Duration {
	delay := time.Duration(math.MaxInt64)
	for _, s := range list {
		if s.limit.active() {
			delay = min(delay, time.Duration(max(1-s.limit.tokens, 0)/s.limit.perSecond*float64(time.Second)))
		}
	}
	return delay
}

// withinLimits returns the servers of list to which this daemon may send a call without the lease holder.
func (b *Balancer) withinLimits(list []*server, now time.Time) []*server {
	var within []*server
	for _, s := range list {
		if b.mayUseShare(s, now) {
			within = append(within, s)
		}
	}
	return within
}

// reservePlain grants a call without a model a token of the least loaded server within its limit.
func (b *Balancer) reservePlain(a *ReservationRequest, list []*server, now time.Time) Reservation {
	if b.SharesSlots(a.Service) {
		return b.reserveSlot(a, list, now)
	}
	candidates := make([]candidate, 0, len(list))
	lowest := math.Inf(1)
	for _, s := range b.bearing(a.Service, false, list, now) {
		if s.mayGrant(a.IsTopPriority, now) {
			candidates = append(candidates, candidate{server: s, load: b.load(s, now), pace: 1})
			lowest = min(lowest, b.load(s, now))
		}
	}
	if len(candidates) == 0 {
		return Reservation{Verdict: Full, Delay: min(max(tokenDelay(list), minAskDelay), maxAskDelay)}
	}
	best := b.pick(candidates, lowest, &Call{Route: &layout.Route{}}).server
	best.takeToken(now)
	return Reservation{Verdict: Chosen, Server: best.entry.ID}
}
