// Package crash finds the requests, and the parts of prompts, that end servers.
//
// Some requests end each server that begins to run them, and some prompt parts end each engine that
// begins to answer a call with the part, whatever else its prompt contains. A Ledger records the
// ends of servers with the calls that ran on them, and the calls that servers went on to answer, and
// decides which calls to refuse. A whole request is one more part of a call, see RequestPart: only
// the same request has it again.
//
// A part is suspected in an end if the response to a call with the part had just begun or, with
// less weight, if it had begun a little earlier or the call was waiting. A request is suspected with
// full weight in each case. An answer that goes on for survivalAge, or is complete, clears the
// part of all ends before it began. Ends within roundLength of each other are one round, because a
// fault of a rack or of a link ends many servers at once. A part with an uncleared suspicion in
// blockRounds rounds is blocked: calls with it are refused. An end that a blocked part explains
// does not count against other parts. If parts always occur together, only calls with all of
// them are refused. Of several requests with the same evidence none is blocked.
//
// Before that, a part that is suspected in probationRounds rounds is on probation: a daemon sends
// one call with it at a time, and does not repeat it. A request of which reservedCalls calls
// were on servers that ended is reserved: only one daemon sends it, and nothing else on probation
// beside it. A block lasts for blockTerm; then the part is reserved too, and a single end blocks it
// again, for twice as long.
//
// Calls with a known part have been answered before. Such a part may be in all prompts, and no
// engine may be left to answer and clear it, so it needs knownRounds rounds, parts that are not
// known are blocked first, and its first block is short.
//
// All daemons together collect the evidence: Facts carry it between their ledgers in any order.
// A Ledger starts no goroutine and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	l := crash.NewLedger()
//	l.RecordEnd(crash.End{Server: "e1", StartedAt: 1, Suspects: suspects}, at, now)
//	l.RecordAnswer(parts, begunAt, now)
//	switch l.Check(parts, leads, now).Verdict { ... }
//	other.Merge(l.Since(0, now), now)
package crash

import (
	"slices"
	"time"
)

const (
	// survivalAge is how long an answer goes on until its prompt did not end the engine. The
	// response to a call had just begun if it began less than survivalAge before the end.
	survivalAge = 500 * time.Millisecond
	// roundLength is the time within which ends of engines may have one cause.
	roundLength = 300 * time.Millisecond
	// blockRounds and probationRounds are the rounds after which a part is blocked and on
	// probation, knownRounds those after which a known part is blocked.
	blockRounds     = 3
	probationRounds = 2
	knownRounds     = 4
	// reservedCalls is the number of ends under a request in any rounds, or of its calls on one
	// server in each round, after which it is reserved for reservedTerm: calls that wait for a rare
	// model reach its only server together, from all daemons. A reserved request is sent once per
	// AlonePause at most, as an engine may reject it without running it. repeatWeight is what each
	// further end of a round adds to the evidence against a request, up to maxRepeats of them: it
	// may have been sent from server to server, or the round may be the fault of a rack.
	reservedCalls = 3
	reservedTerm  = blockTerm
	repeatWeight  = 0.25
	maxRepeats    = 2
	// freshAge is the age of a response below which the call has the weight 1. Other responses
	// that had just begun, and waiting calls, have the weight staleWeight; beside a response that
	// had just begun, waiting calls have waitingWeight.
	freshAge      = 150 * time.Millisecond
	staleWeight   = 0.5
	waitingWeight = 0.25
	// scoreSlack is how far the sum of weights may be below the number of rounds.
	scoreSlack = 0.5
	// blockTerm is how long the first block of a part lasts, and how long other evidence is
	// kept; knownTerm is the same for a known part, knownRequestTerm for a known request, which
	// fewer callers need. Each further block lasts twice as long, up to maxStrikes and
	// maxKnownStrikes doublings.
	blockTerm        = 10 * time.Minute
	knownTerm        = 10 * time.Second
	knownRequestTerm = time.Minute
	maxStrikes       = 6
	maxKnownStrikes  = 12
	// trialPause is when callers may return whose calls another daemon has to try first.
	trialPause = 2 * time.Second
	// strikeTerm is how long a block is remembered after its end.
	strikeTerm = 24 * time.Hour
	// resendAge is how long after its end an engine may still seem to answer, because its bytes
	// were on their way.
	resendAge = 500 * time.Millisecond
	// maxEnds, maxSuspects, maxParts, maxEndParts, maxAnswers and maxStruck bound the ledger: the
	// ends, the suspects of an end, the parts of a suspect and of all suspects of an end, the
	// parts with answers, and those with strikes.
	maxEnds     = 64
	maxSuspects = 32
	maxParts    = 256
	maxEndParts = 256
	maxAnswers  = 4096
	maxStruck   = 256
	// maxRecent is the number of parts of recent answers in each of two generations.
	maxRecent = 8192
)

