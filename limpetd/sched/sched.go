// Package sched decides which backend server gets a call, which calls are refused,
// and whether a call may be retried.
//
// A Balancer records the load and health of the backend servers as seen by one daemon:
// the daemon's own calls in flight, the load that servers report with their answers,
// and the results of the calls. It starts no goroutine, does no I/O and reads no clock:
// every method receives the current time. It is not safe for concurrent use.
//
// Prefill is the phase in which an engine reads a prompt, before the first event of the
// answer. A call is late if it can't be answered within the Expectation of its route.
//
// # Usage
//
//	b := sched.NewBalancer(sched.Settings{DataCentre: "a", RetryRatio: 0.2, RetrySlack: 50}, random)
//	b.SetServers(servers)
//	choice := b.Choose(call, now)
//	if choice.Verdict == sched.Chosen {
//		b.RecordSend(choice.Server.ID, call, now)
//		... b.RecordLoad(...), b.RecordFirstEvent(...), b.RecordResult(...)
//	}
package sched

import (
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Settings configures a Balancer.
type Settings struct {
	// DataCentre is the data centre of this daemon.
	DataCentre string
	// RetryRatio and RetrySlack limit the retries that all daemons together send to a
	// service in RetryWindow: RetryRatio times the service's calls, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// OrderByValue is whether calls are ordered by value per work under a shortage at all services, and not only at those
	// whose servers report their pace.
	OrderByValue bool
	// ReserveSlots is whether the lease holder reserves the slots of plain servers for all daemons, where
	// SharesSlots allows it.
	ReserveSlots bool
	// FirstStart is whether no process of this daemon has run before. If it is not known, the budget of this
	// process is empty for a window.
	FirstStart bool
}

// Call describes a call that is to be sent to a backend server.
type Call struct {
	Route *layout.Route
	// Organisation is the organisation of the caller; nil if the call needs none.
	Organisation *layout.Organisation
	Service      string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens and OutputTokens are the sizes that the caller states.
	PromptTokens, OutputTokens int
	// Session identifies the prompt parts that the call shares with other calls; 0 if
	// it shares none.
	Session uint64
	// Arrived is when the call arrived, Deadline is when its answer must be complete.
	Arrived, Deadline time.Time
	// Tried are the IDs of the servers that the call was already sent to.
	Tried []string
	// Software is the version of the software that the server must have, if PinsSoftware is set.
	Software     string
	PinsSoftware bool
	// TakesUp is whether the caller has a part of the answer, from a stream that broke off.
	TakesUp bool
	// LastEventAt is when the last event of the answer was passed on to the caller; zero if
	// none was.
	LastEventAt time.Time
}

// Priority returns the priority of the call, 0 for the most urgent one: that of its organisation or, if the organisation
// has none, of its route.
func (c *Call) Priority() int {
	if c.Organisation != nil && c.Organisation.HasPriority {
		return c.Organisation.Priority
	}
	return c.Route.Priority
}

// Resumes reports whether the call continues an answer that was partly passed on, in this response or in the one that the
// caller takes up.
func (c *Call) Resumes() bool { return c.TakesUp || !c.LastEventAt.IsZero() }

// Verdict is the outcome of a choice.
type Verdict int

// The verdicts.
const (
	// Chosen means that the call goes to Choice.Server.
	Chosen Verdict = iota
	// NoServer means that no server of the service may receive calls.
	NoServer
	// NotLoaded means that no server holds the model or adapter.
	NotLoaded
	// Full means that no server could answer in time.
	Full
	// RetryBudgetSpent means that the call was sent before and the retry budget is spent.
	RetryBudgetSpent
	// PromptBlocked means that the call is not sent because its prompt may end the server.
	PromptBlocked
	// ChooseAgain means that the choice must be repeated: a server may be available now.
	ChooseAgain
	// OverQuota means that the organisation has used its quota. RetryAfter is when it has enough again.
	OverQuota
	// QuotaUnknown means that this daemon can't learn whether the organisation has quota left.
	QuotaUnknown
	// KeyWithdrawn means that the key of the call is no longer valid.
	KeyWithdrawn
)

// Choice is the outcome of Choose.
type Choice struct {
	Verdict Verdict
	Server  *layout.Server
	// Load is the load of the server that the choice is based on: its calls per slot,
	// plus a penalty for failures.
	Load float64
	// Age is the age of the server's load report or, for a reservation, of the load
	// shared by all daemons; negative if the server reported none.
	Age time.Duration
	// Pending is the number of calls at the server without a first event, this call
	// included.
	Pending int
	// Exclusive reports whether the server is reserved for the call and prefills no other
	// prompt.
	Exclusive bool
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
}

// LoadReport is the load that a server reports with an answer.
type LoadReport struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the server now, with 100 as the usual value; 0 if the server does not report it.
	Pace int
}

