package ledger

import "time"

// SendTracker tracks the orders that a process sends under each grant, so that it can
// report whether a grant is void. A SendTracker is not safe for concurrent use.
type SendTracker struct {
	// deliveryWindow is how long an unanswered order may still reach its engine.
	deliveryWindow time.Duration
	// start is when this process started. An earlier process on the same VM may
	// have sent orders until then.
	start time.Time
	// grants holds the state of each grant by grant id.
	grants map[string]*grantState
}

// grantState is the state of the orders sent under one grant.
type grantState struct {
	// inFlight is the number of orders that were sent and not yet answered.
	inFlight int
	// deliverableUntil is when the last order that ended without an answer can
	// no longer reach its engine.
	deliverableUntil time.Time
	// closed reports whether sending under the grant has been stopped for good.
	closed bool
	// own reports whether this process created the grant, so that no earlier
	// process on the VM can have used it.
	own bool
}

// NewSendTracker returns the tracker of a process that started at start. An order that was
// sent and not answered may reach its engine for deliveryWindow after its send
// ended.
func NewSendTracker(deliveryWindow time.Duration, start time.Time) *SendTracker {
	return &SendTracker{deliveryWindow: deliveryWindow, start: start, grants: map[string]*grantState{}}
}

// RecordCreated records that this process created a grant.
func (g *SendTracker) RecordCreated(grant string) {
	g.state(grant).own = true
}

// IsOpen reports whether orders may be sent under a grant, that is, CloseAndCheckVoid has not
// closed the grant.
func (g *SendTracker) IsOpen(grant string) bool {
	return !g.state(grant).closed
}

// state returns the state of a grant and creates it if there is none.
func (g *SendTracker) state(grant string) *grantState {
	s := g.grants[grant]
	if s == nil {
		s = &grantState{}
		g.grants[grant] = s
	}
	return s
}

// BeginSend reports whether an order may be sent under a grant and, if so, counts the
// order as in flight. After true the caller must call EndSend once.
func (g *SendTracker) BeginSend(grant string) bool {
	s := g.state(grant)
	if s.closed {
		return false
	}
	s.inFlight++
	return true
}

// EndSend records the end of a send that BeginSend allowed. answered reports whether the
// engine answered or the order cannot have reached the engine.
func (g *SendTracker) EndSend(grant string, answered bool, now time.Time) {
	s := g.state(grant)
	s.inFlight--
	if until := now.Add(g.deliveryWindow); !answered && until.After(s.deliverableUntil) {
		s.deliverableUntil = until
	}
}

// CloseAndCheckVoid closes a grant for good and reports whether no order that this VM sent
// under the grant can still reach an engine.
func (g *SendTracker) CloseAndCheckVoid(grant string, now time.Time) bool {
	s := g.state(grant)
	s.closed = true
	if !s.own && now.Sub(g.start) < g.deliveryWindow {
		return false
	}
	return s.inFlight == 0 && !now.Before(s.deliverableUntil)
}

// Prune removes the state of grants under which no order can still reach an
// engine, except those for which isCurrent reports that they are the current
// grant of a row that this process has read. During the first deliveryWindow after
// the start of the process nothing is removed, since CloseAndCheckVoid then needs to know which
// grants this process created.
//
// Removing a closed grant does not reopen it: a grant is closed only after a row
// with a newer grant was written, so no later read returns the closed grant as
// the current one.
func (g *SendTracker) Prune(isCurrent func(grant string) bool, now time.Time) {
	if now.Sub(g.start) < g.deliveryWindow {
		return
	}
	for id, s := range g.grants {
		if s.inFlight == 0 && !now.Before(s.deliverableUntil) && !isCurrent(id) {
			delete(g.grants, id)
		}
	}
}
