package sched

import (
	"slices"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

const (
	// blockShare is the part of a stream's longest allowed pause for which an engine may
	// prefill prompts without a gap. blockGap is the length of the gap, in which an engine
	// generates a token.
	blockShare = 0.5
	blockGap   = 20 * time.Millisecond
	// similarStart is the difference between the start times at two engines up to which the
	// engine with affinity to the call's session is preferred: about the time that a cached
	// prompt part saves.
	similarStart = 25 * time.Millisecond
	// lateBacklog is the backlog of an engine up to which it accepts calls that are already
	// late, as a part of the shortest expectation of its service.
	lateBacklog = 0.1
	// relaxedBacklog is the same for calls that have more time than others and don't have the
	// highest priority, urgentBacklog for calls with the shortest expectation, and
	// topPriorityBacklog for calls with the highest priority and those that continue an answer, which can therefore start
	// before the others.
	relaxedBacklog     = 0.5
	urgentBacklog      = 0.85
	topPriorityBacklog = 1.1
	// minAskDelay and maxAskDelay limit the time after which a call that got no reservation
	// asks again.
	minAskDelay = 60 * time.Millisecond
	maxAskDelay = 300 * time.Millisecond
)

// ReservationRequest requests a reservation of an engine's time for the prefill of a call's
// prompt.
type ReservationRequest struct {
	// A ReservationRequest is sent for every call, so it is encoded as an array, without
	// field names.
	_msgpack                struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Service, Model, Adapter string
	// Tokens is the size of the prompt.
	Tokens  int
	Session uint64
	// MaxStartDelay is the latest start of the prefill, counted from now, with which the answer
	// is still in time; 0 if the call is already late.
	MaxStartDelay time.Duration
	// MaxPause is the longest pause between events of a stream that is on time.
	MaxPause time.Duration
	// ShortestExpectation is the shortest expectation of the routes that lead to the service.
	ShortestExpectation time.Duration
	// IsTopPriority reports whether no calls of the service have a higher priority, or whether the call continues an answer.
	IsTopPriority bool
	// Excluded are the IDs of the servers that the call was sent to before or that its daemon
	// can't use.
	Excluded []string
	// Level is the number of priority levels between the call and the most urgent calls of the service, plus 1; 0 if
	// the build of the daemon does not state it.
	Level int
	// Waited is the time since the call arrived, Resumes whether it continues an answer.
	Waited  time.Duration
	Resumes bool
	// DataCentre is the data centre of the caller's daemon; empty from older builds.
	DataCentre string
	// Organisation is the caller's organisation; empty if the call needs none. Charge is what the call counts as in the
	// organisation's quota, which is charged if the verdict is Chosen; 0 if it has none. An Unconditional charge is for a
	// further send of a call, which is not refused for it. A request without a Service is for the charge only: the
	// daemon chooses the server.
	Organisation  string
	Charge        float64
	Unconditional bool
}

// Requirements are the strictest requirements of the stream routes that lead to a service.
type Requirements struct {
	// ShortestExpectation is the shortest expectation, TopPriority the priority of the most
	// urgent calls.
	ShortestExpectation time.Duration
	TopPriority         int
}

// Reservation is the answer to a ReservationRequest. The Verdict is Chosen if the engine's
// time is reserved. The daemon chooses the server if the verdict is Chosen without a Server.
type Reservation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Verdict  Verdict
	Server   string
	// Delay is how long to wait before the call is sent, or before it asks again.
	Delay time.Duration
	// Exclusive reports whether, by the reservations, the engine has no other prompt to
	// prefill.
	Exclusive bool
	// CapacityIn is the estimated time until there is capacity for a call that finds none; 0 if it is not known.
	CapacityIn time.Duration
	// Charged reports whether the quota of the organisation was charged. Lease holders of builds without quotas don't
	// charge.
	Charged bool
}