// requestBit is set in the parts that stand for whole requests.
const requestBit = 1 << 63

// RequestPart returns the part that stands for a request. identity is the same for the same request.
func RequestPart(identity uint64) uint64 { return identity | requestBit }

// PromptPart returns the part of a prompt with an id.
func PromptPart(id uint64) uint64 { return id &^ requestBit }

func isRequest(part uint64) bool { return part&requestBit != 0 }

// Suspect is a call that an engine had not answered when it ended.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Call identifies the call.
	Call uint64
	// Parts are the request itself and the parts of its prompt that other calls may share, the
	// request first.
	Parts []uint64
	// Begun is whether the response had begun, Age how long before the end.
	Begun bool
	Age   time.Duration
}

// justBegun reports whether the response began so shortly before the end that it may be the cause.
func (s *Suspect) justBegun() bool { return s.Begun && s.Age < survivalAge }

// sameCall reports whether s and o describe the same call. Callers choose the ids of their calls.
func (s *Suspect) sameCall(o *Suspect) bool {
	return s.Call == o.Call && slices.Equal(s.Parts, o.Parts)
}

// End is the end of an engine as one daemon saw it.
type End struct {
	Server string
	// StartedAt distinguishes starts of the server.
	StartedAt int64
	Suspects  []Suspect
}

// Verdict is what is decided about a call.
type Verdict int

// The verdicts.
const (
	// Allowed means that the call may be sent.
	Allowed Verdict = iota
	// Probation means that the call may be sent if no other call with one of the parts is in
	// flight, and if it was not sent before.
	Probation
	// Blocked means that the call must be refused.
	Blocked
)

// Decision is the verdict on a call.
type Decision struct {
	Verdict Verdict
	// Parts are the parts behind the verdict. Until is when a block ends.
	Parts []uint64
	Until time.Time
	// Alone is whether a call on probation may be sent only if no other call on probation is in
	// flight.
	Alone bool
}

// Block is a set of parts that end engines when they occur together.
type Block struct {
	Parts []uint64
	// Until is when the block ends. Servers are the engines that ended.
	Until   time.Time
	Servers []string
	// part is the part that is blocked; the others always occur with it.
	part uint64
}

// start identifies one start of a server.
type start struct {
	server    string
	startedAt int64
}

// end is a recorded end of an engine.
type end struct {
	start
	at       time.Time
	suspects []Suspect
	// retracted is whether the engine has answered since.
	retracted bool
	version   int64
}

// period is the time from the first to the last end in which a part is suspected.
type period struct {
	first, last time.Time
}

// answer is when the last answer to a call with a part began that went on for survivalAge.
type answer struct {
	begunAt time.Time
	version int64
}

// strike counts the blocks of a part that have ended.
type strike struct {
	count   int
	at      time.Time
	version int64
}

