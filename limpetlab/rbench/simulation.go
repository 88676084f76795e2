package rbench

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// eventKind is the kind of a simulation event.
type eventKind int

// Kinds of events.
const (
	eventArrival eventKind = iota
	eventReachEngine
	eventPromptDone
	eventFirstToken
	eventDone
	eventFailed
	eventTick
	eventPublishReports
	eventSetViews
)

// event is a scheduled event. Its kind determines which of request, engine, router
// and views are set; sequence orders events of the same time.
type event struct {
	at       time.Time
	sequence int
	kind     eventKind
	request  *request
	engine   *simulatedEngine
	router   int
	views    []*route.View
}

// events is a heap of events, ordered by time.
type events []event

var _ heap.Interface = (*events)(nil)

// Len returns the number of events.
func (h events) Len() int { return len(h) }

// Less orders events by time, then by the order in which they were scheduled.
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap swaps two events.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	// reportAge is the age of a report when it reaches the routers.
	reportAge = time.Second
	// reportPeriod is the time between two reports of an engine.
	reportPeriod = 200 * time.Millisecond
	// maxSends is the maximum number of attempts of a request.
	maxSends = 3
)

// router is a routing policy. A value stands for all routers of the cluster.
type router interface {
	// route handles a new request or one whose last attempt failed.
	route(s *simulation, req *request)
	// setViews passes the newest views of the engines, one for each data centre.
	setViews(s *simulation, views []*route.View)
	// tick handles an eventTick that the router with the number scheduled.
	tick(s *simulation, number int)
	// recordFirstToken is called when a request's first token arrives.
	recordFirstToken(s *simulation, req *request)
	// recordEnd is called when an attempt has ended, before a failed request is
	// routed again.
	recordEnd(s *simulation, req *request, failed bool)
}

// simulation is a discrete-event simulation of routers and engines in virtual time.
type simulation struct {
	cluster     *cluster
	router      router
	engines     []*simulatedEngine
	now         time.Time
	lastArrival time.Time
	queue       events
	sequence    int
	views       []*route.View
	spread      queueSpread
}

// queueSpread averages samples of the standard deviation of the engines' queue
// lengths. A queue length counts running and waiting requests.
type queueSpread struct {
	sum   float64
	count int
}

// startTime is the virtual time at which each simulation starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fault is a kind of failure that affects some engines.
type fault int

// Kinds of faults. With faultFailing, half of the engines, spread over the data
// centres, fail every request. With faultSlow, a quarter of the engines are slower
// by slowdownFactor.
const (
	faultNone fault = iota
	faultFailing
	faultSlow
)

// slowdownFactor divides the speed of a slow engine.
const slowdownFactor = 8

// newEngine returns the engine with number n. The fault decides by the number
// whether the engine fails or is slow.
func newEngine(c *cluster, n int, f fault) *simulatedEngine {
	e := &simulatedEngine{number: n, slowdown: 1}
	position := n%len(c.dataCentres) + n/len(c.dataCentres)
	e.failing = f == faultFailing && position%2 == 0
	if f == faultSlow && position%4 == 0 {
		e.slowdown = slowdownFactor
	}
	return e
}

// newSimulation returns a simulation of requests, which are ordered by arrival.
func newSimulation(c *cluster, r router, requests []*request, f fault) *simulation {
	s := &simulation{cluster: c, router: r, now: startTime, views: make([]*route.View, len(c.dataCentres))}
	for n := range c.engines {
		s.engines = append(s.engines, newEngine(c, n, f))
	}
	for _, req := range requests {
		s.scheduleAt(req.arrived, event{kind: eventArrival, request: req})
	}
	if len(requests) > 0 {
		s.lastArrival = requests[len(requests)-1].arrived
	}
	s.router.setViews(s, s.buildViews())
	s.scheduleAt(startTime, event{kind: eventPublishReports})
	return s
}

