package admit

import (
	"container/heap"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/route"
)

// Call is a request in a State. Its fields are set by the State.
type Call struct {
	Request Request
	// Choice is the engine to send to, once the call is granted.
	Choice route.Choice
	// Err is the refusal, once the call is refused.
	Err error
	// Memo belongs to the user of the State.
	Memo any

	class   route.Class
	arrived time.Time
	// due orders calls of a rank; latest is when a call that is still waiting
	// cannot meet its expectation any more.
	due, latest time.Time
	// notBefore is the earliest time of a retry.
	notBefore time.Time
	status    status
	// waited tells that the call waited for room.
	waited bool
	// backend is where the call was sent, the times when it was sent and ended.
	backend     *backend
	sent, ended time.Time
	first       bool
	stalled     bool
	// slowness is that of the backend when the call was sent.
	slowness float64
	// place is the place in the heap, slot that in the backend's flight, order
	// that of arrival.
	place, slot, order int
}

// status is how far a call is.
type status int

// The statuses of a call.
const (
	statusWaiting status = iota
	statusGranted
	statusRefused
	statusEnded
)

// Granted tells whether the call was granted and has not ended.
func (c *Call) Granted() bool { return c.status == statusGranted }

// stalls tells whether a call that was sent is urgent and waits too long for its
// first token.
func (c *Call) stalls(now time.Time) bool {
	wait := now.Sub(c.sent)
	return !c.first && c.class == route.ClassUrgent && wait > stallTime && wait > stallFactor*c.Choice.Estimate
}

// need returns the prompt tokens that the engine is expected to process.
func (c *Call) need() int {
	return c.Request.Route.PromptTokens - c.Choice.CachedTokens
}

// before tells whether c goes before o in their class.
func (c *Call) before(o *Call) bool {
	if c.Request.Route.Rank != o.Request.Route.Rank {
		return c.Request.Route.Rank < o.Request.Route.Rank
	}
	if !c.due.Equal(o.due) {
		return c.due.Before(o.due)
	}
	return c.order < o.order
}

// calls is a heap of waiting calls.
type calls []*Call

var _ heap.Interface = (*calls)(nil)

// Len returns the number of calls.
func (h calls) Len() int { return len(h) }

// Less orders the calls.
func (h calls) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap swaps two calls.
func (h calls) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds a call.
func (h *calls) Push(x any) {
	c := x.(*Call)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop removes the last call.
func (h *calls) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// classes is the number of classes.
const classes = int(route.ClassDeferred) + 1

// line holds the calls that wait for one model or adapter.
type line struct {
	target  target
	waiting [classes]calls
	// fullSince is when calls began to wait without a break; granted counts
	// the grants since.
	fullSince time.Time
	granted   float64
}

// len returns the number of waiting calls.
func (l *line) len() int {
	n := 0
	for i := range l.waiting {
		n += len(l.waiting[i])
	}
	return n
}

// ahead returns the number of calls that go before those of a class.
func (l *line) ahead(class route.Class) int {
	n := 0
	for i := range int(class) + 1 {
		n += len(l.waiting[i])
	}
	return n
}

// rateSpan is the time over which the rate of grants is measured.
const rateSpan = 4 * time.Second

// grant counts a grant.
func (l *line) grant(now time.Time) {
	if l.fullSince.IsZero() {
		return
	}
	l.granted++
	if d := now.Sub(l.fullSince); d > rateSpan {
		l.granted /= 2
		l.fullSince = now.Add(-d / 2)
	}
}

// rate returns the recent grants a second, or false when calls have not waited
// long enough to tell.
func (l *line) rate(now time.Time) (float64, bool) {
	d := now.Sub(l.fullSince)
	if l.fullSince.IsZero() || d < time.Second {
		return 0, false
	}
	return max(l.granted, 0.5) / d.Seconds(), true
}
