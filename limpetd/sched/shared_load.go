package sched

import "time"

const (
	// initialTimePerPending is the time to a first event that is assumed before one was
	// measured.
	initialTimePerPending = 60 * time.Millisecond
	// timePerPendingWeight and pauseWeight are the weights of the newest sample.
	timePerPendingWeight = 0.05
	pauseWeight          = 0.15
	// pauseMaxAge is how long after the last event the smoothed pause between events is used.
	pauseMaxAge = time.Second
	// sharedMaxAge is how long the load of all daemons is used. In this time the load
	// arrives several times.
	sharedMaxAge = 1200 * time.Millisecond
	// pauseShare is the part of a stream's longest allowed pause that the events of an engine
	// may be apart for the engine to accept another call, whose prompt lengthens the pauses.
	pauseShare = 1.0
	// pendingShare is the part of the remaining expectation that the prompts ahead of a
	// call may take.
	pendingShare = 0.8
	// minPending and maxPending limit the number of calls that wait at an engine for their
	// first event.
	minPending = 2
	maxPending = 20
)

// ServerLoad is the load that one daemon, or all daemons together, put on a server.
type ServerLoad struct {
	// Every daemon receives the load several times a second, so it is encoded as an array,
	// without field names.
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Calls is the number of calls in flight, Pending the number of those without a first
	// event.
	Calls   int
	Pending int
	// PauseMS is the longest smoothed pause between events that any daemon measures, in
	// milliseconds.
	PauseMS int
}

// OwnLoad returns the load that this daemon puts on servers, by server ID, to be reported to
// the other daemons.
func (b *Balancer) OwnLoad(now time.Time) map[string]ServerLoad {
	out := map[string]ServerLoad{}
	for id, s := range b.servers {
		if s.ownCalls > 0 {
			out[id] = ServerLoad{Calls: s.ownCalls, Pending: s.pending, PauseMS: int(s.ownPause(now) / time.Millisecond)}
		}
		s.ownShare = out[id]
	}
	return out
}

// SetSharedLoad records the load of all daemons, this daemon included.
func (b *Balancer) SetSharedLoad(all map[string]ServerLoad, now time.Time) {
	b.sharedAt = now
	for id, s := range b.servers {
		s.others = all[id]
		s.others.Calls = max(s.others.Calls-s.ownShare.Calls, 0)
		s.others.Pending = max(s.others.Pending-s.ownShare.Pending, 0)
	}
}

// ownPause returns the smoothed pause between events of own streams, 0 if there was no event
// within pauseMaxAge.
func (s *server) ownPause(now time.Time) time.Duration {
	if now.Sub(s.pauseAt) > pauseMaxAge {
		return 0
	}
	return s.pause
}

// inFlight estimates the calls in flight at a server over all daemons: from the shared
// load, else from the server's last report, else as this daemon's own calls times the
// number of daemons.
func (b *Balancer) inFlight(s *server, now time.Time) float64 {
	if now.Sub(b.sharedAt) < sharedMaxAge {
		return float64(s.others.Calls + s.ownCalls)
	}
	inFlight := float64(s.ownCalls * b.daemons)
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportMaxAge {
		inFlight = float64(s.reported.Running + s.reported.Waiting + s.sentSince)
	}
	return max(inFlight, float64(s.ownCalls))
}

// pending estimates the calls without a first event at a server over all daemons: from the
// shared load, else as this daemon's own calls times the number of daemons.
func (b *Balancer) pending(s *server, now time.Time) int {
	if now.Sub(b.sharedAt) < sharedMaxAge {
		return s.others.Pending + s.pending
	}
	return s.pending * b.daemons
}

// hasRoom reports whether an engine can answer a call in time: whether the prompts ahead of
// the call take at most pendingShare of its remaining expectation, within the limits
// minPending and maxPending, and the pauses between the events of the engine's streams are
// at most pauseShare of the longest pause that the route allows. Calls without a model always
// find room.
//
// An engine that accepted every call for an overloaded model would serve none of them in
// time, because each prompt slows down every stream.
func (b *Balancer) hasRoom(s *server, c *Call, now time.Time) bool {
	if c.Model == "" {
		return true
	}
	limit := minPending
	if left := c.Route.Expectation - now.Sub(c.Arrived); b.timePerPending > 0 && left > 0 {
		limit = int(pendingShare * float64(left) / float64(b.timePerPending))
	}
	limit = min(max(limit, minPending), maxPending)
	if b.pending(s, now) >= limit {
		return false
	}
	gap := s.ownPause(now)
	if now.Sub(b.sharedAt) < sharedMaxAge {
		gap = max(gap, time.Duration(s.others.PauseMS)*time.Millisecond)
	}
	pause := c.Route.MaxPause
	return pause <= 0 || gap <= time.Duration(pauseShare*float64(pause))
}
