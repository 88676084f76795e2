package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// candidate is a server that may take a call.
type candidate struct {
	server *server
	load   float64
}

// Choose returns the server for a call: one that may take it and has the least
// load, or one with nearly as little that read the call's prompt parts before or is
// in the data centre of this daemon. Servers that failed lately are used only when
// there is no other.
//
// It answers a load that many daemons spread with old counts: the choice among
// equals differs from daemon to daemon, and own calls since a count are added to it.
func (b *Book) Choose(c *Call, now time.Time) Choice {
	usable := b.usable(c, now)
	if len(usable) == 0 {
		return Choice{Verdict: NoServer, Return: b.comeBack(c, now)}
	}
	holding := b.holding(usable, c, now)
	if len(holding) == 0 {
		return Choice{Verdict: NotLoaded, Return: b.comeBack(c, now)}
	}
	list := make([]candidate, 0, len(holding))
	for _, s := range holding {
		if b.room(s, c, now) {
			list = append(list, candidate{server: s, load: b.load(s, now)})
		}
	}
	if len(list) == 0 {
		return b.Busy(c, now)
	}
	least := list[0].load
	for _, l := range list {
		least = min(least, l.load)
	}
	best := b.among(list, least, c)
	s := best.server
	age := time.Duration(-1)
	if !s.toldAt.IsZero() {
		age = now.Sub(s.toldAt)
	}
	return Choice{Verdict: Chosen, Server: s.entry, Load: best.load, Age: age, Pending: b.pending(s, now) + 1}
}

// Loaded tells whether a server holds the call's model and adapter.
func (b *Book) Loaded(c *Call, now time.Time) bool {
	return len(b.holding(b.usable(c, now), c, now)) > 0
}

// Busy returns the choice for a call that no engine has room for.
func (b *Book) Busy(c *Call, now time.Time) Choice {
	return Choice{Verdict: Full, Return: b.comeBackFull(c, now)}
}

// usable are the servers of the call's service that it may be sent to: first those
// that answer, else those that are left out for failures.
func (b *Book) usable(c *Call, now time.Time) []*server {
	var sound, others []*server
	for _, s := range b.service[c.Service] {
		if s.entry.State != layout.Ready || slices.Contains(c.Tried, s.entry.ID) {
			continue
		}
		if s.leftOut(now) {
			others = append(others, s)
			continue
		}
		sound = append(sound, s)
	}
	if c.Model != "" {
		// A sound server that lacks the model does not replace one that has it.
		if len(b.holding(sound, c, now)) > 0 {
			return sound
		}
		return append(sound, others...)
	}
	if len(sound) > 0 {
		return sound
	}
	return others
}

// leftOut tells whether a server gets no calls for a while, as it did not answer or was full.
func (s *server) leftOut(now time.Time) bool { return now.Before(s.ejected) || now.Before(s.full) }

// lacks tells whether a server said lately that it lacks the call's model or adapter.
func (s *server) lacks(c *Call, now time.Time) bool {
	return now.Before(s.refuses[c.Model+"/"+c.Adapter])
}

// holding are the servers that hold the call's model and adapter.
func (b *Book) holding(list []*server, c *Call, now time.Time) []*server {
	if c.Model == "" {
		return list
	}
	var holding []*server
	for _, s := range list {
		if b.Holds(s.entry, c.Model, c.Adapter) && !s.lacks(c, now) {
			holding = append(holding, s)
		}
	}
	return holding
}

// Holds tells whether a server is known to hold a model and, unless empty, an
// adapter of it, and is not about to unload the model.
func (b *Book) Holds(e *layout.Server, model, adapter string) bool {
	held, ok := e.Models[model]
	if !ok || b.closing[e.ID][model] {
		return false
	}
	if adapter == "" {
		return true
	}
	if known, ok := b.adapters[e.ID]; ok {
		return known[model+"/"+adapter]
	}
	return slices.Contains(held.Adapters, adapter)
}

// load returns the estimated calls at a server per slot.
func (b *Book) load(s *server, now time.Time) float64 {
	slots := max(s.entry.Slots, 1)
	return b.calls(s, now)/float64(slots) + s.failures*failurePenalty
}

// among picks one of the servers with nearly the least load.
func (b *Book) among(list []candidate, least float64, c *Call) candidate {
	slack := localSlack
	if c.Session != 0 {
		slack = affinitySlack
	}
	var best candidate
	var bestRank uint64
	for _, l := range list {
		if l.load > least+slack {
			continue
		}
		rank := b.rank(l.server, c)
		if best.server == nil || rank > bestRank {
			best, bestRank = l, rank
		}
	}
	return best
}

// rank orders servers for a call: by rendezvous hashing of its session, else those
// of the data centre first and at random.
func (b *Book) rank(s *server, c *Call) uint64 {
	if c.Session != 0 {
		var d xxhash.Digest
		d.ResetWithSeed(c.Session)
		// A digest takes every write, so there is no error.
		_, _ = d.WriteString(s.entry.ID)
		return d.Sum64()
	}
	r := b.random.Uint64() >> 1
	if s.entry.DataCentre == b.settings.DataCentre {
		r |= 1 << 63
	}
	return r
}

const (
	// returnLeast and returnMost bound the pause that a refused caller is told.
	returnLeast = 150 * time.Millisecond
	returnMost  = 3 * time.Second
)

// comeBack returns when a refused caller had best return: when the first server
// that is left out is used again, spread so that callers don't come back at once.
func (b *Book) comeBack(c *Call, now time.Time) time.Duration {
	pause := returnMost
	for _, s := range b.service[c.Service] {
		for _, until := range []time.Time{s.ejected, s.full} {
			if wait := until.Sub(now); wait > 0 {
				pause = min(pause, wait)
			}
		}
	}
	return b.spread(pause, c, now)
}

// comeBackFull returns when a caller had best return that no engine has room for. New
// replicas of a model are there after some seconds.
func (b *Book) comeBackFull(c *Call, now time.Time) time.Duration {
	return b.spread(returnMost, c, now)
}

// spread varies a pause, within the part of its time that a caller waits.
func (b *Book) spread(pause time.Duration, c *Call, now time.Time) time.Duration {
	pause = max(min(pause, c.Until.Sub(now)/4), returnLeast)
	return pause/2 + time.Duration(b.random.Int64N(int64(pause)))
}
