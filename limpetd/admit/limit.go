package admit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/quota"
)

const (
	// loanTTL is the time after which the unused requests of a loan expire. A
	// daemon borrows as many requests as the caller recently sent in this time.
	loanTTL = 500 * time.Millisecond
	// unreachableBackoff is how long the owner of a limit is not asked for loans
	// after it could not be reached.
	unreachableBackoff = time.Second
	// fallbackFraction is the fraction of a limit that all daemons together grant
	// while they cannot reach its owner.
	fallbackFraction = quota.LoanFallbackFraction
)

// limitDecision is the result of checking a request against its caller's limit.
type limitDecision int

// The decisions. limitBorrow means that the daemon needs a loan from the owner of
// the limit to decide.
const (
	limitAllow limitDecision = iota
	limitReject
	limitBorrow
)

// limits enforces the request limits of callers at one daemon. Each limit is owned
// by one of the live daemons, which lends requests to the other daemons. limits is a
// pure state machine: it starts no goroutines and reads no clock.
type limits struct {
	// vm is the VM of this daemon, daemons the VMs of the daemons that own limits.
	vm      string
	daemons []string
	// majority is whether more than half of the daemons are reachable. If not, the
	// others may have chosen owners without this daemon.
	majority bool
	callers  map[string]*callerLimit
}

// callerLimit is the limit of one caller.
type callerLimit struct {
	perSecond float64
	// owner is the VM of the daemon that owns the limit.
	owner    string
	arrivals meter
	// borrowed is the number of borrowed requests left, which expire at expiresAt.
	borrowed  int
	expiresAt time.Time
	// The owner is not asked for a loan until exhaustedUntil when it had nothing to
	// lend, and until unreachableUntil when it could not be reached.
	exhaustedUntil, unreachableUntil time.Time
	// fallback is used while the owner cannot be reached.
	fallback quota.CycleShare
	// bucket is used if this daemon is the owner.
	bucket quota.LoanBucket
}

// newLimits returns the limits of a daemon, without callers. The daemon owns all
// limits until setDaemons is called.
func newLimits(vm string) *limits {
	return &limits{vm: vm, daemons: []string{vm}, majority: true, callers: make(map[string]*callerLimit)}
}

// setCallers replaces the limits by those of a document. Callers that had a limit
// before keep their state.
func (l *limits) setCallers(callers []envdoc.Caller) {
	old := l.callers
	l.callers = make(map[string]*callerLimit, len(callers))
	for _, c := range callers {
		if c.RequestsPerSecond <= 0 {
			continue
		}
		cl := old[c.Name]
		if cl == nil {
			cl = &callerLimit{owner: ownerOf(c.Name, l.daemons)}
		}
		cl.perSecond = c.RequestsPerSecond
		l.callers[c.Name] = cl
	}
}

// setDaemons sets the VMs of the daemons that own limits, including this one, and
// whether more than half of all daemons are reachable. A daemon that becomes the owner
// of a limit, or regains the majority, starts with an almost empty bucket and a reduced
// rate, because the previous owner may still be lending.
func (l *limits) setDaemons(now time.Time, vms []string, majority bool) {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	if slices.Equal(vms, l.daemons) && majority == l.majority {
		return
	}
	regained := majority && !l.majority
	l.daemons, l.majority = vms, majority
	for name, cl := range l.callers {
		owner := ownerOf(name, vms)
		if owner == l.vm && (regained || cl.owner != l.vm) {
			cl.bucket.Reset(now)
		}
		if owner != cl.owner {
			cl.exhaustedUntil, cl.unreachableUntil = time.Time{}, time.Time{}
		}
		cl.owner = owner
	}
}

// ownerOf returns the VM of the daemon that owns the limit of a caller. It uses
// rendezvous hashing, so that few limits change their owner when a daemon joins or
// leaves.
func ownerOf(caller string, vms []string) string {
	seed := xxhash.Sum64String(caller)
	var best string
	var highest uint64
	for _, vm := range vms {
		if h := mixBits(seed ^ xxhash.Sum64String(vm)); best == "" || h > highest {
			best, highest = vm, h
		}
	}
	return best
}

// recordArrival counts a request of a caller.
func (l *limits) recordArrival(now time.Time, caller string) {
	if cl := l.callers[caller]; cl != nil {
		cl.arrivals.add(now, 1)
	}
}

// check decides on a request of a caller. With limitReject it returns the time after
// which the caller may try again.
func (l *limits) check(now time.Time, caller string) (limitDecision, time.Duration) {
	cl := l.callers[caller]
	switch {
	case cl == nil:
		return limitAllow, 0
	case cl.owner == l.vm:
		granted, retryAfter := cl.bucket.Lend(now, cl.perSecond, 1, l.majority)
		if granted == 0 {
			return limitReject, retryAfter
		}
		return limitAllow, 0
	case cl.borrowed > 0 && now.Before(cl.expiresAt):
		cl.borrowed--
		return limitAllow, 0
	case now.Before(cl.exhaustedUntil):
		return limitReject, cl.exhaustedUntil.Sub(now)
	case now.Before(cl.unreachableUntil):
		if ok, retryAfter := cl.fallback.Take(now, l.fallbackRate(cl), l.phase(caller)); !ok {
			return limitReject, retryAfter
		}
		return limitAllow, 0
	}
	return limitBorrow, 0
}

// loanSize returns the number of requests to borrow for a caller. waiting is the number
// of the caller's requests that wait for the loan.
func (l *limits) loanSize(now time.Time, caller string, waiting int) int {
	cl := l.callers[caller]
	if cl == nil {
		return waiting
	}
	return max(waiting, int(cl.arrivals.perSecond(now)*loanTTL.Seconds()))
}

// recordLoan records the owner's answer to a loan request, or the error if there was
// no answer.
func (l *limits) recordLoan(now time.Time, caller string, loan member.Loan, err error) {
	cl := l.callers[caller]
	switch {
	case cl == nil:
	case err != nil:
		cl.unreachableUntil = now.Add(unreachableBackoff)
	case loan.Granted > 0:
		cl.borrowed, cl.expiresAt = loan.Granted, now.Add(loanTTL)
	default:
		cl.exhaustedUntil = now.Add(loan.RetryAfter)
	}
}

// lend answers a daemon that asks for a loan of a caller's limit. ok reports whether
// this daemon owns the limit.
func (l *limits) lend(now time.Time, caller string, want int) (loan member.Loan, ok bool) {
	cl := l.callers[caller]
	if cl == nil || cl.owner != l.vm {
		return member.Loan{}, false
	}
	granted, retryAfter := cl.bucket.Lend(now, cl.perSecond, want, l.majority)
	return member.Loan{Granted: granted, RetryAfter: retryAfter}, true
}

// fallbackRate returns the requests per second that this daemon grants while it cannot
// reach the owner.
func (l *limits) fallbackRate(cl *callerLimit) float64 {
	return fallbackFraction * cl.perSecond / float64(max(len(l.daemons), 1))
}

// phase returns the phase of this daemon's cycles of fallback, in [0, 1).
func (l *limits) phase(caller string) float64 {
	return unitFloat(mixBits(xxhash.Sum64String(caller) ^ xxhash.Sum64String(l.vm)))
}