// NewReservationRequest returns the reservation request for a call. It excludes servers
// that this daemon found to be unreachable, to have no room, to lack the model or to have another software
// version than the call needs.
func (b *Balancer) NewReservationRequest(c *Call, d Requirements, now time.Time) ReservationRequest {
	within := onTimeLimit(c) - now.Sub(c.Arrived)
	if c.Resumes() {
		// The caller has a part of the answer, and waits less long for the rest than for a
		// first event.
		within = time.Duration(topPriorityBacklog * float64(d.ShortestExpectation))
	}
	within = slotWait(c, within, now)
	exclude := slices.Clone(c.Tried)
	for _, s := range b.byService[c.Service] {
		if s.isExcluded(now) || s.lacksModel(c, now) || !s.runs(c) {
			exclude = append(exclude, s.entry.ID)
		}
	}
	return ReservationRequest{
		Service: c.Service, Model: c.Model, Adapter: c.Adapter, Tokens: c.PromptTokens, Session: c.Session,
		MaxStartDelay: max(within, 0), MaxPause: c.Route.MaxPause, ShortestExpectation: d.ShortestExpectation,
		IsTopPriority: c.Resumes() || c.Priority() <= d.TopPriority, Excluded: exclude,
		Level: max(c.Priority()-d.TopPriority, 0) + 1, Waited: now.Sub(c.Arrived), Resumes: c.Resumes(),
		DataCentre:   b.settings.DataCentre,
		Organisation: c.organisation(),
	}
}

// Reserve grants the request of any daemon of the deployment a reservation at the engine that
// can start the prefill first. Among engines whose starts differ by at most similarStart,
// the one with the highest reservationRank is preferred. An engine whose slots are all in
// use counts as able to start maxAskDelay later. An engine prefills one prompt after the
// other, and spends only a part of its time on prefill if its streams would otherwise pause
// for too long. An engine with a limit of requests gets no more reservations than its limit.
//
// Without reservations, many daemons that send a burst to few replicas would choose the
// same idle engine. Reservations spread such calls over the engines and send their prompts
// one by one, so that running streams are not delayed. By the reservations, an engine then reads no other prompt beside one
// that had to wait either. Such a call counts as exclusive at times: if all of the engines' time is reserved by an estimate
// that is too long, no other call would show it. maxWait limits how long a call may
// wait: calls of the highest priority or with the shortest expectation may wait for about
// as long as the shortest expectation, calls with more time only for a smaller part of the
// shortest expectation, which leaves engine time for urgent calls, and calls that are
// already late only for a tenth.
func (b *Balancer) Reserve(a *ReservationRequest, now time.Time) Reservation {
	c := &Call{Service: a.Service, Model: a.Model, Adapter: a.Adapter, Tried: a.Excluded, Deadline: now, Route: &layout.Route{}}
	usable := b.usable(c, now)
	if len(usable) == 0 {
		return Reservation{Verdict: NoServer}
	}
	withModel := b.withModel(usable, c, now)
	if len(withModel) == 0 {
		return Reservation{Verdict: NotLoaded}
	}
	if a.Model == "" {
		return b.reservePlain(a, withModel, now)
	}
	var best *server
	var start, expected time.Time
	var length time.Duration
	var rank uint64
	prefersNear, near := b.prefersNear(a.Service, a.DataCentre), false
	prompt := b.prefillSpeeds.prefillTime(a.Service, a.Model, a.Tokens)
	prefillTime := time.Duration(float64(prompt) / b.prefillShares.of(a.Service))
	d := b.demandOf(a, now)
	maxWait := a.maxWait(b.firstEventTime(a, prefillTime), d)
	for _, s := range b.bearing(a.Service, true, withModel, now) {
		if !s.mayGrant(a.IsTopPriority, now) {
			continue
		}
		pace := s.pace.at(now)
		paced := time.Duration(float64(prompt) * pace / b.prefillShares.ofEngine(a.Service, pace))
		at := s.earliestStart(paced, a.MaxPause, now).Add(b.slotDelay(s, now))
		// An engine that needs longer for the prompt counts as starting later.
		from := at.Add(paced - prefillTime)
		r := b.reservationRank(s, a)
		if b.mayTry(s, a, pace, now) && from.Sub(now) <= maxWait {
			best, start, expected, length = s, at, from, paced
			break
		}
		if isNear := prefersNear && s.isNear(a, from.Sub(now), maxWait); isNear != near {
			if near {
				continue
			}
			best, near = nil, true
		}
		similar := best != nil && from.Sub(expected).Abs() <= similarStart
		if best == nil || similar && r > rank || !similar && from.Before(expected) {
			best, start, expected, length, rank = s, at, from, paced, r
		}
	}
	if best == nil {
		return Reservation{Verdict: Full, Delay: min(max(tokenDelay(withModel), minAskDelay), maxAskDelay)}
	}
	if late := expected.Sub(now) - maxWait; late > 0 {
		d.record(a, false)
		return Reservation{Verdict: Full, Delay: min(max(late, minAskDelay), maxAskDelay), CapacityIn: d.capacityIn(expected.Sub(now), maxWait)}
	}
	wait := start.Sub(now)
	exclusive := wait == 0 || now.Sub(best.sampledAt) >= sampleInterval
	if exclusive {
		best.sampledAt = now
	}
	d.record(a, true)
	best.reserve(start, length)
	best.takeToken(now)
	b.recordGrant(best, now)
	return Reservation{Verdict: Chosen, Server: best.entry.ID, Delay: wait, Exclusive: exclusive}
}

