package sched

import "time"

const (
	// firstPrefill is the time to a first event that is assumed before one was seen.
	firstPrefill = 60 * time.Millisecond
	// prefillWeight and gapWeight are the weights of the newest sample.
	prefillWeight = 0.05
	gapWeight     = 0.15
	// gapFresh is how long the pause between events tells of an engine's pace.
	gapFresh = time.Second
	// sharedFresh is how long the counts of all daemons are used: they come several
	// times in it.
	sharedFresh = 1200 * time.Millisecond
	// gapShare is the part of a stream's longest pause that events of an engine may
	// be apart when it takes another call: the call's prompt makes them longer.
	gapShare = 1.0
	// pendingShare is the part of what is left of the expectation that the prompts
	// before a call may take.
	pendingShare = 0.8
	// leastPending and mostPending bound the calls that wait at an engine for their
	// first event.
	leastPending = 2
	mostPending  = 20
)

// Shared is the load of a server over all daemons.
type Shared struct {
	// It is told to every daemon several times a second, so names are left out.
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Calls are in flight; Pending are those of them without an event.
	Calls   int
	Pending int
	// Gap is the longest smoothed pause between events that a daemon sees, in
	// milliseconds.
	Gap int
}

// Own returns the load that this daemon puts on servers, for the others.
func (b *Book) Own(now time.Time) map[string]Shared {
	out := map[string]Shared{}
	for id, s := range b.servers {
		if s.own > 0 {
			out[id] = Shared{Calls: s.own, Pending: s.pending, Gap: int(s.ownGap(now) / time.Millisecond)}
		}
		s.mine = out[id]
	}
	return out
}

// Share sets the load of all daemons, this one included.
func (b *Book) Share(all map[string]Shared, now time.Time) {
	b.sharedAt = now
	for id, s := range b.servers {
		s.shared = all[id]
		s.shared.Calls = max(s.shared.Calls-s.mine.Calls, 0)
		s.shared.Pending = max(s.shared.Pending-s.mine.Pending, 0)
	}
}

func (s *server) ownGap(now time.Time) time.Duration {
	if now.Sub(s.gapAt) > gapFresh {
		return 0
	}
	return s.gap
}

// calls and pending estimate the calls at a server over all daemons.
func (b *Book) calls(s *server, now time.Time) float64 {
	if now.Sub(b.sharedAt) < sharedFresh {
		return float64(s.shared.Calls + s.own)
	}
	calls := float64(s.own * b.daemons)
	if !s.toldAt.IsZero() && now.Sub(s.toldAt) < toldFresh {
		calls = float64(s.told.Running + s.told.Waiting + s.sent)
	}
	return max(calls, float64(s.own))
}

func (b *Book) pending(s *server, now time.Time) int {
	if now.Sub(b.sharedAt) < sharedFresh {
		return s.shared.Pending + s.pending
	}
	return s.pending * b.daemons
}

// room tells whether an engine can take a call in time: the prompts before it are few
// enough for its expectation, and the events of its streams come quickly enough.
//
// It answers a load in which a model is asked for beyond what its engines can do. An
// engine that takes all of it serves none in time, as each prompt slows every stream.
func (b *Book) room(s *server, c *Call, now time.Time) bool {
	if c.Model == "" {
		return true
	}
	most := leastPending
	if left := c.Route.Expectation - now.Sub(c.Arrived); b.prefill > 0 && left > 0 {
		most = int(pendingShare * float64(left) / float64(b.prefill))
	}
	most = min(max(most, leastPending), mostPending)
	if b.pending(s, now) >= most {
		return false
	}
	gap := s.ownGap(now)
	if now.Sub(b.sharedAt) < sharedFresh {
		gap = max(gap, time.Duration(s.shared.Gap)*time.Millisecond)
	}
	pause := c.Route.MaxPause
	return pause <= 0 || gap <= time.Duration(gapShare*float64(pause))
}
