package admit

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	// loanTime is the time for which a daemon borrows at the recent rate of a
	// caller, and after which what it did not use is void.
	loanTime = 500 * time.Millisecond
	// cutTime is how long the keeper of a limit is not asked after it could not
	// be reached.
	cutTime = time.Second
	// safePart is the part of a limit that all daemons together grant without
	// their keepers.
	safePart = 0.25
	// turnTime is how long a daemon may use its turn.
	turnTime = time.Second
)

// leave is what becomes of a request with regard to its caller's limit.
type leave int

// The kinds of leave. leaveAsk means that the keeper of the limit is to be asked.
const (
	leaveGiven leave = iota
	leaveRefused
	leaveAsk
)

// limits are the request limits of callers at one daemon. One of the live
// daemons keeps the limit of a caller and lends requests to the others. It is
// pure: it starts nothing and asks no clock.
type limits struct {
	vm      string
	daemons []string
	// most tells that more than half of the daemons are heard. The others may
	// have left this one out.
	most    bool
	callers map[string]*callerLimit
}

// callerLimit is the limit of one caller.
type callerLimit struct {
	perSecond float64
	keeper    string
	use       meter
	// lent is the number of requests borrowed, which are void from voidAt.
	lent   int
	voidAt time.Time
	// emptyUntil is when the keeper, which had none to lend, is asked again,
	// cutUntil when one that could not be reached is.
	emptyUntil, cutUntil time.Time
	safe                 safeShare
	account              account
}

// newLimits returns limits of a daemon for no caller.
func newLimits(vm string) *limits {
	return &limits{vm: vm, daemons: []string{vm}, most: true, callers: make(map[string]*callerLimit)}
}

// set takes the limits of a document.
func (l *limits) set(callers []envdoc.Caller) {
	old := l.callers
	l.callers = make(map[string]*callerLimit, len(callers))
	for _, c := range callers {
		if c.RequestsPerSecond <= 0 {
			continue
		}
		k := old[c.Name]
		if k == nil {
			k = &callerLimit{keeper: keeperOf(c.Name, l.daemons)}
		}
		k.perSecond = c.RequestsPerSecond
		l.callers[c.Name] = k
	}
}

// setDaemons takes the daemons that keep limits, this one included, and whether
// most are heard. A daemon that becomes the keeper of a limit begins with care,
// since the one before may lend yet.
func (l *limits) setDaemons(now time.Time, vms []string, most bool) {
	vms = slices.Clone(vms)
	slices.Sort(vms)
	if slices.Equal(vms, l.daemons) && most == l.most {
		return
	}
	back := most && !l.most
	l.daemons, l.most = vms, most
	for name, k := range l.callers {
		keeper := keeperOf(name, vms)
		if keeper == l.vm && (back || k.keeper != l.vm) {
			k.account.begin(now)
		}
		if keeper != k.keeper {
			k.emptyUntil, k.cutUntil = time.Time{}, time.Time{}
		}
		k.keeper = keeper
	}
}

// keeperOf returns the daemon that keeps the limit of a caller. When a daemon
// comes or goes, few callers change their keeper.
func keeperOf(caller string, vms []string) string {
	seed := xxhash.Sum64String(caller)
	var best string
	var most uint64
	for _, vm := range vms {
		if h := mix(seed ^ xxhash.Sum64String(vm)); best == "" || h > most {
			best, most = vm, h
		}
	}
	return best
}

// arrive counts a request of a caller.
func (l *limits) arrive(now time.Time, caller string) {
	if k := l.callers[caller]; k != nil {
		k.use.add(now, 1)
	}
}

// ask tells whether a request of a caller may be taken. A refusal comes with the
// time after which the next one may.
func (l *limits) ask(now time.Time, caller string) (leave, time.Duration) {
	k := l.callers[caller]
	switch {
	case k == nil:
		return leaveGiven, 0
	case k.keeper == l.vm:
		loan := k.account.lend(now, k.perSecond, 1, l.most)
		if loan.Granted == 0 {
			return leaveRefused, loan.After
		}
		return leaveGiven, 0
	case k.lent > 0 && now.Before(k.voidAt):
		k.lent--
		return leaveGiven, 0
	case now.Before(k.emptyUntil):
		return leaveRefused, k.emptyUntil.Sub(now)
	case now.Before(k.cutUntil):
		return k.safe.take(now, l.safeRate(k), l.phase(caller))
	}
	return leaveAsk, 0
}

// want returns the number of requests to borrow while waiting ones wait.
func (l *limits) want(now time.Time, caller string, waiting int) int {
	k := l.callers[caller]
	if k == nil {
		return waiting
	}
	return max(waiting, int(k.use.perSecond(now)*loanTime.Seconds()))
}

// borrowed takes the answer of a keeper; err is the reason why there is none.
func (l *limits) borrowed(now time.Time, caller string, loan member.Loan, err error) {
	k := l.callers[caller]
	switch {
	case k == nil:
	case err != nil:
		k.cutUntil = now.Add(cutTime)
	case loan.Granted > 0:
		k.lent, k.voidAt = loan.Granted, now.Add(loanTime)
	default:
		k.emptyUntil = now.Add(loan.After)
	}
}

// lend answers a daemon that asks for requests of a caller. ok is false when this
// daemon does not keep the limit.
func (l *limits) lend(now time.Time, caller string, want int) (loan member.Loan, ok bool) {
	k := l.callers[caller]
	if k == nil || k.keeper != l.vm {
		return member.Loan{}, false
	}
	return k.account.lend(now, k.perSecond, want, l.most), true
}

// safeRate returns what this daemon grants in a second without the keeper.
func (l *limits) safeRate(k *callerLimit) float64 {
	return safePart * k.perSecond / float64(max(len(l.daemons), 1))
}

// phase returns where the turns of this daemon begin, between 0 and 1.
func (l *limits) phase(caller string) float64 {
	return unit(mix(xxhash.Sum64String(caller) ^ xxhash.Sum64String(l.vm)))
}

// safeShare is what a daemon grants while it cannot reach the keeper. The zero
// value is ready for use.
type safeShare struct {
	turn, used int64
}

// take takes a request out of the share. A share of less than one in a turn comes
// as one request in a turn now and then. The turns of daemons are spread, and an
// unused one is not saved, so that many daemons do not grant one at once.
func (s *safeShare) take(now time.Time, perSecond, phase float64) (leave, time.Duration) {
	most := max(math.Floor(perSecond*turnTime.Seconds()), 1)
	period := most / perSecond
	at := float64(now.UnixNano())/float64(time.Second)/period + phase
	turn := int64(math.Floor(at))
	if turn != s.turn {
		s.turn, s.used = turn, 0
	}
	inTurn := (at - math.Floor(at)) * period
	if inTurn < turnTime.Seconds() && s.used < int64(most) {
		s.used++
		return leaveGiven, 0
	}
	return leaveRefused, seconds(period - inTurn)
}