// scheduleAt schedules an event at a time.
func (s *simulation) scheduleAt(t time.Time, e event) {
	e.at, e.sequence = t, s.sequence
	s.sequence++
	heap.Push(&s.queue, e)
}

// scheduleAfter schedules an event after a delay.
func (s *simulation) scheduleAfter(d time.Duration, e event) {
	s.scheduleAt(s.now.Add(d), e)
}

// run handles events until none is left, when all requests have ended.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.handle(e)
	}
}

// handle applies an event.
func (s *simulation) handle(e event) {
	switch e.kind {
	case eventArrival:
		s.router.route(s, e.request)
	case eventReachEngine:
		e.engine.accept(s, e.request)
	case eventPromptDone:
		e.engine.promptDone(s, e.request)
	case eventFirstToken:
		s.handleFirstToken(e.request)
	case eventDone:
		e.engine.finishRequest(s)
		e.request.ended = true
		s.router.recordEnd(s, e.request, false)
	case eventFailed:
		s.handleFailure(e.request)
	case eventTick:
		s.router.tick(s, e.router)
	case eventPublishReports:
		s.publishReports()
	case eventSetViews:
		s.router.setViews(s, e.views)
	}
}

// handleFirstToken records whether the request met its expectation and informs the
// router.
func (s *simulation) handleFirstToken(req *request) {
	req.attained = !s.now.After(req.arrived.Add(req.priority.firstToken))
	s.router.recordFirstToken(s, req)
}

// handleFailure returns a failed request to its router, up to maxSends attempts.
func (s *simulation) handleFailure(req *request) {
	s.router.recordEnd(s, req, true)
	req.failedOn = append(req.failedOn, vmName(req.sentTo))
	if req.sends >= maxSends {
		req.ended = true
		return
	}
	s.router.route(s, req)
}

// send sends a request to the engine with a number.
func (s *simulation) send(req *request, number int) {
	req.sends++
	req.sentTo = number
	s.scheduleAfter(networkTime, event{kind: eventReachEngine, request: req, engine: s.engines[number]})
}

// publishReports takes the engines' reports, which reach the routers after
// reportAge, and samples the queue lengths until the last request has arrived.
func (s *simulation) publishReports() {
	s.scheduleAfter(reportAge, event{kind: eventSetViews, views: s.buildViews()})
	if !s.now.After(s.lastArrival) {
		s.spread.add(s.engines)
		s.scheduleAfter(reportPeriod, event{kind: eventPublishReports})
	}
}

// buildViews returns views of the engines' current reports, one for each data
// centre.
func (s *simulation) buildViews() []*route.View {
	views := make([]*route.View, len(s.cluster.dataCentres))
	reports := make([]route.Engine, len(s.engines))
	for n, e := range s.engines {
		r := e.report(vmName(n), s.now)
		r.Slots = s.cluster.slotsByEngine[n]
		reports[n] = route.Engine{
			VM: r.VM, Address: r.VM, DataCentre: s.cluster.dataCentre(n),
			Report: r, MeasuredAt: s.now, PromptRate: promptRate,
		}
	}
	for i, dc := range s.cluster.dataCentres {
		views[i] = route.NewView(dc, append([]route.Engine(nil), reports...), nil, s.views[i])
	}
	s.views = views
	return views
}

// vmName returns the VM name of an engine. Names sort in the order of numbers.
func vmName(n int) string {
	return fmt.Sprintf("engine-%03d", n)
}

// add samples the standard deviation of the current queue lengths.
func (p *queueSpread) add(engines []*simulatedEngine) {
	var sum, squares float64
	for _, e := range engines {
		q := float64(e.running + len(e.waiting))
		sum += q
		squares += q * q
	}
	n := float64(len(engines))
	p.sum += clampedSqrt(squares/n - sum/n*sum/n)
	p.count++
}

// mean returns the mean standard deviation.
func (p *queueSpread) mean() float64 {
	return p.sum / float64(max(p.count, 1))
}
