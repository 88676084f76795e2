// Package event keeps the time line of a process: a bounded ring of events in
// hybrid logical time, merged over all daemons by `limpet events`.
//
// Hybrid logical time follows the physical clock and never runs behind an event
// that was received from another process, so that the merged time line shows
// each effect after its cause. When the ring is full the oldest event is
// overwritten and counted.
//
// # Usage
//
//	line := event.New("vm-a1", event.WithCapacity(8192))
//	line.Add(event.Event{Kind: event.OrderSent, Model: "m1", VM: "engine-3"})
//	events := line.Select(event.Filter{Model: "m1"})
package event

import (
	"sort"
	"sync"
	"time"
)

// Stamp is a hybrid logical time.
type Stamp struct {
	// Wall is the physical part in nanoseconds since 1970.
	Wall int64 `json:"wall"`
	// Logical orders events of the same physical time.
	Logical int32 `json:"logical"`
}

// Before tells whether s comes before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// Kind is what happened, in snake case.
type Kind string

// The kinds of event.
const (
	DaemonStarted   Kind = "daemon_started"
	DaemonReady     Kind = "daemon_ready"
	DaemonLeaving   Kind = "daemon_leaving"
	DocumentApplied Kind = "document_applied"
	DocumentTaken   Kind = "document_taken"
	DocumentRefused Kind = "document_refused"
	LeaseTaken      Kind = "lease_taken"
	LeaseLost       Kind = "lease_lost"
	LeaseReleased   Kind = "lease_released"
	OrderCharged    Kind = "order_charged"
	OrderSent       Kind = "order_sent"
	OrderResolved   Kind = "order_resolved"
	EngineSetAside  Kind = "engine_set_aside"
	EngineEjected   Kind = "engine_ejected"
	EngineRestored  Kind = "engine_restored"
	RequestArrived  Kind = "request_arrived"
	RequestSent     Kind = "request_sent"
	RequestRetried  Kind = "request_retried"
	RequestEnded    Kind = "request_ended"
	RequestShed     Kind = "request_shed"
	ClaimMade       Kind = "claim_made"
	ClaimClosed     Kind = "claim_closed"
	BatchAccepted   Kind = "batch_accepted"
	BatchHeld       Kind = "batch_held"
	BatchEnded      Kind = "batch_ended"
	MemberJoined    Kind = "member_joined"
	MemberLeaving   Kind = "member_leaving"
	MemberSilent    Kind = "member_silent"
	OperatorCall    Kind = "operator_call"
)

// Event is an entry of the time line. Unused fields are empty.
type Event struct {
	At      Stamp  `json:"at"`
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	Request string `json:"request,omitempty"`
	Model   string `json:"model,omitempty"`
	VM      string `json:"vm,omitempty"`
	Code    int    `json:"code,omitempty"`
	Text    string `json:"text,omitempty"`
}

// Filter selects events. Empty fields match everything.
type Filter struct {
	Request string    `json:"request,omitempty"`
	Model   string    `json:"model,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Since   time.Time `json:"since,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	// Limit is the largest number of events returned, the newest; 0 is all.
	Limit int `json:"limit,omitempty"`
}

// Matches tells whether e passes the filter.
func (f Filter) Matches(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Model != "" && f.Model != e.Model {
		return false
	}
	if f.VM != "" && f.VM != e.VM && f.VM != e.Process {
		return false
	}
	if !f.Since.IsZero() && e.At.Wall < f.Since.UnixNano() {
		return false
	}
	return f.Until.IsZero() || e.At.Wall < f.Until.UnixNano()
}

// DefaultCapacity is the number of events that a line keeps.
const DefaultCapacity = 8192

// Option changes a Line.
type Option func(*Line)

// WithCapacity sets the number of events that the line keeps.
func WithCapacity(n int) Option {
	return func(l *Line) { l.capacity = n }
}

// Line is the time line of a process. It is safe for concurrent use.
type Line struct {
	process  string
	capacity int

	mu          sync.Mutex
	last        Stamp
	ring        []Event
	next        int
	overwritten int64
}

// New returns the time line of a process.
func New(process string, opts ...Option) *Line {
	l := &Line{process: process, capacity: DefaultCapacity}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Add stamps e and keeps it.
func (l *Line) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = l.tick(time.Now().UnixNano())
	e.Process = l.process
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % l.capacity
	l.overwritten++
}

// Now returns a stamp for a message to another process.
func (l *Line) Now() Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tick(time.Now().UnixNano())
}

// Observe takes note of a stamp received from another process, so that later
// events of this process come after it. A stamp further ahead than MaxAhead is
// left out, since one wrong clock would push all others.
func (l *Line) Observe(s Stamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Wall > time.Now().Add(MaxAhead).UnixNano() {
		return
	}
	if l.last.Before(s) {
		l.last = s
	}
}

// MaxAhead is how far another process's clock may be ahead of this one.
const MaxAhead = 10 * time.Second

// tick returns the next stamp at physical time now.
func (l *Line) tick(now int64) Stamp {
	if now > l.last.Wall {
		l.last = Stamp{Wall: now}
	} else {
		l.last.Logical++
	}
	return l.last
}

// Select returns the events that pass f, oldest first.
func (l *Line) Select(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var events []Event
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if f.Matches(e) {
			events = append(events, e)
		}
	}
	if f.Limit > 0 && len(events) > f.Limit {
		events = events[len(events)-f.Limit:]
	}
	return events
}

// Overwritten returns the number of events lost to newer ones.
func (l *Line) Overwritten() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overwritten
}

// Merge joins the events of several processes in causal order.
func Merge(lines ...[]Event) []Event {
	merged := []Event{}
	for _, l := range lines {
		merged = append(merged, l...)
	}
	sort.SliceStable(merged, func(i, j int) bool {
		a, b := merged[i], merged[j]
		if a.At != b.At {
			return a.At.Before(b.At)
		}
		return a.Process < b.Process
	})
	return merged
}
