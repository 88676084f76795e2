package sched

import (
	"time"
)

const (
	// brittleReserve is the part of a brittle server's slots, as a divisor, that gets no calls: the load of
	// other daemons is known some hundred milliseconds late.
	brittleReserve = 16
	// grantAge is how long the lease holder counts a call that it sent to a brittle server beside the
	// calls that daemons report.
	grantAge = 300 * time.Millisecond
	// plainReportAge is how long the load that a plain server reported is used. Its calls take some ten
	// milliseconds.
	plainReportAge = 100 * time.Millisecond
	// minRejectionPause and maxRejectionPause bound how long a brittle server that rejected a call gets
	// none. The rejections of all daemons within a second count together.
	minRejectionPause = time.Second
	maxRejectionPause = 5 * time.Second
	// brittleTerm is how long the end of brittleness is told to other daemons, and how long it holds
	// for the servers of a service of which none has answered.
	brittleTerm = 5 * time.Second
)

// Brittleness is what daemons tell each other about a server that ends if it must reject more than some
// calls a second because it has no room.
type Brittleness struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Named is whether the server says that it is brittle. Rejections is the number of calls that it can
	// reject in a second.
	Named      bool
	Rejections float64
	// Age is the time since an answer of the server last showed this.
	Age time.Duration
	// Full is how long the server gets no calls because it rejected one.
	Full time.Duration
}

// brittleness is the state that a Balancer keeps of a brittle server.
type brittleness struct {
	named      bool
	rejections float64
	namedAt    time.Time
	// fullUntil is until when the server gets no calls because it rejected one.
	fullUntil time.Time
	// grants are when the lease holder last granted calls, within grantAge.
	grants []time.Time
}

// RecordBrittle records whether a server said in the answer to a request that was sent at a time that it is
// brittle, and how many calls it can reject in a second. It reports whether this changed.
func (b *Balancer) RecordBrittle(id string, named bool, rejections float64, sentAt, now time.Time) bool {
	s := b.servers[id]
	if s == nil || !named && (s.brittle == nil || !s.brittle.named || !sentAt.After(s.brittle.namedAt)) {
		return false
	}
	if s.brittle == nil {
		s.brittle = &brittleness{}
	}
	changed := s.brittle.named != named || s.brittle.rejections != rejections
	s.brittle.named, s.brittle.rejections, s.brittle.namedAt = named, rejections, now
	return changed
}

// mergeBrittle adds what another daemon knows, if it is newer.
func (s *server) mergeBrittle(o *Brittleness, now time.Time) {
	if o == nil {
		return
	}
	if s.brittle == nil {
		s.brittle = &brittleness{}
	}
	if at := now.Add(-max(o.Age, 0)); at.After(s.brittle.namedAt) {
		s.brittle.named, s.brittle.rejections, s.brittle.namedAt = o.Named, o.Rejections, at
	}
	if until := now.Add(min(o.Full, maxRejectionPause)); o.Full > 0 && until.After(s.brittle.fullUntil) {
		s.brittle.fullUntil = until
	}
}

// told returns what other daemons are told about the server; nil if nothing.
func (r *brittleness) told(now time.Time) *Brittleness {
	if r == nil || !r.named && now.Sub(r.namedAt) > brittleTerm {
		return nil
	}
	return &Brittleness{Named: r.named, Rejections: r.rejections, Age: now.Sub(r.namedAt), Full: max(r.fullUntil.Sub(now), 0)}
}

// HasBrittle reports whether a server of the service is brittle. Then all of them are: one that has started again
// has not said so yet.
func (b *Balancer) HasBrittle(service string) bool {
	_, brittle := b.rejections(service)
	return brittle
}

// rejections returns how many calls each server of a service can reject in a second, and whether any is brittle.
func (b *Balancer) rejections(service string) (float64, bool) {
	lowest, brittle := 0.0, false
	for _, s := range b.byService[service] {
		if s.brittle == nil || !s.brittle.named {
			continue
		}
		if !brittle || s.brittle.rejections < lowest {
			lowest = s.brittle.rejections
		}
		brittle = true
	}
	return lowest, brittle
}

// recordRejection stops calls to a brittle server that has rejected one, for so long that all daemons together
// have no more rejected in a second than the server bears, also if each of them finds out for itself. It reports
// whether the service is brittle.
func (b *Balancer) recordRejection(s *server, now time.Time) bool {
	allowed, brittle := b.rejections(s.entry.Service)
	if !brittle {
		return false
	}
	pause := maxRejectionPause
	if allowed > 0 {
		pause = time.Duration(float64(b.daemons) / allowed * float64(time.Second))
	}
	if s.brittle == nil {
		s.brittle = &brittleness{}
	}
	s.brittle.fullUntil = now.Add(min(max(pause, minRejectionPause), maxRejectionPause))
	return true
}

// bears reports whether a server has room for a call without the risk of a rejection, if its service is brittle.
// A server that names no slots gets calls until it rejects one.
func (b *Balancer) bears(s *server, engine bool, now time.Time) bool {
	if s.brittle != nil && now.Before(s.brittle.fullUntil) {
		return false
	}
	slots := s.entry.Slots
	age := reportMaxAge
	if !engine {
		age = plainReportAge
	}
	fresh := !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < age
	if fresh && s.reported.Slots > 0 {
		slots = s.reported.Slots
	}
	if slots <= 0 {
		return true
	}
	room := float64(slots - slots/brittleReserve)
	expected := 0.0
	if engine {
		expected = b.inFlight(s, now) + float64(s.recentGrants(now))
	} else if share := max(room/float64(b.daemons), 1); float64(s.ownCalls)+1 > share {
		return false
	}
	if fresh {
		expected = max(expected, float64(s.reported.Running+s.reported.Waiting+s.sentSince))
	}
	return expected+1 <= room
}

// bearing returns the servers of list that bear a call, to an engine or not; all of them if the service is not
// brittle. The lease holder grants the calls to engines, which last for seconds. Calls to plain servers end too soon
// for that: each daemon uses its part of the slots.
func (b *Balancer) bearing(service string, engine bool, list []*server, now time.Time) []*server {
	if !b.HasBrittle(service) {
		return list
	}
	var out []*server
	for _, s := range list {
		if b.bears(s, engine, now) {
			out = append(out, s)
		}
	}
	return out
}

// recordGrant records that the lease holder granted a call at the server to another daemon.
func (b *Balancer) recordGrant(s *server, now time.Time) {
	s.grantedAt = now
	if !b.HasBrittle(s.entry.Service) {
		return
	}
	if s.brittle == nil {
		s.brittle = &brittleness{}
	}
	s.recentGrants(now)
	s.brittle.grants = append(s.brittle.grants, now)
}

// recentGrants returns the number of calls that were granted within grantAge, and forgets older ones.
func (s *server) recentGrants(now time.Time) int {
	if s.brittle == nil {
		return 0
	}
	for len(s.brittle.grants) > 0 && now.Sub(s.brittle.grants[0]) >= grantAge {
		s.brittle.grants = s.brittle.grants[1:]
	}
	return len(s.brittle.grants)
}