const (
	// reportMaxAge is how long the load that a server reported is used: a few times the
	// usual pause between events of an answer.
	reportMaxAge = 1500 * time.Millisecond
	// failureWeight is the weight of the newest result in a server's failure rate.
	failureWeight = 0.15
	// failurePenalty is the load per slot that is added for a server whose calls all
	// fail.
	failurePenalty = 4.0
	// affinitySlack is how far the load per slot of an engine may exceed the lowest one
	// for a call to still go to the engine that prefilled its prompt parts before.
	affinitySlack = 0.08
	// localSlack is the same limit for a call without a session, for which servers of the
	// daemon's data centre are preferred.
	localSlack = 0.1
	// minEjection and maxEjection limit how long a server that did not answer is ejected;
	// the time doubles with each consecutive failure.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
)

// server is the state that a Balancer keeps of one backend server.
type server struct {
	entry *layout.Server
	// ownCalls is the number of this daemon's calls in flight, pending the number of
	// those without a first event.
	ownCalls, pending int
	// reported is the load in the server's last report.
	reported   LoadReport
	reportedAt time.Time
	// sentSince is the number of own calls sent since the server's last report.
	sentSince int
	// lastActivity is when the server last sent bytes, or when a call was sent to it
	// while none was in flight, whichever is later.
	lastActivity time.Time
	// failureRate is the smoothed share of calls that failed.
	failureRate float64
	// ejections is the number of times the server was ejected since it last answered.
	ejections    int
	ejectedUntil time.Time
	// fullUntil is until when the server is excluded because it refused a call.
	fullUntil time.Time
	// backoffUntil is until when the server gets no calls because it wants none for a time.
	backoffUntil time.Time
	// limit is nil if the server has named no limit.
	limit *rateLimit
	// brittle is nil if the server has never said that it is brittle, and rejected no call while others were.
	brittle *brittleness
	// pause is the smoothed time between events of own streams, pauseAt is when the last
	// event arrived.
	pause   time.Duration
	pauseAt time.Time
	// others is the load that the other daemons put on the server, except that its PauseMS
	// includes the pause of this daemon. ownShare is the load of this daemon in the last
	// report of this daemon.
	others, ownShare ServerLoad
	// reservedUntil is the end of the engine's last reservation for prefill, blockStart
	// the start of the run of reservations without a gap that ends at reservedUntil.
	reservedUntil, blockStart time.Time
	// sampledAt is when the engine was last reserved for a call whose time to the first event is a sample.
	sampledAt time.Time
	// missingUntil holds, by MODEL/ADAPTER, until when the server is excluded because it
	// lacks the model or adapter.
	missingUntil map[string]time.Time
	// slots is what the lease holder has granted of a plain server; nil before it has granted anything.
	slots *slotPlan
	pace  paceEstimate
	// grantedAt is when the lease holder last granted a call at the server.
	grantedAt time.Time
}

// Balancer records the load and health of servers as seen by one daemon, and the retry
// budgets of services.
type Balancer struct {
	settings  Settings
	random    *rand.Rand
	daemons   int
	servers   map[string]*server
	byService map[string][]*server
	// adapters and unloading are the arguments of the last call of SetAdapters.
	adapters  map[string]map[string]bool
	unloading map[string]map[string]bool
	budgets   map[string]*budget
	// unread holds the sends that servers may still read although their attempts have ended, by server ID.
	unread map[string][]unreadSend
	// startedAt is when the windows of the budgets began. daemonCounts are the numbers of daemons of the last window.
	startedAt time.Time
	// shrunkAt is when the number fell last.
	daemonCounts []daemonCount
	shrunkAt     time.Time
	// rankOfDaemon is the rank of this daemon among all daemons.
	rankOfDaemon int
	// sendRate holds the rates of calls sent, by SERVICE/MODEL.
	sendRate      map[string]*sendRate
	sharedAt      time.Time
	prefillSpeeds prefillSpeeds
	prefillShares prefillShares
	// demands holds the recent demand by model, at the lease holder.
	demands map[modelKey]*demand
	// delays holds, by service, how much longer than the prefill the first events take.
	delays map[string]*firstEventDelay
	// plainSlots is what the lease holder knows about plain services.
	plainSlots map[string]*plainSlots
	// paced holds the services of which a server has reported its pace.
	paced map[string]bool
	// meanPaces holds the mean paces of the answers of services.
	meanPaces map[string]float64
	// timePerPending is the smoothed time to a first event per call that waits for one.
	timePerPending time.Duration
}

