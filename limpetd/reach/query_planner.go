package reach

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
)

const (
	// seekTime is how long queries for a slot continue after the last RequestEngines.
	seekTime = 2 * time.Second
	// retainTime is how long the query times of a slot are kept after the last
	// RequestEngines.
	retainTime = 10 * time.Second
	// firstQueryWait is how long a slot counts as awaited before its first query
	// could be sent.
	firstQueryWait = 2 * time.Second
	// foundPeriod is the time between two queries for a slot to a data centre that
	// held it, missedPeriod that for other data centres. Up to 1/jitterDivisor of
	// it is added at random.
	foundPeriod   = 2 * time.Second
	missedPeriod  = 4 * time.Second
	jitterDivisor = 4
	// maxRequestedSlots is the maximum number of slots tracked; further slots are
	// ignored. maxQuerySlots is the maximum number of slots in a query.
	maxRequestedSlots = 512
	maxQuerySlots     = 16
)

// requestedSlot is a slot for which engines are being requested.
type requestedSlot struct {
	firstRequested, lastRequested time.Time
	// inFlight is the number of queries in flight; queried is whether any query
	// has been sent.
	inFlight int
	queried  bool
	// nextQuery is the earliest time of the next query, by data centre.
	nextQuery map[string]time.Time
}

// query asks a data centre which engines hold slots.
type query struct {
	dataCentre string
	slots      []envdoc.Slot
}

// queryPlanner decides which slots to query in which data centre, and when. It does
// no I/O and reads no clock.
type queryPlanner struct {
	random *rand.Rand
	slots  map[envdoc.Slot]*requestedSlot
	// inFlight is the set of data centres with a query in flight.
	inFlight map[string]bool
}

// newQueryPlanner returns a planner without slots. random provides the jitter and the
// order in which data centres are queried.
func newQueryPlanner(random *rand.Rand) *queryPlanner {
	return &queryPlanner{random: random, slots: make(map[envdoc.Slot]*requestedSlot), inFlight: make(map[string]bool)}
}

// seek adds slots or renews them, and reports whether all are tracked.
func (p *queryPlanner) seek(now time.Time, slots []envdoc.Slot) bool {
	allTracked := true
	for _, slot := range slots {
		s := p.slots[slot]
		if s == nil && len(p.slots) >= maxRequestedSlots {
			allTracked = false
			continue
		}
		if s == nil {
			s = &requestedSlot{firstRequested: now, nextQuery: make(map[string]time.Time)}
			p.slots[slot] = s
		}
		s.lastRequested = now
	}
	return allTracked
}

// nextQueries returns the queries that are due: at most one for each data centre
// without a query in flight, and at most slotBudget slots in total.
func (p *queryPlanner) nextQueries(now time.Time, centres []string, slotBudget int) []query {
	p.removeExpired(now)
	var queries []query
	for _, i := range p.random.Perm(len(centres)) {
		centre := centres[i]
		if p.inFlight[centre] || slotBudget <= 0 {
			continue
		}
		slots := p.takeDue(now, centre, min(slotBudget, maxQuerySlots))
		if len(slots) == 0 {
			continue
		}
		slotBudget -= len(slots)
		p.inFlight[centre] = true
		queries = append(queries, query{dataCentre: centre, slots: slots})
	}
	return queries
}

// takeDue returns up to limit slots that are due for a query to a data centre, longest
// overdue first. It marks them as in flight and sets the time of their next query.
func (p *queryPlanner) takeDue(now time.Time, centre string, limit int) []envdoc.Slot {
	var slots []envdoc.Slot
	for slot, s := range p.slots {
		if now.Sub(s.lastRequested) <= seekTime && !now.Before(s.nextQuery[centre]) {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(a, b envdoc.Slot) int {
		if order := p.slots[a].nextQuery[centre].Compare(p.slots[b].nextQuery[centre]); order != 0 {
			return order
		}
		return strings.Compare(a.String(), b.String())
	})
	slots = slots[:min(len(slots), max(limit, 0))]
	for _, slot := range slots {
		s := p.slots[slot]
		s.queried = true
		s.inFlight++
		s.nextQuery[centre] = now.Add(p.jitter(missedPeriod))
	}
	return slots
}

// jitter adds a random duration of up to period/jitterDivisor to a period.
func (p *queryPlanner) jitter(period time.Duration) time.Duration {
	return period + time.Duration(p.random.Int64N(int64(period/jitterDivisor)))
}

// finish records the end of a query and the slots that it found.
func (p *queryPlanner) finish(now time.Time, q query, found map[envdoc.Slot]bool) {
	delete(p.inFlight, q.dataCentre)
	for _, slot := range q.slots {
		s := p.slots[slot]
		if s == nil {
			continue
		}
		s.inFlight--
		if found[slot] {
			s.nextQuery[q.dataCentre] = now.Add(p.jitter(foundPeriod))
		}
	}
}

// awaited returns the slots for which an answer is still expected.
func (p *queryPlanner) awaited(now time.Time) map[envdoc.Slot]bool {
	var slots map[envdoc.Slot]bool
	for slot, s := range p.slots {
		if s.inFlight == 0 && (s.queried || now.Sub(s.firstRequested) > firstQueryWait) {
			continue
		}
		if slots == nil {
			slots = make(map[envdoc.Slot]bool)
		}
		slots[slot] = true
	}
	return slots
}

// removeExpired removes slots that have not been requested for retainTime and have no
// query in flight.
func (p *queryPlanner) removeExpired(now time.Time) {
	for slot, s := range p.slots {
		if s.inFlight == 0 && now.Sub(s.lastRequested) > retainTime {
			delete(p.slots, slot)
		}
	}
}
