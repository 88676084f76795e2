package admit

import (
	"container/heap"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Call is a request that was offered to a State. The State sets all fields but UserData.
type Call struct {
	Request Request
	// Choice is the engine to send the call to, once the call is granted.
	Choice route.Choice
	// Err is the reason of the refusal, once the call is refused.
	Err error
	// UserData is for the user of the State, which ignores it.
	UserData any

	class   route.Class
	arrived time.Time
	// due orders the calls of a rank. It is the expected time of the first token,
	// or the time at which a deferred call is promoted to normal. shedAfter is the
	// time after which a call that still waits is refused, because it can no longer
	// meet its expected time or deadline.
	due, shedAfter time.Time
	// notBefore is the earliest time of a retry, zero once the backoff is over.
	notBefore time.Time
	status    status
	// waited is whether the call waited for room.
	waited bool
	// backend is the engine that the call was sent to at sent.
	backend     *backend
	sent, ended time.Time
	// gotFirstToken is whether the first token arrived or the call ended.
	gotFirstToken bool
	// stallCounted is whether the missing first token was counted as a failure.
	stallCounted bool
	// slowness is the backend's slowness when the call was sent.
	slowness float64
	// heapIndex is the index in the heap of waiting calls, flightIndex the index
	// in the backend's calls in flight, and sequence the order of arrival.
	heapIndex, flightIndex, sequence int
}

// status is the state of a call in its life cycle.
type status int

// The statuses of a call.
const (
	statusWaiting status = iota
	statusGranted
	statusRefused
	statusEnded
)

// Granted reports whether the call was granted and has not ended.
func (c *Call) Granted() bool { return c.status == statusGranted }

// stalled reports whether a granted call is urgent and has waited too long for its
// first token.
func (c *Call) stalled(now time.Time) bool {
	wait := now.Sub(c.sent)
	return !c.gotFirstToken && c.class == route.ClassUrgent && wait > stallTime && wait > stallFactor*c.Choice.Estimate
}

// uncachedTokens returns the number of prompt tokens that the engine is expected to
// process.
func (c *Call) uncachedTokens() int {
	return c.Request.Route.PromptTokens - c.Choice.CachedTokens
}

// before reports whether c precedes o in the queue of their class.
func (c *Call) before(o *Call) bool {
	if c.Request.Route.Rank != o.Request.Route.Rank {
		return c.Request.Route.Rank < o.Request.Route.Rank
	}
	if !c.due.Equal(o.due) {
		return c.due.Before(o.due)
	}
	return c.sequence < o.sequence
}

// callHeap is a heap of waiting calls, ordered by Call.before.
type callHeap []*Call

var _ heap.Interface = (*callHeap)(nil)

// Len returns the number of calls.
func (h callHeap) Len() int { return len(h) }

// Less reports whether call i precedes call j.
func (h callHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap swaps two calls.
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a call.
func (h *callHeap) Push(x any) {
	c := x.(*Call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop removes and returns the last call of the slice.
func (h *callHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// classCount is the number of classes.
const classCount = int(route.ClassDeferred) + 1

// targetQueue holds the calls that wait for one model or adapter.
type targetQueue struct {
	target  target
	waiting [classCount]callHeap
	// The queue has not been empty since waitingSince, and granted counts the calls
	// granted since then. Both are halved once they span more than grantRateSpan, so
	// that the rate follows recent grants.
	waitingSince time.Time
	granted      float64
}

// len returns the number of waiting calls.
func (q *targetQueue) len() int {
	n := 0
	for i := range q.waiting {
		n += len(q.waiting[i])
	}
	return n
}

// ahead returns the number of waiting calls of a class and of more urgent classes.
func (q *targetQueue) ahead(class route.Class) int {
	n := 0
	for i := range int(class) + 1 {
		n += len(q.waiting[i])
	}
	return n
}

// grantRateSpan is the time over which the rate of grants is measured.
const grantRateSpan = 4 * time.Second

// grant counts a granted call.
func (q *targetQueue) grant(now time.Time) {
	if q.waitingSince.IsZero() {
		return
	}
	q.granted++
	if d := now.Sub(q.waitingSince); d > grantRateSpan {
		q.granted /= 2
		q.waitingSince = now.Add(-d / 2)
	}
}

// grantRate returns the recent grants per second, or false when calls have waited
// for less than a second, which is too short to measure a rate.
func (q *targetQueue) grantRate(now time.Time) (float64, bool) {
	d := now.Sub(q.waitingSince)
	if q.waitingSince.IsZero() || d < time.Second {
		return 0, false
	}
	return max(q.granted, 0.5) / d.Seconds(), true
}
