package admit

import (
	"context"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// ticket is the permission to send one generation.
type ticket struct {
	queue *Queue
	call  *Call
}

var _ Ticket = (*ticket)(nil)

// Choice returns the engine to send the generation to.
func (t *ticket) Choice() route.Choice { return t.call.Choice }

// FirstToken records that the first token arrived.
func (t *ticket) FirstToken() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.state.FirstToken(now, t.call)
	q.deps.Scope.Timer("admit_first_token").Record(now.Sub(t.call.arrived))
}

// Release frees the room on the engine and decides waiting calls. A second call does
// not change the engine's state.
func (t *ticket) Release(o Outcome) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.state.Release(now, t.call, o)
	if q.state.Waiting() > 0 {
		q.refresh(now)
		q.decideWaiting(now)
	}
}

// AdmitService chooses a backend server for a call to a plain service. It blocks only
// for a loan of the caller's limit and for the backoff before a retry. A refusal has
// code CallerLimit, NoBackend or RetryBudget and a retry-after; other errors are
// Stopping when the daemon stops and CallerGone when ctx ends.
func (q *Queue) AdmitService(ctx context.Context, r ServiceRequest) (Ticket, error) {
	if err := q.waitForPermit(ctx, r); err != nil {
		q.recordRefusal(r.ID, "", err)
		return nil, err
	}
	choice, err := q.chooseServer(r, q.deps.VMs.VMs())
	if err != nil {
		q.recordRefusal(r.ID, "", err)
		return nil, err
	}
	return &serviceTicket{queue: q, choice: choice, pool: r.Pool}, nil
}

// waitForPermit waits until a call may be sent: a first send within the caller's limit,
// a retry within the retry budget and after its backoff.
func (q *Queue) waitForPermit(ctx context.Context, r ServiceRequest) error {
	if r.Attempt > 0 {
		return q.waitForRetry(ctx, r.Attempt)
	}
	return q.applyCallerLimit(ctx, r.Caller)
}

// chooseServer chooses a server among vms, and counts a first send for the retry budget.
func (q *Queue) chooseServer(r ServiceRequest, vms []store.VM) (route.Choice, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	choice, err := q.serviceBalancer.choose(now, r, vms)
	if err == nil && r.Attempt == 0 {
		q.state.recordFirstSend(now)
	}
	return choice, err
}

// waitForRetry takes a retry from the retry budget and waits for its backoff.
func (q *Queue) waitForRetry(ctx context.Context, attempt int) error {
	q.mu.Lock()
	err := q.state.takeRetry(time.Now(), attempt)
	wait := retryWait(attempt, q.random)
	q.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return code.Errorf(code.CallerGone, "the call was not sent")
	case <-q.tomb.Dying():
		return code.Errorf(code.Stopping, "the call was not sent")
	}
}

// serviceTicket is the permission to send one call to a plain service.
type serviceTicket struct {
	queue  *Queue
	choice route.Choice
	pool   string
	once   sync.Once
}

var _ Ticket = (*serviceTicket)(nil)

// Choice returns the server to send the call to.
func (t *serviceTicket) Choice() route.Choice { return t.choice }

// FirstToken has no effect, since a plain service generates no tokens.
func (t *serviceTicket) FirstToken() {}

// Release records the end of the call; a second call has no effect.
func (t *serviceTicket) Release(o Outcome) {
	t.once.Do(func() {
		q := t.queue
		vms := q.deps.VMs.VMs()
		q.mu.Lock()
		defer q.mu.Unlock()
		q.serviceBalancer.release(time.Now(), t.choice.VM, t.pool, o, vms)
	})
}