// slotDelay returns how much later an engine starts a reservation because all its slots are in use.
func (b *Balancer) slotDelay(s *server, now time.Time) time.Duration {
	if s.entry.Slots > 0 && b.inFlight(s, now) >= float64(s.entry.Slots) {
		return maxAskDelay
	}
	return 0
}

// earliestStart returns when an engine can start a reservation of a given length. A run of
// reservations without a gap takes at most blockShare of a stream's longest allowed pause,
// unless a single reservation is longer; a gap of blockGap follows, in which running streams
// make progress.
func (s *server) earliestStart(length, pause time.Duration, now time.Time) time.Time {
	switch {
	case !s.reservedUntil.After(now):
		return now
	case pause > 0 && s.reservedUntil.Add(length).Sub(s.blockStart) > time.Duration(blockShare*float64(pause)):
		return s.reservedUntil.Add(blockGap)
	}
	return s.reservedUntil
}

// reserve records a reservation of an engine's time.
func (s *server) reserve(start time.Time, length time.Duration) {
	if start.After(s.reservedUntil) {
		s.blockStart = start
	}
	s.reservedUntil = start.Add(length)
}

// maxWait returns how long the call may wait for its reservation to start: a part of the
// service's shortest expectation that depends on the urgency of the call, but no longer
// than MaxStartDelay and latestStart unless the call is already late. firstEvent is the time
// from the start to the first event.
func (a *ReservationRequest) maxWait(firstEvent time.Duration, d *demand) time.Duration {
	latest := a.MaxStartDelay
	if d.ordered && !a.Resumes {
		latest = min(latest, a.latestStart(firstEvent))
	}
	share := lateBacklog
	switch {
	case latest > 0:
		share = a.backlog(d)
	case d.isShort():
		// Calls that can be on time use all but idle engines.
		share = 0
	}
	maxWait := time.Duration(share * float64(a.ShortestExpectation))
	if latest > 0 {
		maxWait = min(maxWait, latest)
	}
	return maxWait
}

// reservationRank ranks engines that can start at a similar time; the highest wins. The
// rank follows the session of the call, or is random for calls without a session.
func (b *Balancer) reservationRank(s *server, a *ReservationRequest) uint64 {
	if a.Session != 0 {
		return b.rank(s, 1, &Call{Session: a.Session})
	}
	return b.random.Uint64()
}

// ChoiceFor converts a reservation to a choice of this daemon. The verdict is NoServer if
// this daemon can't use the reserved server.
func (b *Balancer) ChoiceFor(g Reservation, c *Call, now time.Time) Choice {
	s := b.servers[g.Server]
	if g.Verdict != Chosen {
		return Choice{Verdict: g.Verdict}
	}
	if s == nil || s.entry.State != layout.Ready || s.isExcluded(now) || s.lacksModel(c, now) || !s.runs(c) {
		return Choice{Verdict: NoServer}
	}
	return Choice{Verdict: Chosen, Server: s.entry, Load: b.load(s, now), Age: now.Sub(b.sharedAt), Pending: b.pending(s, now) + 1, Exclusive: g.Exclusive}
}

// RecordStreams records how many streams of a service ended, and how many of these paused for
// too long.
func (b *Balancer) RecordStreams(service string, streams, paused int) {
	b.prefillShares.add(service, b.ordersByValue(service), streams, paused)
}

// PrefillEstimate returns the time that engines of a service take to prefill one token, and the share of their time
// that may be reserved for prefill.
func (b *Balancer) PrefillEstimate(service string) (perToken time.Duration, share float64) {
	return time.Duration(b.prefillSpeeds.perToken(service, "")), b.prefillShares.of(service)
}

// RecordSample records how long an engine that had no other prompt took to a first event.
func (b *Balancer) RecordSample(s Sample, now time.Time) {
	if s.Model == "" {
		b.recordPlain(s, now)
		return
	}
	s.Took = b.recordEngineTime(s, now)
	b.recordDelay(s)
	b.prefillSpeeds.setOrdered(s, b.ordersByValue(s.Service))
	b.prefillSpeeds.add(s, now)
}

// PrefillTimePerToken returns the time that engines take to prefill one token of a model's
// prompts.
func (b *Balancer) PrefillTimePerToken(service, model string) time.Duration {
	return time.Duration(b.prefillSpeeds.perToken(service, model))
}
