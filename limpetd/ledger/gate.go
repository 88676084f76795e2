package ledger

import "time"

// Gate counts what a process sends under each grant, so that it can answer
// whether a grant is void. It is not safe for concurrent use.
type Gate struct {
	// lifetime is how long a send without an answer may still arrive.
	lifetime time.Duration
	// start is when the process began; a process before it on the same VM may
	// have sent until then.
	start  time.Time
	grants map[string]*sends
}

// sends is what was sent under a grant.
type sends struct {
	running int
	// quiet is when the last send without an answer can no longer arrive.
	quiet  time.Time
	closed bool
	// own marks a grant that this process made, so that none before it can
	// have used it.
	own bool
}

// NewGate returns the gate of a process that begins at start.
func NewGate(lifetime time.Duration, start time.Time) *Gate {
	return &Gate{lifetime: lifetime, start: start, grants: map[string]*sends{}}
}

// Own notes that this process made a grant.
func (g *Gate) Own(grant string) {
	g.get(grant).own = true
}

// Open tells whether orders may be sent under a grant.
func (g *Gate) Open(grant string) bool {
	return !g.get(grant).closed
}

// get returns the record of a grant.
func (g *Gate) get(grant string) *sends {
	s := g.grants[grant]
	if s == nil {
		s = &sends{}
		g.grants[grant] = s
	}
	return s
}

// Begin tells whether an order may be sent under a grant; End must follow.
func (g *Gate) Begin(grant string) bool {
	s := g.get(grant)
	if s.closed {
		return false
	}
	s.running++
	return true
}

// End notes the end of a send; answered tells whether the engine answered or the
// order cannot have reached it.
func (g *Gate) End(grant string, answered bool, now time.Time) {
	s := g.get(grant)
	s.running--
	if quiet := now.Add(g.lifetime); !answered && quiet.After(s.quiet) {
		s.quiet = quiet
	}
}

// Void closes a grant for ever and tells whether nothing that this VM sent under
// it can still arrive.
func (g *Gate) Void(grant string, now time.Time) bool {
	s := g.get(grant)
	s.closed = true
	if !s.own && now.Sub(g.start) < g.lifetime {
		return false
	}
	return s.running == 0 && !now.Before(s.quiet)
}

// Prune forgets grants under which nothing can still arrive, and which used tells
// are the current grant of no row that the process has read. A grant is closed
// only after a row with a newer one was written, so that no later read shows it
// as the current one again.
func (g *Gate) Prune(used func(grant string) bool, now time.Time) {
	if now.Sub(g.start) < g.lifetime {
		return
	}
	for id, s := range g.grants {
		if s.running == 0 && !now.Before(s.quiet) && !used(id) {
			delete(g.grants, id)
		}
	}
}
