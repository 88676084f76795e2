package sched

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// blockShare is the part of a stream's longest pause for which an engine may read
	// prompts without a gap, blockGap the gap: an engine makes a token in it.
	blockShare = 0.5
	blockGap   = 20 * time.Millisecond
	// nearStart is the difference between the starts at two engines within which the
	// one that knows the call's session is taken: about the time that a kept part of
	// a prompt saves.
	nearStart = 25 * time.Millisecond
	// lateBacklog is the backlog of an engine, in parts of the tightest expectation of
	// its service, up to which it takes calls that are late already.
	lateBacklog = 0.1
	// relaxedBacklog is the same for calls that have more time than others and are not the
	// most urgent, urgentBacklog for those with the tightest expectation, and firstBacklog
	// for the most urgent ones, which so go before the others.
	relaxedBacklog = 0.5
	urgentBacklog  = 0.85
	firstBacklog   = 1.1
	// askAgainLeast and askAgainMost bound the time after which a call asks again that
	// got no time of an engine.
	askAgainLeast = 60 * time.Millisecond
	askAgainMost  = 300 * time.Millisecond
)

// Ask asks for time of an engine that reads a call's prompt.
type Ask struct {
	// Asks are sent for every call, so names are left out.
	_msgpack                struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Service, Model, Adapter string
	// Tokens is the size of the prompt.
	Tokens  int
	Session uint64
	// Within is how late the engine may begin for the answer to be in time; 0 if the
	// call is late already.
	Within time.Duration
	// Pause is the longest pause of a stream that is on time.
	Pause time.Duration
	// Tightest is the shortest expectation of the routes that lead to the service.
	Tightest time.Duration
	// First tells that no calls of the service are more urgent.
	First bool
	// Not are the servers that the call was sent to before, or that its daemon can't use.
	Not []string
}

// Demands are what the streams of a service demand at most.
type Demands struct {
	// Tightest is the shortest expectation, First the priority of the most urgent ones.
	Tightest time.Duration
	First    int
}

// Grant answers an Ask.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Verdict  Verdict
	Server   string
	// After is how long to wait before the call is sent, or before it asks again.
	After time.Duration
	// Alone tells that the engine had no other prompt to read, by what was granted.
	Alone bool
}

// Ask returns the ask for a call. It leaves out servers that this daemon found not to
// answer, to have no room or to lack the model.
func (b *Book) Ask(c *Call, d Demands, now time.Time) Ask {
	within := inTime(c) - now.Sub(c.Arrived)
	if c.Resumes() {
		// Its caller has a part of the answer, and waits less long for the rest.
		within = time.Duration(urgentBacklog * float64(d.Tightest))
	}
	not := slices.Clone(c.Tried)
	for _, s := range b.service[c.Service] {
		if s.leftOut(now) || s.lacks(c, now) {
			not = append(not, s.entry.ID)
		}
	}
	return Ask{
		Service: c.Service, Model: c.Model, Adapter: c.Adapter, Tokens: c.PromptTokens, Session: c.Session,
		Within: max(within, 0), Pause: c.Route.MaxPause, Tightest: d.Tightest,
		First: c.Route.Priority <= d.First, Not: not,
	}
}

// Reserve gives an ask the time of the engine that can begin first, for all daemons of a
// deployment. An engine reads one prompt after the other, and only a part of the time if
// streams pause too long otherwise.
//
// It answers bursts that many daemons spread over few replicas: no two of them choose the
// same idle engine, and prompts that would come at once are sent one by one, so that
// streams which run are not held up. Calls with a tight expectation may wait for as long
// as it allows; others leave them room, and late ones take what is left.
func (b *Book) Reserve(a *Ask, now time.Time) Grant {
	c := &Call{Service: a.Service, Model: a.Model, Adapter: a.Adapter, Tried: a.Not, Until: now, Route: &layout.Route{}}
	usable := b.usable(c, now)
	if len(usable) == 0 {
		return Grant{Verdict: NoServer}
	}
	holding := b.holding(usable, c, now)
	if len(holding) == 0 {
		return Grant{Verdict: NotLoaded}
	}
	var best *server
	var start time.Time
	var rank uint64
	read := time.Duration(float64(b.speeds.read(a.Service, a.Model, a.Tokens)) / b.shares.of(a.Service))
	for _, s := range holding {
		at := s.free(read, a.Pause, now)
		if s.entry.Slots > 0 && b.calls(s, now) >= float64(s.entry.Slots) {
			at = at.Add(askAgainMost)
		}
		r := b.reserveRank(s, a)
		near := best != nil && at.Sub(start).Abs() <= nearStart
		if best == nil || near && r > rank || !near && at.Before(start) {
			best, start, rank = s, at, r
		}
	}
	wait := start.Sub(now)
	if most := a.most(); wait > most {
		return Grant{Verdict: Full, After: min(max(wait-most, askAgainLeast), askAgainMost)}
	}
	best.book(start, read)
	return Grant{Verdict: Chosen, Server: best.entry.ID, After: wait, Alone: wait == 0}
}

// free returns when an engine can begin to read a prompt that takes a time. Prompts that
// follow each other for longer than blockShare of a stream's longest pause are kept apart
// from the next ones by a gap, in which the streams that run get on.
func (s *server) free(read, pause time.Duration, now time.Time) time.Time {
	switch {
	case !s.booked.After(now):
		return now
	case pause > 0 && s.booked.Add(read).Sub(s.block) > time.Duration(blockShare*float64(pause)):
		return s.booked.Add(blockGap)
	}
	return s.booked
}

// book takes time of an engine from a start on.
func (s *server) book(start time.Time, read time.Duration) {
	if start.After(s.booked) {
		s.block = start
	}
	s.booked = start.Add(read)
}

// most is how long the call may wait for its engine to begin.
func (a *Ask) most() time.Duration {
	share := urgentBacklog
	switch {
	case a.Within <= 0:
		share = lateBacklog
	case a.First:
		share = firstBacklog
	case a.Within > a.Tightest:
		share = relaxedBacklog
	}
	most := time.Duration(share * float64(a.Tightest))
	if a.Within > 0 {
		most = min(most, a.Within)
	}
	return most
}

// reserveRank orders engines that can begin at nearly the same time.
func (b *Book) reserveRank(s *server, a *Ask) uint64 {
	if a.Session != 0 {
		return b.rank(s, &Call{Session: a.Session})
	}
	return b.random.Uint64()
}

// Granted returns the choice that a grant stands for; NoServer if this daemon can't use
// the server.
func (b *Book) Granted(g Grant, c *Call, now time.Time) Choice {
	s := b.servers[g.Server]
	if g.Verdict != Chosen {
		return Choice{Verdict: g.Verdict}
	}
	if s == nil || s.entry.State != layout.Ready || s.leftOut(now) || s.lacks(c, now) {
		return Choice{Verdict: NoServer}
	}
	return Choice{Verdict: Chosen, Server: s.entry, Load: b.load(s, now), Age: now.Sub(b.sharedAt), Pending: b.pending(s, now) + 1, Alone: g.Alone}
}

// Streamed notes how many streams of a service ended, and how many of them had too long a
// pause.
func (b *Book) Streamed(service string, streams, paused int) {
	b.shares.add(service, streams, paused)
}

// Learn notes how long an engine that had no other prompt took to a first event.
func (b *Book) Learn(s Sample) { b.speeds.add(s) }

// PerToken returns the time that engines take to read a token of a model's prompts.
func (b *Book) PerToken(service, model string) time.Duration {
	return time.Duration(b.speeds.perToken(service, model))
}