// NewBalancer returns a Balancer without servers.
func NewBalancer(s Settings, random *rand.Rand) *Balancer {
	return &Balancer{
		settings:       s,
		random:         random,
		daemons:        1,
		servers:        map[string]*server{},
		byService:      map[string][]*server{},
		budgets:        map[string]*budget{},
		unread:         map[string][]unreadSend{},
		sendRate:       map[string]*sendRate{},
		prefillSpeeds:  newPrefillSpeeds(),
		prefillShares:  prefillShares{},
		demands:        map[modelKey]*demand{},
		delays:         map[string]*firstEventDelay{},
		plainSlots:     map[string]*plainSlots{},
		paced:          map[string]bool{},
		meanPaces:      map[string]float64{},
		timePerPending: initialTimePerPending,
	}
}

// SetServers replaces the list of running servers. The recorded state of a server is kept
// until the server restarts.
func (b *Balancer) SetServers(list []*layout.Server) {
	servers := make(map[string]*server, len(list))
	b.byService = map[string][]*server{}
	for _, e := range list {
		s := b.servers[e.ID]
		if s == nil || !s.entry.SameStart(e) {
			s = &server{missingUntil: map[string]time.Time{}}
		}
		s.entry = e
		servers[e.ID] = s
		b.byService[e.Service] = append(b.byService[e.Service], s)
	}
	b.servers = servers
	b.markEnded()
}

// Leaving reports whether a server of the list is leaving.
func (b *Balancer) Leaving(id string) bool {
	s := b.servers[id]
	return s != nil && s.entry.State != layout.Ready
}

// SetAdapters sets the adapters that engines hold, as MODEL/ADAPTER, and the models that
// are about to be unloaded, both by server ID. The adapters of a server in this map
// replace those of its entry.
func (b *Balancer) SetAdapters(adapters, unloading map[string]map[string]bool) {
	b.adapters, b.unloading = adapters, unloading
}

// RecordSend records that a call is sent to a server.
func (b *Balancer) RecordSend(id string, c *Call, now time.Time) {
	b.recordSend(c, now)
	if s := b.servers[id]; s != nil {
		if s.ownCalls == 0 {
			s.lastActivity = now
		}
		s.ownCalls++
		s.pending++
		s.sentSince++
		if now.Sub(b.sharedAt) >= sharedMaxAge {
			s.takeToken(now)
		}
	}
}

// RecordEvent records that events of a stream arrived from a server, a pause after the
// previous events of the stream.
func (b *Balancer) RecordEvent(id string, pause time.Duration, now time.Time) {
	if s := b.servers[id]; s != nil {
		s.lastActivity = now
		s.pause += time.Duration(pauseWeight * float64(pause-s.pause))
		s.pauseAt = now
	}
}

// SilentFor returns how long a server with calls in flight has sent nothing, 0 for a
// server without calls in flight.
func (b *Balancer) SilentFor(id string, now time.Time) time.Duration {
	s := b.servers[id]
	if s == nil || s.ownCalls == 0 {
		return 0
	}
	return now.Sub(s.lastActivity)
}

// RecordLoad records the load that a server reported.
func (b *Balancer) RecordLoad(id string, t LoadReport, now time.Time) {
	if s := b.servers[id]; s != nil {
		s.reported, s.reportedAt, s.sentSince = t, now, 0
		b.reportPace(s, t.Pace, now)
	}
}

// RecordFirstEvent records the first event, or the answer, of a call. pending is the number of
// calls that waited for a first event at the server when the call was sent, the call
// included.
func (b *Balancer) RecordFirstEvent(id string, c *Call, pending int, sent, now time.Time) {
	if s := b.servers[id]; s != nil {
		if c.Model != "" && pending > 0 {
			sample := now.Sub(sent) / time.Duration(pending)
			b.timePerPending += time.Duration(timePerPendingWeight * float64(sample-b.timePerPending))
		}
		s.pending = max(s.pending-1, 0)
		s.lastActivity = now
		s.ejections = 0
		s.ejectedUntil = time.Time{}
	}
}
