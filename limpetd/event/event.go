// Package event records the events of a process in a ring buffer of limited size. Events are
// ordered by hybrid logical time; `limpet events` merges the events of all daemons.
//
// A hybrid logical clock follows the physical clock, but is never behind a timestamp that
// was received from another process. In the merged list, each effect therefore follows its
// cause. If the ring buffer is full, each new event overwrites the oldest one, and the
// overwritten events are counted.
//
// # Usage
//
//	timeline := event.New("vm-a1", event.WithCapacity(8192))
//	timeline.Add(event.Event{Kind: event.OrderSent, Model: "m1", VM: "engine-3"})
//	events := timeline.Select(event.Filter{Model: "m1"})
package event

import (
	"sort"
	"sync"
	"time"
)

// Timestamp is a timestamp of a hybrid logical clock.
type Timestamp struct {
	// Wall is the physical time in nanoseconds since 1970.
	Wall int64 `json:"wall"`
	// Logical orders timestamps with the same physical time.
	Logical int32 `json:"logical"`
}

// Before reports whether s is earlier than o.
func (s Timestamp) Before(o Timestamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// Kind is the name of a kind of event, in snake case.
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

// Event is an entry of the event log of a process. Fields that do not apply to the kind of
// event are empty. At and Process are set by Timeline.Add. VM is the VM that the event
// concerns, and Code is the number of a result code.
type Event struct {
	At      Timestamp `json:"at"`
	Process string    `json:"process"`
	Kind    Kind      `json:"kind"`
	Request string    `json:"request,omitempty"`
	Model   string    `json:"model,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Code    int       `json:"code,omitempty"`
	Text    string    `json:"text,omitempty"`
}

// Filter selects events. An empty field matches all events. VM matches the VM of an event or
// the process that recorded it. Since is inclusive, Until exclusive.
type Filter struct {
	Request string    `json:"request,omitempty"`
	Model   string    `json:"model,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Since   time.Time `json:"since,omitzero"`
	Until   time.Time `json:"until,omitzero"`
	// Limit is the maximum number of events returned. If more match, the newest are
	// returned; 0 means no limit.
	Limit int `json:"limit,omitempty"`
}

// Matches reports whether e matches the filter. It ignores Limit.
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

// DefaultCapacity is the default capacity of a Timeline in events.
const DefaultCapacity = 8192

// Option configures a Timeline.
type Option func(*Timeline)

// WithCapacity sets the capacity of the Timeline in events.
func WithCapacity(n int) Option {
	return func(l *Timeline) { l.capacity = n }
}

// Timeline is the event log of a process. It is safe for concurrent use.
type Timeline struct {
	process  string
	capacity int

	mu sync.Mutex
	// last is the latest timestamp issued or received.
	last Timestamp
	ring []Event
	// oldest is the index of the oldest event in ring, which is overwritten next if ring is
	// full.
	oldest      int
	overwritten int64
}

// New returns an empty event log for a process.
func New(process string, opts ...Option) *Timeline {
	l := &Timeline{process: process, capacity: DefaultCapacity}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Add sets the timestamp and the process of e and records e.
func (l *Timeline) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = l.nextStamp(time.Now().UnixNano())
	e.Process = l.process
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.oldest] = e
	l.oldest = (l.oldest + 1) % l.capacity
	l.overwritten++
}

// Now returns a timestamp to send with a message to another process.
func (l *Timeline) Now() Timestamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextStamp(time.Now().UnixNano())
}

// Observe records a timestamp received from another process, so that later events of this
// process have a later timestamp. It ignores a timestamp that is more than MaxClockSkew
// ahead of the local clock, because otherwise one wrong clock would advance the clocks of
// all processes.
func (l *Timeline) Observe(s Timestamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Wall > time.Now().Add(MaxClockSkew).UnixNano() {
		return
	}
	if l.last.Before(s) {
		l.last = s
	}
}

// MaxClockSkew is the maximum time that a received timestamp may be ahead of the local clock.
const MaxClockSkew = 10 * time.Second

// nextStamp advances the clock and returns the next timestamp at physical time now.
func (l *Timeline) nextStamp(now int64) Timestamp {
	if now > l.last.Wall {
		l.last = Timestamp{Wall: now}
	} else {
		l.last.Logical++
	}
	return l.last
}

// Select returns the events that match f, oldest first.
func (l *Timeline) Select(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var events []Event
	for i := range l.ring {
		e := l.ring[(l.oldest+i)%len(l.ring)]
		if f.Matches(e) {
			events = append(events, e)
		}
	}
	if f.Limit > 0 && len(events) > f.Limit {
		events = events[len(events)-f.Limit:]
	}
	return events
}

// Overwritten returns the number of events that newer events have overwritten.
func (l *Timeline) Overwritten() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overwritten
}

// Merge returns the events of several processes, sorted by timestamp and so in causal order.
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