// Ledger records which parts of prompts may end engines. Its zero value is not usable; see
// NewLedger.
type Ledger struct {
	// version counts the changes. Each record has the version of its last change.
	version int64
	ends    map[start]*end
	answers map[uint64]answer
	strikes map[uint64]strike
	allowed map[uint64]bool
	// known holds the suspected parts whose calls were answered before, with the version at
	// which that was recorded. recent and older are the parts of recent answers, from which it
	// is known; recent replaces older when it is full or since has passed long ago.
	known         map[uint64]int64
	recent, older map[uint64]bool
	since         time.Time
	// suspected, blocks and probation are computed from the records. blocked are the parts of the
	// blocks.
	suspected map[uint64]period
	blocks    []Block
	blocked   map[uint64]bool
	probation map[uint64]bool
	// reserved holds the parts on probation that one daemon tries, and until when.
	reserved map[uint64]time.Time
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithAllowed sets parts that are never blocked.
func WithAllowed(parts []uint64) Option {
	return func(l *Ledger) {
		for _, p := range parts {
			l.allowed[p] = true
		}
	}
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{ends: map[start]*end{}, answers: map[uint64]answer{}, strikes: map[uint64]strike{}, allowed: map[uint64]bool{}, known: map[uint64]int64{}, recent: map[uint64]bool{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// RecordEnd records that an engine has ended at a time. Reports of several daemons on one end are joined.
func (l *Ledger) RecordEnd(e End, at, now time.Time) {
	if l.mergeEnd(start{e.Server, e.StartedAt}, at, e.Suspects, false) {
		l.evaluate(now)
	}
}

// RecordAlive records that an engine answered a call that was sent to it at a time, on a connection that
// was opened at another. An end of this start of the engine that was recorded between the two has not
// happened. An answer on a later connection may be from another start, under the same id.
func (l *Ledger) RecordAlive(server string, startedAt int64, openedAt, sentAt, now time.Time) {
	e := l.ends[start{server, startedAt}]
	if e == nil || e.retracted || !openedAt.Before(e.at) || sentAt.Before(e.at.Add(resendAge)) {
		return
	}
	e.retracted = true
	e.version = l.nextVersion()
	l.evaluate(now)
}

// RecordAnswer records that the answer to a call with parts went on for survivalAge after it had
// begun, or was complete.
func (l *Ledger) RecordAnswer(parts []uint64, begunAt, now time.Time) {
	decides := false
	for _, p := range parts {
		decides = l.mergeAnswer(p, begunAt) || decides
	}
	if decides {
		l.evaluate(now)
	}
}

// Remember records that a call with parts was answered. It may be called for all calls.
func (l *Ledger) Remember(parts []uint64, now time.Time) {
	if len(l.recent) >= maxRecent || now.Sub(l.since) > blockTerm {
		l.older, l.recent, l.since = l.recent, map[uint64]bool{}, now
	}
	for _, p := range parts {
		l.recent[p] = true
	}
}

// Survived reports whether a response that began at a time has gone on for survivalAge.
func Survived(begunAt, now time.Time) bool { return now.Sub(begunAt) >= survivalAge }

// Remembers reports whether a call with a part was answered lately.
func (l *Ledger) Remembers(part uint64) bool { return l.recent[part] || l.older[part] }

// HasEnded reports whether a start of a server has ended.
func (l *Ledger) HasEnded(server string, startedAt int64) bool {
	e := l.ends[start{server, startedAt}]
	return e != nil && !e.retracted
}

// Empty reports whether no part is suspected.
func (l *Ledger) Empty() bool { return len(l.suspected) == 0 }

// Expire ends the blocks whose term is over, and reports whether there are any.
func (l *Ledger) Expire(now time.Time) bool {
	if !slices.ContainsFunc(l.blocks, func(b Block) bool { return !now.Before(b.Until) }) {
		return false
	}
	l.evaluate(now)
	return true
}

// Check returns the verdict on a call with parts. leads is whether this daemon sends the calls with
// reserved parts; all others refuse them until such a call is answered.
func (l *Ledger) Check(parts []uint64, leads bool, now time.Time) Decision {
	if len(l.blocks) == 0 && len(l.probation) == 0 {
		return Decision{}
	}
	for _, b := range l.blocks {
		if containsAll(parts, b.Parts) {
			return Decision{Verdict: Blocked, Parts: b.Parts, Until: b.Until}
		}
	}
	d := Decision{}
	for _, p := range parts {
		if !l.probation[p] {
			continue
		}
		if now.Before(l.reserved[p]) {
			if !leads {
				return Decision{Verdict: Blocked, Parts: []uint64{p}, Until: now.Add(trialPause)}
			}
			d.Alone = true
		}
		d.Verdict, d.Parts = Probation, append(d.Parts, p)
	}
	return d
}

// Version increases with each change of what Since and Merge exchange.
func (l *Ledger) Version() int64 { return l.version }

// Blocks returns the blocks in force.
func (l *Ledger) Blocks() []Block { return slices.Clone(l.blocks) }

// CompareBlocks returns the blocks that are only in after, and those that are only in before.
func CompareBlocks(before, after []Block) (added, ended []Block) {
	missingIn := func(list []Block) func(Block) bool {
		return func(b Block) bool {
			return !slices.ContainsFunc(list, func(o Block) bool { return slices.Equal(o.Parts, b.Parts) })
		}
	}
	for _, b := range after {
		if missingIn(before)(b) {
			added = append(added, b)
		}
	}
	for _, b := range before {
		if missingIn(after)(b) {
			ended = append(ended, b)
		}
	}
	return added, ended
}

// AlonePause is the least time between two sends of a reserved request.
const AlonePause = 10 * time.Second

// RetryAfter is when a call with a part on probation may be sent again.
const RetryAfter = 2 * survivalAge

func (l *Ledger) nextVersion() int64 {
	l.version++
	return l.version
}

// containsAll reports whether parts contains all of wanted.
func containsAll(parts, wanted []uint64) bool {
	for _, w := range wanted {
		if !slices.Contains(parts, w) {
			return false
		}
	}
	return true
}
