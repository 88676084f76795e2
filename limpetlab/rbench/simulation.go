package rbench

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// eventKind is what happens.
type eventKind int

// The kinds of event.
const (
	eventArrive eventKind = iota
	eventReach
	eventPrompt
	eventFirstToken
	eventDone
	eventFailed
	eventTick
	eventReport
	eventView
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	order  int
	kind   eventKind
	job    *job
	server *server
	router int
	views  []*route.View
}

// events is a heap of events by time.
type events []event

var _ heap.Interface = (*events)(nil)

// Len returns the number of events.
func (h events) Len() int { return len(h) }

// Less orders events by time, then by their making.
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
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
	// reportAge is the age at which a report reaches the routers.
	reportAge = time.Second
	// reportPeriod is the time between two reports.
	reportPeriod = 200 * time.Millisecond
	// maxSends bounds the attempts of a request.
	maxSends = 3
)

// router decides where requests go.
type router interface {
	// arrive takes a new request, or one that failed.
	arrive(s *simulation, j *job)
	// view gives the newest picture of the engines, one for each data centre.
	view(s *simulation, views []*route.View)
	// tick is called a while after the router asked for it.
	tick(s *simulation, number int)
	firstToken(s *simulation, j *job)
	ended(s *simulation, j *job, failed bool)
}

// simulation runs requests through routers and engines in virtual time.
type simulation struct {
	world   *world
	router  router
	servers []*server
	now     time.Time
	end     time.Time
	queue   events
	order   int
	views   []*route.View
	spread  spread
}

// spread collects the differences between queue lengths.
type spread struct {
	sum   float64
	count int
}

// begin is the virtual time at which runs begin.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fault is what is wrong with some engines.
type fault int

// The faults. faultFailing lets half of the engines, spread over the data centres,
// fail every request; faultSlow slows a quarter of them down.
const (
	faultNone fault = iota
	faultFailing
	faultSlow
)

// slowness divides the speed of a slow engine.
const slowness = 8

// newServer returns the engine with a number.
func newServer(w *world, n int, f fault) *server {
	e := &server{number: n, slow: 1}
	place := n%len(w.dataCentres) + n/len(w.dataCentres)
	e.failing = f == faultFailing && place%2 == 0
	if f == faultSlow && place%4 == 0 {
		e.slow = slowness
	}
	return e
}

// newSimulation returns a simulation of jobs in the order of arrival.
func newSimulation(w *world, r router, jobs []*job, f fault) *simulation {
	s := &simulation{world: w, router: r, now: begin, views: make([]*route.View, len(w.dataCentres))}
	for n := range w.engines {
		s.servers = append(s.servers, newServer(w, n, f))
	}
	for _, j := range jobs {
		s.at(j.arrived, event{kind: eventArrive, job: j})
	}
	if len(jobs) > 0 {
		s.end = jobs[len(jobs)-1].arrived
	}
	s.router.view(s, s.report())
	s.at(begin, event{kind: eventReport})
	return s
}

// at plans an event.
func (s *simulation) at(t time.Time, e event) {
	e.at, e.order = t, s.order
	s.order++
	heap.Push(&s.queue, e)
}

// after plans an event after a time.
func (s *simulation) after(d time.Duration, e event) {
	s.at(s.now.Add(d), e)
}

// run runs until all requests have ended.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.handle(e)
	}
}

// handle lets an event happen.
func (s *simulation) handle(e event) {
	switch e.kind {
	case eventArrive:
		s.router.arrive(s, e.job)
	case eventReach:
		e.server.accept(s, e.job)
	case eventPrompt:
		e.server.promptDone(s, e.job)
	case eventFirstToken:
		s.firstToken(e.job)
	case eventDone:
		e.server.done(s)
		e.job.ended = true
		s.router.ended(s, e.job, false)
	case eventFailed:
		s.failed(e.job)
	case eventTick:
		s.router.tick(s, e.router)
	case eventReport:
		s.measure()
	case eventView:
		s.router.view(s, e.views)
	}
}

// firstToken finds out whether the expectation is met.
func (s *simulation) firstToken(j *job) {
	j.attained = !s.now.After(j.arrived.Add(j.priority.firstToken))
	s.router.firstToken(s, j)
}

// failed sends a failed request back to its router.
func (s *simulation) failed(j *job) {
	s.router.ended(s, j, true)
	j.failed = append(j.failed, vmName(j.sentTo))
	if j.sends >= maxSends {
		j.ended = true
		return
	}
	s.router.arrive(s, j)
}

// send sends a request to an engine.
func (s *simulation) send(j *job, server int) {
	j.sends++
	j.sentTo = server
	s.after(networkTime, event{kind: eventReach, job: j, server: s.servers[server]})
}

// measure makes reports, which reach the routers later.
func (s *simulation) measure() {
	s.after(reportAge, event{kind: eventView, views: s.report()})
	if !s.now.After(s.end) {
		s.spread.add(s.servers)
		s.after(reportPeriod, event{kind: eventReport})
	}
}

// report returns a view of this moment for each data centre.
func (s *simulation) report() []*route.View {
	views := make([]*route.View, len(s.world.dataCentres))
	reports := make([]route.Engine, len(s.servers))
	for n, e := range s.servers {
		r := e.report(vmName(n), s.now)
		r.Slots = s.world.held[n]
		reports[n] = route.Engine{
			VM: r.VM, Address: r.VM, DataCentre: s.world.dataCentre(n),
			Report: r, At: s.now, PromptRate: promptRate,
		}
	}
	for i, dc := range s.world.dataCentres {
		views[i] = route.NewView(dc, append([]route.Engine(nil), reports...), nil, s.views[i])
	}
	s.views = views
	return views
}

// vmName returns the VM of an engine; the order of names is that of numbers.
func vmName(n int) string {
	return fmt.Sprintf("engine-%03d", n)
}

// add takes the standard deviation of the queue lengths of this moment.
func (p *spread) add(servers []*server) {
	var sum, squares float64
	for _, e := range servers {
		q := float64(e.running + len(e.waiting))
		sum += q
		squares += q * q
	}
	n := float64(len(servers))
	p.sum += sqrt(squares/n - sum/n*sum/n)
	p.count++
}

// mean returns the mean standard deviation.
func (p *spread) mean() float64 {
	return p.sum / float64(max(p.count, 1))
}
