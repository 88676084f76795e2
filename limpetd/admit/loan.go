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
	// loanTimeout is the timeout of a loan request to the owner of a limit.
	loanTimeout = 500 * time.Millisecond
	// maxLoanWaits is the number of loans that a request waits for, since other
	// requests may use up a loan.
	maxLoanWaits = 3
	// loanRequestsPerSecond and loanRequestBurst limit the loan requests that a
	// daemon sends. Beyond the limit, the owner counts as unreachable.
	loanRequestsPerSecond = 100
	loanRequestBurst      = 100
)

// LimitOwnerProvider gives access to the daemons that own the limits of callers.
type LimitOwnerProvider interface {
	// LimitOwners returns the VMs of the daemons that own limits, including this one.
	// majority reports whether more than half of all daemons are reachable.
	LimitOwners() (vms []string, majority bool)
	// RequestLoan asks the daemon of a VM for a loan of up to want requests of a
	// caller's limit.
	RequestLoan(ctx context.Context, vm, caller string, want int) (member.Loan, error)
}

// newLoanLimiter returns the rate limiter of loan requests.
func newLoanLimiter() *rate.Limiter {
	return rate.NewLimiter(loanRequestsPerSecond, loanRequestBurst)
}

// loanRequest is a request for a loan that is in flight to the owner of a limit.
type loanRequest struct {
	// done is closed when the request has ended.
	done chan struct{}
	// vm is the VM of the owner.
	vm string
	// loanSize is the number of requests to borrow.
	loanSize int
}

// applyCallerLimit applies the limit of a caller to a first send. It may wait for up
// to maxLoanWaits loans, and up to loanTimeout for each. The error has code
// CallerLimit, CallerGone or Stopping.
func (q *Queue) applyCallerLimit(ctx context.Context, caller string) error {
	q.mu.Lock()
	q.refresh(time.Now())
	q.limits.recordArrival(time.Now(), caller)
	q.mu.Unlock()
	for loans := 0; ; loans++ {
		r, created, err := q.checkCallerLimit(caller, loans < maxLoanWaits)
		if r == nil {
			return err
		}
		if created {
			q.requestLoan(ctx, r, caller)
			continue
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return code.Errorf(code.CallerGone, "the call was not sent")
		case <-q.tomb.Dying():
			return code.Errorf(code.Stopping, "the call was not sent")
		}
	}
}

// overLimit returns the refusal, with a retry-after, of a request that exceeds the limit
// of its caller.
func overLimit(caller string, after time.Duration) error {
	return refuse(code.CallerLimit, after, "caller %q is over its limit", caller)
}

// checkCallerLimit decides on a request: err is nil if the request is within its
// caller's limit. If the decision needs a loan and the request may wait, it returns the
// loan request to wait for instead. created reports whether the loan request is new,
// and must be sent by the caller of this method.
func (q *Queue) checkCallerLimit(caller string, mayWait bool) (r *loanRequest, created bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	decision, after := q.limits.check(now, caller)
	if decision == limitAllow {
		return nil, false, nil
	}
	if decision == limitReject || !mayWait {
		return nil, false, overLimit(caller, after)
	}
	if r := q.loanRequests[caller]; r != nil {
		return r, false, nil
	}
	r = &loanRequest{
		done:     make(chan struct{}),
		vm:       q.limits.callers[caller].owner,
		loanSize: q.limits.loanSize(now, caller, 1),
	}
	q.loanRequests[caller] = r
	return r, true, nil
}

// requestLoan asks the owner of a limit for a loan and records the answer. It continues
// when ctx ends, because other requests may wait for the same loan.
func (q *Queue) requestLoan(ctx context.Context, r *loanRequest, caller string) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	defer cancel()
	q.deps.Scope.Counter("admit_loans_asked").Inc(1)
	loan, err := q.sendLoanRequest(ctx, r, caller)
	if err != nil {
		q.deps.Scope.Counter("admit_loans_failed").Inc(1)
		q.deps.Log.Debug("loan_failed", zap.String("vm", r.vm), zap.String("caller", caller), zap.Error(err))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits.recordLoan(time.Now(), caller, loan, err)
	delete(q.loanRequests, caller)
}

// sendLoanRequest sends a loan request to the owner of a limit. It returns an error
// without sending the request if this daemon exceeds its rate of loan requests.
func (q *Queue) sendLoanRequest(ctx context.Context, r *loanRequest, caller string) (member.Loan, error) {
	if !q.loanLimiter.Allow() {
		return member.Loan{}, code.Errorf(code.QueueFull, "too many loan requests")
	}
	return q.deps.LimitOwners.RequestLoan(ctx, r.vm, caller, r.loanSize)
}

// Lend answers a daemon that asks for a loan of a caller's limit. The error has code
// BadParameter if this daemon does not own the limit.
func (q *Queue) Lend(caller string, want int) (member.Loan, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	q.setLimitOwners(now)
	loan, ok := q.limits.lend(now, caller, want)
	if !ok {
		return loan, code.Errorf(code.BadParameter, "this daemon does not own the limit of caller %q", caller)
	}
	return loan, nil
}

// setLimitOwners updates the set of daemons that own limits.
func (q *Queue) setLimitOwners(now time.Time) {
	if q.deps.LimitOwners != nil {
		vms, majority := q.deps.LimitOwners.LimitOwners()
		q.limits.setDaemons(now, vms, majority)
	}
}
