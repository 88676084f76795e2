package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// candidate is a server that may receive a call.
type candidate struct {
	server *server
	load   float64
	pace   float64
}

// Choose returns the server for a call: the least loaded of the usable servers or, if
// its load is nearly as low, the one that prefilled the call's prompt parts before or
// one in the data centre of this daemon. Servers that are excluded for a time, because
// they did not answer or were full, are used only if no other server can answer the call. Servers
// that want no calls for a time are not used before its end.
//
// Load counts are old, and many daemons choose by the same counts. To keep the daemons
// from sending all their calls to one server, the choice among servers with similar load
// differs between daemons, and calls sent since a server's last report are added to its
// load.
func (b *Balancer) Choose(c *Call, now time.Time) Choice {
	usable := b.usable(c, now)
	withModel := b.withModel(usable, c, now)
	if len(withModel) == 0 {
		return b.choiceWithoutServer(c, len(usable) > 0, now)
	}
	within := b.bearing(c.Service, c.Model != "", b.withinLimits(withModel, now), now)
	if len(within) == 0 {
		return Choice{Verdict: Full, RetryAfter: b.RetryAfterEnd(now.Add(max(tokenDelay(withModel), minRetryAfter)), now)}
	}
	list := make([]candidate, 0, len(within))
	for _, s := range within {
		if b.hasRoom(s, c, now) {
			list = append(list, candidate{server: s, load: b.load(s, now), pace: s.pace.at(now)})
		}
	}
	if len(list) == 0 {
		return b.ChoiceWhenFull(c, now)
	}
	list = b.near(c.Service, list)
	minLoad := list[0].load
	for _, l := range list {
		minLoad = min(minLoad, l.load)
	}
	best := b.pick(list, minLoad, c)
	s := best.server
	age := time.Duration(-1)
	if !s.reportedAt.IsZero() {
		age = now.Sub(s.reportedAt)
	}
	return Choice{Verdict: Chosen, Server: s.entry, Load: best.load, Age: age, Pending: b.pending(s, now) + 1}
}

// choiceWithoutServer returns the choice for a call that no usable server can answer. usable is
// whether there are usable servers, which then lack the model.
func (b *Balancer) choiceWithoutServer(c *Call, usable bool, now time.Time) Choice {
	if end := b.backoffEnd(c, now); !end.IsZero() {
		return Choice{Verdict: NoServer, RetryAfter: b.RetryAfterEnd(end, now)}
	}
	verdict := NoServer
	if usable {
		verdict = NotLoaded
	}
	return Choice{Verdict: verdict, RetryAfter: b.retryAfter(c, now)}
}

// Loaded reports whether a usable server holds the call's model and adapter.
func (b *Balancer) Loaded(c *Call, now time.Time) bool {
	return len(b.withModel(b.usable(c, now), c, now)) > 0
}

// ChoiceWhenFull returns the choice for a call that no engine has room for.
func (b *Balancer) ChoiceWhenFull(c *Call, now time.Time) Choice {
	return Choice{Verdict: Full, RetryAfter: b.retryAfterFull(c, now)}
}

// usable returns the servers of the call's service that the call may be sent to. Servers
// that are excluded for a time are returned only if no other server can answer the call.
func (b *Balancer) usable(c *Call, now time.Time) []*server {
	list := b.byService[c.Service]
	healthy := make([]*server, 0, len(list))
	var excluded []*server
	for _, s := range list {
		if !s.takes(c) || s.inBackoff(now) {
			continue
		}
		if s.isExcluded(now) {
			excluded = append(excluded, s)
			continue
		}
		healthy = append(healthy, s)
	}
	if c.Model != "" {
		// A healthy server that lacks the model can't replace an excluded one that holds it.
		if slices.ContainsFunc(healthy, func(s *server) bool { return b.answers(s, c, now) }) {
			return healthy
		}
		return append(healthy, excluded...)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return excluded
}

// takes reports whether the server takes calls, the call may run at its software version, and was not sent to
// it before.
func (s *server) takes(c *Call) bool {
	return s.entry.State == layout.Ready && s.runs(c) && !slices.Contains(c.Tried, s.entry.ID)
}

// runs reports whether the server has the software version that the call needs.
func (s *server) runs(c *Call) bool { return !c.PinsSoftware || s.entry.Software == c.Software }

// RunsEverywhere reports whether all servers of the call's service that take calls have the software version that the
// call needs.
func (b *Balancer) RunsEverywhere(c *Call) bool {
	for _, s := range b.byService[c.Service] {
		if s.entry.State == layout.Ready && !s.runs(c) {
			return false
		}
	}
	return true
}

// isExcluded reports whether the server gets no calls for a time because it did not
// answer, was full or wants none.
func (s *server) isExcluded(now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.fullUntil) || s.inBackoff(now)
}

// lacksModel reports whether the server recently answered that it lacks the call's model
// or adapter.
func (s *server) lacksModel(c *Call, now time.Time) bool {
	return now.Before(s.missingUntil[c.Model+"/"+c.Adapter])
}

// withModel returns the servers of list that hold the call's model and adapter.
func (b *Balancer) withModel(list []*server, c *Call, now time.Time) []*server {
	if c.Model == "" {
		return list
	}
	withModel := make([]*server, 0, len(list))
	for _, s := range list {
		if b.answers(s, c, now) {
			withModel = append(withModel, s)
		}
	}
	return withModel
}

// answers reports whether a server holds the call's model and adapter.
func (b *Balancer) answers(s *server, c *Call, now time.Time) bool {
	return b.HoldsModel(s.entry, c.Model, c.Adapter) && !s.lacksModel(c, now)
}

// HoldsModel reports whether a server holds a model and, unless adapter is empty, that adapter
// of the model. A model that is about to be unloaded does not count.
func (b *Balancer) HoldsModel(e *layout.Server, model, adapter string) bool {
	held, ok := e.Models[model]
	if !ok || b.unloading[e.ID][model] {
		return false
	}
	if adapter == "" {
		return true
	}
	if loaded, ok := b.adapters[e.ID]; ok {
		return loaded[model+"/"+adapter]
	}
	return slices.Contains(held.Adapters, adapter)
}

// load returns the estimated calls per slot at a server, which count for more at a slow one, plus a penalty for failures.
func (b *Balancer) load(s *server, now time.Time) float64 {
	slots := max(s.entry.Slots, 1)
	return b.inFlight(s, now)/float64(slots)*max(s.pace.at(now), 1) + s.failureRate*failurePenalty
}

// pick returns the highest-ranked of the candidates whose load is close to minLoad.
func (b *Balancer) pick(list []candidate, minLoad float64, c *Call) candidate {
	slack := localSlack
	if c.Session != 0 {
		slack = affinitySlack
	}
	var best candidate
	var bestRank uint64
	for _, l := range list {
		if l.load > minLoad+slack {
			continue
		}
		rank := b.rank(l.server, l.pace, c)
		if best.server == nil || rank > bestRank {
			best, bestRank = l, rank
		}
	}
	return best
}

// rank returns the rank of a server for a call; the highest wins. Calls with a session
// use rendezvous hashing. For other calls the servers of the daemon's data centre rank
// highest, in random order.
func (b *Balancer) rank(s *server, pace float64, c *Call) uint64 {
	if c.Session != 0 {
		var d xxhash.Digest
		d.ResetWithSeed(c.Session)
		// Writes to a Digest never fail.
		_, _ = d.WriteString(s.entry.ID)
		return pacedRank(d.Sum64(), pace)
	}
	r := pacedRank(b.random.Uint64(), pace) >> 1
	if s.entry.DataCentre == b.settings.DataCentre {
		r |= 1 << 63
	}
	return r
}

const (
	// minRetryAfter and maxRetryAfter limit the retry delay that is sent to a refused
	// caller, before jitter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// retryAfter returns the retry delay for a refused caller: the time until the first
// excluded server is used again, with jitter so that callers don't return all at once.
func (b *Balancer) retryAfter(c *Call, now time.Time) time.Duration {
	delay := maxRetryAfter
	for _, s := range b.byService[c.Service] {
		for _, until := range []time.Time{s.ejectedUntil, s.fullUntil} {
			if wait := until.Sub(now); wait > 0 {
				delay = min(delay, wait)
			}
		}
	}
	return b.jitter(delay, c, now)
}

// retryAfterFull returns the retry delay for a caller that no engine has room for. New
// replicas of a model take some seconds to load.
func (b *Balancer) retryAfterFull(c *Call, now time.Time) time.Duration {
	return b.jitter(maxRetryAfter, c, now)
}

// jitter caps a delay at a quarter of the call's remaining time, raises it to at least
// minRetryAfter, and randomizes it by up to half in both directions, but to no more than
// maxRetryShare of the remaining time.
func (b *Balancer) jitter(delay time.Duration, c *Call, now time.Time) time.Duration {
	left := c.Deadline.Sub(now)
	delay = max(min(delay, left/4), minRetryAfter)
	delay = delay/2 + time.Duration(b.random.Int64N(int64(delay)))
	return max(min(delay, time.Duration(maxRetryShare*float64(left))), minRetryAfter/2)
}
