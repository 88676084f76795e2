package admit

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// borrowTimeout bounds the question to the keeper of a limit.
	borrowTimeout = 500 * time.Millisecond
	// maxBorrows is the number of loans that a request waits for, since others
	// may use up what it waited for.
	maxBorrows = 3
	// asksPerSecond and asksAtOnce bound the questions of a daemon; beyond it
	// counts as not reaching the keeper.
	asksPerSecond = 100
	asksAtOnce    = 100
)

// LenderProvider reaches the daemons that keep the limits of callers.
type LenderProvider interface {
	// Lenders returns the VMs of the daemons that keep limits, this one
	// included; most tells that more than half of all daemons are heard.
	Lenders() (vms []string, most bool)
	// Borrow asks the daemon of a VM for up to want requests of a caller.
	Borrow(ctx context.Context, vm, caller string, want int) (member.Loan, error)
}

// newAsks returns the limiter of questions.
func newAsks() *rate.Limiter {
	return rate.NewLimiter(asksPerSecond, asksAtOnce)
}

// borrowing is a question in flight; its channel is closed with its end.
type borrowing struct {
	done chan struct{}
	vm   string
	want int
}

// leave applies the limit of a caller to a first send. It may wait for the keeper
// of the limit, borrowTimeout for a loan. An error has code CallerLimit, CallerGone
// or Stopping.
func (q *Queue) leave(ctx context.Context, caller string) error {
	q.mu.Lock()
	q.refresh(time.Now())
	q.limits.arrive(time.Now(), caller)
	q.mu.Unlock()
	for loans := 0; ; loans++ {
		b, mine, err := q.askLeave(caller, loans < maxBorrows)
		if b == nil {
			return err
		}
		if mine {
			q.borrow(ctx, b, caller)
			continue
		}
		select {
		case <-b.done:
		case <-ctx.Done():
			return code.Errorf(code.CallerGone, "the call was not sent")
		case <-q.tomb.Dying():
			return code.Errorf(code.Stopping, "the call was not sent")
		}
	}
}

// overLimit refuses a request of a caller.
func overLimit(caller string, after time.Duration) error {
	return refuse(code.CallerLimit, after, "caller %q is over its limit", caller)
}

// askLeave decides on a request, or, if that may wait, returns the question that it
// waits for; mine tells that the caller is to ask it.
func (q *Queue) askLeave(caller string, mayWait bool) (b *borrowing, mine bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	verdict, after := q.limits.ask(now, caller)
	if verdict == leaveGiven {
		return nil, false, nil
	}
	if verdict == leaveRefused || !mayWait {
		return nil, false, overLimit(caller, after)
	}
	if b := q.borrowings[caller]; b != nil {
		return b, false, nil
	}
	b = &borrowing{
		done: make(chan struct{}),
		vm:   q.limits.callers[caller].keeper,
		want: q.limits.want(now, caller, 1),
	}
	q.borrowings[caller] = b
	return b, true, nil
}

// borrow asks the keeper of a limit. Others may wait for the answer, so that it
// does not end when the caller goes.
func (q *Queue) borrow(ctx context.Context, b *borrowing, caller string) {
	defer close(b.done)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
	defer cancel()
	q.deps.Scope.Counter("admit_loans_asked").Inc(1)
	loan, err := q.ask(ctx, b, caller)
	if err != nil {
		q.deps.Scope.Counter("admit_loans_failed").Inc(1)
		q.deps.Log.Debug("loan_failed", zap.String("vm", b.vm), zap.String("caller", caller), zap.Error(err))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits.borrowed(time.Now(), caller, loan, err)
	delete(q.borrowings, caller)
}

// ask sends a question, unless there are too many.
func (q *Queue) ask(ctx context.Context, b *borrowing, caller string) (member.Loan, error) {
	if !q.asks.Allow() {
		return member.Loan{}, code.Errorf(code.QueueFull, "too many questions for loans")
	}
	return q.deps.Lenders.Borrow(ctx, b.vm, caller, b.want)
}

// Lend answers a daemon that asks for requests of a caller. An error has code
// BadParameter when this daemon does not keep the caller's limit.
func (q *Queue) Lend(caller string, want int) (member.Loan, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	q.setLenders(now)
	loan, ok := q.limits.lend(now, caller, want)
	if !ok {
		return loan, code.Errorf(code.BadParameter, "the limit of caller %q is not kept here", caller)
	}
	return loan, nil
}

// setLenders takes the daemons that keep limits.
func (q *Queue) setLenders(now time.Time) {
	if q.deps.Lenders != nil {
		vms, most := q.deps.Lenders.Lenders()
		q.limits.setDaemons(now, vms, most)
	}
}
