// Package sched decides which backend server gets a call, which calls are refused,
// and whether a call may be sent again.
//
// A Book keeps what a daemon knows of the load and health of servers: its own calls
// in flight, the counts that servers tell with their answers, and how its calls
// ended. It starts no goroutine, does no I/O and reads no clock: every method takes
// the time. It is not safe for concurrent use.
//
// # Usage
//
//	b := sched.NewBook(sched.Settings{DataCentre: "a", RetryRatio: 0.2, RetrySlack: 50}, random)
//	b.Know(servers, now)
//	choice := b.Choose(call, now)
//	if choice.Verdict == sched.Chosen {
//		b.Sent(choice.Server, call, now)
//		... b.Told(...), b.Started(...), b.Ended(...)
//	}
package sched

import (
	"math/rand/v2"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// Settings of a Book.
type Settings struct {
	// DataCentre is that of this daemon.
	DataCentre string
	// RetryRatio and RetrySlack bound the calls that all daemons together send
	// again to a service in RetryWindow: the ratio of its calls plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Call is what is known of a call before it is sent.
type Call struct {
	Route   *layout.Route
	Service string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens and OutputTokens are the sizes that the caller states.
	PromptTokens, OutputTokens int
	// Session identifies the prompt parts that the call shares with others; 0 if
	// it shares none.
	Session uint64
	// Arrived is when the call came, Until when its answer must be complete.
	Arrived, Until time.Time
	// Tried are the servers that the call was sent to.
	Tried []string
	// Passed is when the last event of its answer was passed on; zero if none was.
	Passed time.Time
}

// Resumes tells whether the call goes on with an answer that was begun.
func (c *Call) Resumes() bool { return !c.Passed.IsZero() }

// Verdict is the outcome of a choice.
type Verdict int

// The verdicts.
const (
	// Chosen means that the call goes to Choice.Server.
	Chosen Verdict = iota
	// NoServer means that no server of the service may take calls.
	NoServer
	// NotLoaded means that no server holds the model or adapter.
	NotLoaded
	// Full means that no server could answer in time.
	Full
	// NoRepeat means that the call was sent before and the retries are spent.
	NoRepeat
	// AskAgain means that there may be a server now, and that it is looked for again.
	AskAgain
)

// Choice is the outcome of Choose.
type Choice struct {
	Verdict Verdict
	Server  *layout.Server
	// Load is the load that the choice was made on, in calls.
	Load float64
	// Age is how old the server's own count was; negative if it told none.
	Age time.Duration
	// Pending counts the calls that wait at the server for a first event, this one
	// included.
	Pending int
	// Alone tells that the server was reserved for the call and reads no other prompt.
	Alone bool
	// Return is when a refused caller had best come back.
	Return time.Duration
}

// Told is the load that a server tells with an answer.
type Told struct {
	Running, Waiting, Slots int
}

const (
	// toldFresh is how long the count that a server told is used: a few times the
	// length of an answer's pause between events.
	toldFresh = 1500 * time.Millisecond
	// failureDecay is the weight of the newest outcome in a server's failure rate.
	failureDecay = 0.15
	// failurePenalty is the load in parts of the slots that a server with only
	// failures counts as having.
	failurePenalty = 4.0
	// affinitySlack is the load beyond the least, in parts of the slots, at which
	// a call still goes to the engine that read its prompt parts before.
	affinitySlack = 0.08
	// localSlack is the same for a plain call and the servers of its data centre.
	localSlack = 0.1
	// ejectFirst and ejectMost bound how long a server that did not answer is left
	// out; the time doubles with each failure in a row.
	ejectFirst = 400 * time.Millisecond
	ejectMost  = 5 * time.Second
)

// server is what a Book knows of one backend server.
type server struct {
	entry *layout.Server
	// own are this daemon's calls in flight; pending are those without an event.
	own, pending int
	told         Told
	toldAt       time.Time
	// sent counts own calls since the server told its load.
	sent int
	// heard is when a byte came from the server, asked the last send before it.
	heard time.Time
	// failures is the smoothed share of calls that failed.
	failures float64
	// strikes counts failures to reach the server in a row.
	strikes int
	ejected time.Time
	// full is until when the server is known to refuse calls.
	full time.Time
	// gap is the smoothed pause between events of own streams, gapAt when an event
	// came last.
	gap   time.Duration
	gapAt time.Time
	// shared is what all daemons together told of the server, mine what this one
	// had told by then.
	shared, mine Shared
	// booked is until when the engine reads prompts, by what was reserved, and block since
	// when it does so without a gap.
	booked, block time.Time
	// refuses holds until when the server is known to lack a model or adapter.
	refuses map[string]time.Time
}

// Book is what a daemon knows of servers, and the retries it has left.
type Book struct {
	settings Settings
	random   *rand.Rand
	daemons  int
	servers  map[string]*server
	service  map[string][]*server
	adapters map[string]map[string]bool
	closing  map[string]map[string]bool
	budgets  map[string]*budget
	// sends are the rates of calls sent, by service and model.
	sends    map[string]*sends
	sharedAt time.Time
	speeds   speeds
	shares   shares
	// prefill is the smoothed time to a first event per call that waits for one.
	prefill time.Duration
}

// NewBook returns a book that knows no server.
func NewBook(s Settings, random *rand.Rand) *Book {
	return &Book{
		settings: s,
		random:   random,
		daemons:  1,
		servers:  map[string]*server{},
		service:  map[string][]*server{},
		budgets:  map[string]*budget{},
		sends:    map[string]*sends{},
		speeds:   newSpeeds(),
		shares:   shares{},
		prefill:  firstPrefill,
	}
}

// Daemons sets how many daemons share the servers and the retries.
func (b *Book) Daemons(n int) { b.daemons = max(n, 1) }

// Know replaces the servers that are known to run. What was learned of a server
// stays as long as it is the same start.
func (b *Book) Know(list []*layout.Server) {
	servers := make(map[string]*server, len(list))
	b.service = map[string][]*server{}
	for _, e := range list {
		s := b.servers[e.ID]
		if s == nil || !s.entry.Same(e) {
			s = &server{refuses: map[string]time.Time{}}
		}
		s.entry = e
		servers[e.ID] = s
		b.service[e.Service] = append(b.service[e.Service], s)
	}
	b.servers = servers
}

// Adapters sets the adapters that engines hold beyond what they told, and closing
// the models that are about to be unloaded, both by server.
func (b *Book) Adapters(adapters, closing map[string]map[string]bool) {
	b.adapters, b.closing = adapters, closing
}

// Sent notes that a call goes to a server.
func (b *Book) Sent(id string, c *Call, now time.Time) {
	b.dispatched(c, now)
	if s := b.servers[id]; s != nil {
		if s.own == 0 {
			s.heard = now
		}
		s.own++
		s.pending++
		s.sent++
	}
}

// Heard notes that events of a stream came from a server, a pause after the ones before.
func (b *Book) Heard(id string, pause time.Duration, now time.Time) {
	if s := b.servers[id]; s != nil {
		s.heard = now
		s.gap += time.Duration(gapWeight * float64(pause-s.gap))
		s.gapAt = now
	}
}

// Silent returns how long a server with calls in flight has sent nothing.
func (b *Book) Silent(id string, now time.Time) time.Duration {
	s := b.servers[id]
	if s == nil || s.own == 0 {
		return 0
	}
	return now.Sub(s.heard)
}

// Told notes the load that a server told.
func (b *Book) Told(id string, t Told, now time.Time) {
	if s := b.servers[id]; s != nil {
		s.told, s.toldAt, s.sent = t, now, 0
	}
}

// Started notes the first event or the answer of a call that was sent when a number of
// calls waited at the server, itself included.
func (b *Book) Started(id string, c *Call, pending int, sent, now time.Time) {
	if s := b.servers[id]; s != nil {
		if c.Model != "" && pending > 0 {
			sample := now.Sub(sent) / time.Duration(pending)
			b.prefill += time.Duration(prefillWeight * float64(sample-b.prefill))
		}
		s.pending = max(s.pending-1, 0)
		s.heard = now
		s.strikes = 0
		s.ejected = time.Time{}
	}
}

// Result is how a call ended at a server.
type Result int

// The results.
const (
	// Answered means that the server answered, also with a refusal of the caller.
	Answered Result = iota
	// Failed means that the server answered with a failure.
	Failed
	// Broken means that the server was reached, and broke off or stayed silent.
	Broken
	// Unreached means that no connection to the server came about.
	Unreached
	// Refused means that the server has no room.
	Refused
	// Lacks means that the server is another one, or lacks the model or adapter.
	Lacks
	// Left means that the caller went away.
	Left
)

// fullFor is how long a server that refused a call is left out. It is a few round
// trips: the refusal tells of its queue at that moment only.
const fullFor = 60 * time.Millisecond

// lacksFor is how long a server that lacks a model is left out for it; a load
// changes the list of servers sooner.
const lacksFor = 400 * time.Millisecond

// Ended notes the end of a call that was sent. Started tells whether an event or
// answer of it came before.
func (b *Book) Ended(id string, c *Call, r Result, started bool, now time.Time) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.own = max(s.own-1, 0)
	if !started {
		s.pending = max(s.pending-1, 0)
	}
	switch r {
	case Answered:
		s.failures *= 1 - failureDecay
	case Failed:
		s.failures += (1 - s.failures) * failureDecay
	case Broken:
		s.failures += (1 - s.failures) * failureDecay
		if !started {
			s.strike(now)
		}
	case Unreached:
		s.strike(now)
	case Refused:
		s.full = now.Add(fullFor)
	case Lacks:
		s.refuses[c.Model+"/"+c.Adapter] = now.Add(lacksFor)
	case Left:
	}
}

// strike leaves a server out for a while.
func (s *server) strike(now time.Time) {
	if now.Before(s.ejected) {
		return
	}
	s.strikes++
	s.ejected = now.Add(min(ejectFirst<<min(s.strikes-1, 6), ejectMost))
}
