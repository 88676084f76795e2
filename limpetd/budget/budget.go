// Package budget keeps the account of the memory that a process holds for callers and servers, and
// decides what happens when it is short: who is admitted, who waits, who is refused, and whose
// connection is closed. It is pure: it has no clock, no goroutines and no lock.
//
// A part of a request that has not arrived completely is an Incomplete: a body or a header. It holds
// what has arrived, not what was announced, and may be dropped. What is complete is charged to its
// Kind and is never dropped, because it may have been sent to a server.
//
// # Usage
//
//	a := budget.New(limit)
//	a.Begin(id, budget.Reading, true, now)
//	d := a.Ask(id, 4096, now)
//	// d.Drop are dropped first; then, by d.Verdict, the memory is allocated, or the body waits or is refused.
//	a.Arrive(id, 4096, now)
//	a.End(id)
//	a.Charge(budget.Waiting, size)
package budget

import "time"

// Kind is what memory is held for.
type Kind int

// The kinds of memory.
const (
	// Connections is what connections hold without a request.
	Connections Kind = iota
	// Headers are the bytes of headers, complete or not.
	Headers
	// Reading are the buffers of bodies that are being read.
	Reading
	// Waiting are the bodies of calls that wait for a server or for its response.
	Waiting
	// Calls is what calls take beside their headers and bodies, from the end of the header to the end of the response.
	Calls
	// Responses are responses that are buffered.
	Responses
	// Streams are the buffers of streams, which are full while their callers read slowly.
	Streams
	kinds
)

var kindNames = [kinds]string{"connections", "headers", "reading", "waiting", "calls", "responses", "streams"}

// String returns the name of the kind in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

const (
	// smallSize is the size up to which a body may use all of the account. Larger ones leave a
	// smallShare of it, so that calls of ordinary size are admitted while large ones wait.
	smallSize  = 64 << 10
	smallShare = 8
	// dropAge is the age from which an Incomplete may be dropped. A body that arrives without pauses
	// is complete by then, unless it shares a slow link with many others.
	dropAge = time.Second
	// unknownFactor is how much more a body of unknown size counts when one is chosen to be dropped.
	unknownFactor = 2
	// rateWindow is the time over which the rate of a body is measured.
	rateWindow = 5 * time.Second
	// maxSpare is the number of ended Incompletes that are kept for later ones.
	maxSpare = 64
)

// ID identifies an Incomplete.
type ID uint64

// Incomplete is a body or header that is arriving.
type Incomplete struct {
	kind Kind
	// known is whether its size was announced.
	known bool
	began time.Time
	// held is the memory that it holds. attached is charged elsewhere, and becomes free with it.
	held, attached int64
	// windowAt is when the window began over which its rate is measured, windowBytes what arrived since.
	windowAt    time.Time
	windowBytes int64
}

// Verdict is what becomes of a body or header that asks for memory.
type Verdict int

// The verdicts. Refused means that the memory is short and that it is the one to be dropped.
const (
	Admitted Verdict = iota
	Waits
	Refused
)

// Decision is the answer to Ask. Drop are those that are dropped for it, whatever the verdict: the caller ends them, and
// calls Freed when what is attached to them is free.
type Decision struct {
	Verdict Verdict
	Drop    []ID
}

// Account is the account of a process.
type Account struct {
	limit      int64
	used       [kinds]int64
	total      int64
	incomplete map[ID]*Incomplete
	// pendingFree is the part of total that is attached to dropped Incompletes and not released yet.
	pendingFree int64
	// spare are Incompletes that ended, so that an ordinary body allocates none.
	spare []*Incomplete
}

// New returns an account of limit bytes; 0 means that there is no limit.
func New(limit int64) *Account {
	return &Account{limit: limit, incomplete: map[ID]*Incomplete{}}
}

// Limit returns the limit of the account in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the memory that is held for a kind.
func (a *Account) Used(k Kind) int64 { return a.used[k] }

// Charge adds n bytes, or subtracts them if n is negative, for what exists already.
func (a *Account) Charge(k Kind, n int64) {
	a.used[k] += n
	a.total += n
}

// Begin adds a body or header that holds nothing yet. known is whether its size was announced.
func (a *Account) Begin(id ID, k Kind, known bool, now time.Time) {
	var i *Incomplete
	if n := len(a.spare); n > 0 {
		i, a.spare = a.spare[n-1], a.spare[:n-1]
	} else {
		i = new(Incomplete)
	}
	*i = Incomplete{kind: k, known: known, began: now, windowAt: now}
	a.incomplete[id] = i
}

