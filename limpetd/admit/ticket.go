package admit

import (
	"context"
	"sync"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/route"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// ticket is the leave to send one generation.
type ticket struct {
	queue *Queue
	call  *Call
}

var _ Ticket = (*ticket)(nil)

// Choice returns the engine to send to.
func (t *ticket) Choice() route.Choice { return t.call.Choice }

// FirstToken notes that the first token came.
func (t *ticket) FirstToken() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.state.FirstToken(now, t.call)
	q.deps.Scope.Timer("admit_first_token").Record(now.Sub(t.call.arrived))
}

// Release gives the room back; a second call has no effect.
func (t *ticket) Release(o Outcome) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.state.Release(now, t.call, o)
	if q.state.Waiting() > 0 {
		q.refresh(now)
		q.decide(now)
	}
}

// AdmitService chooses a backend server for a call to a plain service. It waits
// for a loan of the caller's limit and before a retry only. It returns an error
// with code CallerLimit, NoBackend or RetryBudget and a retry-after.
func (q *Queue) AdmitService(ctx context.Context, r ServiceRequest) (Ticket, error) {
	if err := q.mayStart(ctx, r); err != nil {
		q.refused(r.ID, "", err)
		return nil, err
	}
	choice, err := q.chooseServer(r, q.deps.VMs.VMs())
	if err != nil {
		q.refused(r.ID, "", err)
		return nil, err
	}
	return &serviceTicket{queue: q, choice: choice, pool: r.Pool}, nil
}

// mayStart waits until a call may be sent: a first send within the caller's limit,
// a retry within the budget.
func (q *Queue) mayStart(ctx context.Context, r ServiceRequest) error {
	if r.Attempt > 0 {
		return q.waitForRetry(ctx, r.Attempt)
	}
	return q.leave(ctx, r.Caller)
}

// chooseServer chooses a server.
func (q *Queue) chooseServer(r ServiceRequest, vms []store.VM) (route.Choice, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	choice, err := q.services.choose(now, r, vms)
	if err == nil && r.Attempt == 0 {
		q.state.earn(now)
	}
	return choice, err
}

// waitForRetry takes from the retry budget and waits a random time.
func (q *Queue) waitForRetry(ctx context.Context, attempt int) error {
	q.mu.Lock()
	err := q.state.retry(time.Now(), attempt)
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

// serviceTicket is the leave to send one call to a plain service.
type serviceTicket struct {
	queue  *Queue
	choice route.Choice
	pool   string
	once   sync.Once
}

var _ Ticket = (*serviceTicket)(nil)

// Choice returns the server to send to.
func (t *serviceTicket) Choice() route.Choice { return t.choice }

// FirstToken has no effect.
func (t *serviceTicket) FirstToken() {}

// Release gives the room back; a second call has no effect.
func (t *serviceTicket) Release(o Outcome) {
	t.once.Do(func() {
		q := t.queue
		vms := q.deps.VMs.VMs()
		q.mu.Lock()
		defer q.mu.Unlock()
		q.services.release(time.Now(), t.choice.VM, t.pool, o, vms)
	})
}
