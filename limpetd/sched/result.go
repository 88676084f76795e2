package sched

import "time"

// Result is how a call ended at a server.
type Result int

// The results.
const (
	// Answered means that the server answered, possibly with an error that the request caused.
	Answered Result = iota
	// Failed means that the server answered with a failure.
	Failed
	// Broken means that the server was reached, but broke off the answer or stayed silent.
	Broken
	// Unreachable means that no connection to the server was established, or that the call
	// could not be written to it.
	Unreachable
	// Refused means that the server has no room for the call.
	Refused
	// WrongServer means that another server has the address, or that the server lacks the
	// model or adapter.
	WrongServer
	// Cancelled means that the caller left, or that the deadline of the call passed.
	Cancelled
)

// fullExclusion is how long a server that refused a call is excluded. It is a few round
// trips, because the refusal reflects the server's queue at that moment only.
const fullExclusion = 60 * time.Millisecond

// missingExclusion is how long a server that lacks a model or adapter is excluded for calls
// that need the model or adapter, even if the list of servers shows sooner that the model
// was loaded.
const missingExclusion = 400 * time.Millisecond

// RecordResult records the result of a call that was sent. started reports whether an event or
// the answer arrived before.
func (b *Balancer) RecordResult(id string, c *Call, r Result, started bool, now time.Time) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.ownCalls = max(s.ownCalls-1, 0)
	if !started {
		s.pending = max(s.pending-1, 0)
	}
	switch r {
	case Answered:
		s.failureRate *= 1 - failureWeight
		if s.limit.active() {
			s.limit.recordAnswer(now)
		}
	case Failed:
		s.failureRate += (1 - s.failureRate) * failureWeight
	case Broken:
		s.failureRate += (1 - s.failureRate) * failureWeight
		if !started {
			s.eject(now)
		}
	case Unreachable:
		s.eject(now)
	case Refused:
		s.fullUntil = now.Add(fullExclusion)
		b.recordRejection(s, now)
	case WrongServer:
		s.missingUntil[c.Model+"/"+c.Adapter] = now.Add(missingExclusion)
	case Cancelled:
	}
}

// eject excludes a server that did not answer for a time that doubles with each
// consecutive failure. A server that is ejected already is not ejected for longer.
func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejections++
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections-1, 6), maxEjection))
}