// End removes a body or header with what it held, and reports whether it was there. Those that were
// dropped are removed already.
func (a *Account) End(id ID) bool {
	i := a.incomplete[id]
	if i == nil {
		return false
	}
	a.Charge(i.kind, -i.held)
	delete(a.incomplete, id)
	if len(a.spare) < maxSpare {
		a.spare = append(a.spare, i)
	}
	return true
}

// Free subtracts n bytes that a body holds no longer.
func (a *Account) Free(id ID, n int64) {
	if i := a.incomplete[id]; i != nil {
		a.hold(i, -n)
	}
}

// Attach records that n bytes that are charged elsewhere become free when a body or header is dropped, as the header of
// a body does.
func (a *Account) Attach(id ID, n int64) {
	if i := a.incomplete[id]; i != nil {
		i.attached = n
	}
}

// Arrive records that n bytes of a body or header have arrived.
func (a *Account) Arrive(id ID, n int64) {
	if i := a.incomplete[id]; i != nil {
		i.windowBytes += n
	}
}

// Ask decides whether a body or header may hold n bytes more. The bytes are charged if it is admitted.
// One that was dropped is refused.
func (a *Account) Ask(id ID, n int64, now time.Time) Decision {
	own := a.incomplete[id]
	if own == nil {
		return Decision{Verdict: Refused}
	}
	if a.limit <= 0 || a.total+n <= a.limitOf(own, n) {
		a.hold(own, n)
		return Decision{}
	}
	need := a.total - a.pendingFree + n - a.limitOf(own, n)
	var drop []ID
	for need > 0 {
		id, worst := a.worst(own, now, drop)
		switch worst {
		case nil:
			return Decision{Verdict: Waits}
		case own:
			return Decision{Verdict: Refused}
		}
		drop = append(drop, id)
		need -= worst.held + worst.attached
	}
	for _, d := range drop {
		a.pendingFree += a.incomplete[d].attached
		a.End(d)
	}
	if a.total+n > a.limitOf(own, n) {
		return Decision{Verdict: Waits, Drop: drop}
	}
	a.hold(own, n)
	return Decision{Drop: drop}
}

// Freed records the release of n bytes that were attached to a dropped Incomplete.
func (a *Account) Freed(n int64) { a.pendingFree -= n }

// hold charges n bytes to a body or header.
func (a *Account) hold(i *Incomplete, n int64) {
	i.held += n
	a.Charge(i.kind, n)
}

// limitOf returns the limit for one that is to hold n bytes more.
func (a *Account) limitOf(i *Incomplete, n int64) int64 {
	if i.held+n > smallSize {
		return a.limit - a.limit/smallShare
	}
	return a.limit
}

// worst returns the one that is to be dropped first, without those in except: the one that has held
// most memory for the longest time. It is nil if none is old enough. Those that weigh less than own
// are not dropped for it.
func (a *Account) worst(own *Incomplete, now time.Time, except []ID) (ID, *Incomplete) {
	var id ID
	var worst *Incomplete
	most := own.weight(now)
	if now.Sub(own.began) >= dropAge {
		worst = own
	}
	for other, i := range a.incomplete {
		if i == own || i.held+i.attached == 0 || now.Sub(i.began) < dropAge || contains(except, other) {
			continue
		}
		if w := i.weight(now); w > most {
			id, worst, most = other, i, w
		}
	}
	return id, worst
}

// weight returns the byte seconds that it has held: the larger and the slower it is, the more.
func (i *Incomplete) weight(now time.Time) float64 {
	w := float64(i.held+i.attached) * now.Sub(i.began).Seconds()
	if !i.known {
		w *= unknownFactor
	}
	return w
}

func contains(list []ID, id ID) bool {
	for _, l := range list {
		if l == id {
			return true
		}
	}
	return false
}

// Slow ends the bodies that arrived at less than rate bytes per second over the last window, and returns
// them. A rate of 0 means that there is no minimum.
func (a *Account) Slow(rate int64, now time.Time) []ID {
	var slow []ID
	for id, i := range a.incomplete {
		window := now.Sub(i.windowAt)
		if i.kind != Reading || rate <= 0 || window < rateWindow {
			continue
		}
		if i.windowBytes < int64(float64(rate)*window.Seconds()) {
			slow = append(slow, id)
		}
		i.windowAt, i.windowBytes = now, 0
	}
	for _, id := range slow {
		a.End(id)
	}
	return slow
}

// Restart begins the windows of all bodies anew, after a time in which the process could not read.
func (a *Account) Restart(now time.Time) {
	for _, i := range a.incomplete {
		i.windowAt, i.windowBytes = now, 0
	}
}
