package sched

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant in which demand is forgotten.
	demandWindow = 2 * time.Second
	// demandRanks is the number of ranks by which demand is counted. A rank comprises calls whose value per work
	// differs by a factor of up to the square root of two.
	demandRanks = 24
	// stepWork is the work of a call beside its prompt, in tokens: its part of decoding steps.
	stepWork = 200
	// minRefused is the part of the urgent work that is refused for lack of time from which on there is a shortage.
	minRefused = 0.01
	// leastBacklog is the backlog of an engine, as a part of the shortest expectation, up to which it accepts calls
	// on time that are worth the least. It keeps engines busy, and no kind of call is without service.
	leastBacklog = 0.1
	// shortBacklog is the most for calls without the highest priority under a shortage.
	shortBacklog = 0.5
	// agedBacklog is the least for a call that had more time than others and has little left: it was moved to a later
	// time, but not behind all others.
	agedBacklog = 0.5
	// agedLeft is the time left, as a multiple of the shortest expectation, from which on a call has little left.
	agedLeft = 1.5
	// excessSlope is the inverse of the excess from which on a call accepts leastBacklog only.
	excessSlope = 6
)

// demand is the recent demand for one model: decayed sums of prompt work.
type demand struct {
	at time.Time
	// ordered is whether calls are ordered by value under a shortage.
	ordered bool
	// asked is the work of the calls that asked for the first time, by rank, the most valuable ones first.
	asked [demandRanks]float64
	// granted is the work of granted calls, refused that of calls without time to wait that were refused.
	granted, refused, total float64
	// all counts the calls of organisations, organisations those of each.
	all           counts
	organisations map[string]*counts
}

// work returns the work of a call, in tokens.
func (a *ReservationRequest) work() float64 { return float64(max(a.Tokens, 0)) + stepWork }

// rank returns the rank of a call by its value per work, 0 for the most valuable calls. Each priority level counts as
// half the value of the one before it.
func (a *ReservationRequest) rank() int {
	level := max(a.Level-1, 0)
	if a.Level == 0 && !a.IsTopPriority {
		// A build without levels states only whether the call has the highest priority.
		level = 1
	}
	return min(max(int(2*(math.Log2(a.work()/stepWork)+float64(level))), 0), demandRanks-1)
}

// decay forgets old demand.
func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.at)
	if passed <= 0 {
		return
	}
	d.at = now
	f := math.Exp(-float64(passed) / float64(demandWindow))
	for i := range d.asked {
		d.asked[i] *= f
	}
	d.granted, d.refused, d.total = d.granted*f, d.refused*f, d.total*f
}

// isShort reports whether there is too little capacity: calls that can't wait were refused.
func (d *demand) isShort() bool { return d.ordered && d.refused > minRefused*d.total }

// excess returns by how much the demand of a call's rank and of more valuable ones exceeds what is granted: 0 if all of
// it can be granted, 1 for the least valuable calls.
func (d *demand) excess(rank int) float64 {
	if !d.isShort() {
		return 0
	}
	before, all := 0.0, 0.0
	for i, w := range d.asked {
		all += w
		if i < rank {
			before += w
		}
	}
	upTo := before + d.asked[rank]/2
	if upTo <= d.granted || all <= d.granted {
		return 0
	}
	return (upTo - d.granted) / (all - d.granted)
}

// backlog returns the backlog of an engine up to which it accepts the call, as a part of the shortest expectation.
//
// Without a shortage, or for calls that fit into what is granted, it is the usual one. Calls beyond that accept the less
// backlog the less they are worth for their work, so that more valuable calls find time before their objective.
func (a *ReservationRequest) backlog(d *demand) float64 {
	usual := urgentBacklog
	relaxed := a.MaxStartDelay > a.ShortestExpectation
	switch {
	case a.IsTopPriority:
		usual = topPriorityBacklog
	case relaxed:
		usual = relaxedBacklog
	}
	if d == nil || !d.isShort() || a.Resumes {
		return usual
	}
	if !a.IsTopPriority {
		usual = min(usual, shortBacklog)
	}
	if d.isNeglected(a) {
		return usual
	}
	least := usual - min(excessSlope*d.excess(a.rank()), 1)*max(usual-leastBacklog, 0)
	if a.Waited > 0 && a.MaxStartDelay <= time.Duration(agedLeft*float64(a.ShortestExpectation)) && a.MaxStartDelay+a.Waited > time.Duration(agedLeft*float64(a.ShortestExpectation)) {
		return max(least, agedBacklog)
	}
	return least
}

// ordersByValue reports whether the calls of a service are ordered by value under a shortage. Services whose servers
// report no pace are served as before.
func (b *Balancer) ordersByValue(service string) bool {
	return b.settings.OrderByValue || b.paced[service]
}

// demandOf returns the demand for a model, decayed to now.
func (b *Balancer) demandOf(a *ReservationRequest, now time.Time) *demand {
	key := modelKey{a.Service, a.Model}
	d := b.demands[key]
	if d == nil {
		d = &demand{at: now}
		b.demands[key] = d
	}
	d.decay(now)
	d.ordered = b.ordersByValue(a.Service)
	return d
}

// record adds the answer to a request.
func (d *demand) record(a *ReservationRequest, granted bool) {
	d.recordOrganisation(a, granted)
	w := a.work()
	if a.Waited <= firstAsk {
		d.asked[a.rank()] += w
	}
	if a.MaxStartDelay > 0 && a.MaxStartDelay <= a.ShortestExpectation {
		d.total += w
		if !granted {
			d.refused += w
		}
	}
	if granted {
		d.granted += w
	}
}

// firstAsk is the time after the arrival up to which a request counts as the first one of its call.
const firstAsk = 20 * time.Millisecond

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }
