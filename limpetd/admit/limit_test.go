package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/member"
)

const (
	limitTick = 5 * time.Millisecond
	// memberLag is how long daemons take to detect that a daemon has died.
	memberLag = 5 * time.Second
)

// limitFleet simulates a fleet of daemons with the limit of one caller.
type limitFleet struct {
	perSecond float64
	// lag is the time until a loan request is answered.
	lag    time.Duration
	random *rand.Rand
	states []*limits
	names  []string
	// pending are the loan requests in flight, by daemon.
	pending map[int]*pendingLoan
	// dead is the number of the daemon that has died, or -1. partitioned is the
	// number of partitioned daemons, which are numbered from first on and do not
	// reach the others.
	dead, partitioned, first int
	// sent and allowed count requests by tick.
	sent, allowed []int
}

// pendingLoan is a loan request in flight. answerAt is the time of the answer or of the
// timeout, and waiting the number of loans that each waiting request has waited for.
type pendingLoan struct {
	answerAt time.Time
	owner    int
	waiting  []int
}

func newLimitFleet(daemons int, perSecond float64, lag time.Duration) *limitFleet {
	f := &limitFleet{
		perSecond: perSecond, lag: lag, dead: -1,
		random: rand.New(rand.NewPCG(1, 1)), pending: make(map[int]*pendingLoan),
	}
	for d := range daemons {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", d))
	}
	for d := range daemons {
		l := newLimits(f.names[d])
		l.setCallers([]envdoc.Caller{{Name: "c", RequestsPerSecond: perSecond}})
		l.setDaemons(testTime, f.names, true)
		f.states = append(f.states, l)
	}
	return f
}

// owner returns the number of the daemon that owns the limit according to daemon d.
func (f *limitFleet) owner(d int) int {
	var n int
	_, _ = fmt.Sscanf(f.states[d].callers["c"].owner, "vm-%d", &n)
	return n
}

// request decides on a request at daemon d that has waited for a number of loans.
func (f *limitFleet) request(now time.Time, d, loans int) {
	decision, _ := f.states[d].check(now, "c")
	switch {
	case decision == limitAllow:
		f.allowed[len(f.allowed)-1]++
	case decision == limitReject || loans == maxLoanWaits:
	case f.pending[d] != nil:
		f.pending[d].waiting = append(f.pending[d].waiting, loans+1)
	default:
		p := &pendingLoan{answerAt: now.Add(f.lag), owner: f.owner(d), waiting: []int{loans + 1}}
		if !f.reaches(d, p.owner) {
			p.answerAt = now.Add(loanTimeout)
		}
		f.pending[d] = p
	}
}

// reaches reports whether a daemon reaches another daemon.
func (f *limitFleet) reaches(from, to int) bool {
	return to != f.dead && f.isPartitioned(from) == f.isPartitioned(to)
}

// isPartitioned reports whether a daemon is one of the partitioned daemons.
func (f *limitFleet) isPartitioned(d int) bool {
	return (d-f.first+len(f.states))%len(f.states) < f.partitioned
}

// answer ends the loan requests whose answer or timeout is due.
func (f *limitFleet) answer(now time.Time) {
	for d := range f.states {
		p := f.pending[d]
		if p == nil || now.Before(p.answerAt) {
			continue
		}
		delete(f.pending, d)
		var loan member.Loan
		err := code.Errorf(code.BackendLost, "not reached")
		if f.reaches(d, p.owner) {
			if got, ok := f.states[p.owner].lend(now, "c", f.states[d].loanSize(now, "c", 1)); ok {
				loan, err = got, nil
			}
		}
		f.states[d].recordLoan(now, "c", loan, err)
		for _, loans := range p.waiting {
			f.request(now, d, loans)
		}
	}
}

// run sends requests at a rate to daemons chosen by pick. from and to are times after
// testTime.
func (f *limitFleet) run(from, to time.Duration, perSecond float64, pick func() int) {
	due := 0.0
	for at := from; at < to; at += limitTick {
		now := testTime.Add(at)
		f.sent, f.allowed = append(f.sent, 0), append(f.allowed, 0)
		f.answer(now)
		for due += perSecond * limitTick.Seconds(); due >= 1; due-- {
			d := pick()
			if d == f.dead {
				continue
			}
			f.sent[len(f.sent)-1]++
			f.states[d].recordArrival(now, "c")
			f.request(now, d, 0)
		}
	}
}

// anyDaemon picks a random daemon.
func (f *limitFleet) anyDaemon() int { return f.random.IntN(len(f.states)) }

// sum returns the sum of counts, which are per tick, between two times.
func (f *limitFleet) sum(counts []int, from, to time.Duration) int {
	n := 0
	for _, c := range counts[from/limitTick : to/limitTick] {
		n += c
	}
	return n
}

// maxAllowed returns the maximum number of requests allowed in any period of a length.
func (f *limitFleet) maxAllowed(period time.Duration) int {
	n := int(period / limitTick)
	sum, maxAllowed := 0, 0
	for i, c := range f.allowed {
		sum += c
		if i >= n {
			sum -= f.allowed[i-n]
		}
		maxAllowed = max(maxAllowed, sum)
	}
	return maxAllowed
}

// requireBound requires that no period had more requests than a fraction of the limit,
// plus a burst of one second at the limit, plus a small tolerance.
func (f *limitFleet) requireBound(t *testing.T, fraction float64) {
	t.Helper()
	const tolerance = 5
	for _, period := range []time.Duration{time.Second, 10 * time.Second} {
		bound := fraction*f.perSecond*period.Seconds() + f.perSecond + tolerance
		require.LessOrEqual(t, float64(f.maxAllowed(period)), bound, "in %s", period)
	}
}

// runLimitCases runs test with few and many daemons, small and large limits, and short
// and long times until a loan request is answered.
func runLimitCases(t *testing.T, test func(t *testing.T, f *limitFleet)) {
	for _, daemons := range []int{6, 360} {
		for _, perSecond := range []float64{2, 10, 400} {
			for _, lag := range []time.Duration{limitTick, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d daemons/%v per second/%s", daemons, perSecond, lag), func(t *testing.T) {
					test(t, newLimitFleet(daemons, perSecond, lag))
				})
			}
		}
	}
}

// TestCallerLimitHoldsOverAllDaemons sends three times the limit to all daemons, then to
// one daemon, and then four fifths of the limit to all daemons. The fleet must enforce
// the limit, admit at least 85 % of it under overload, and at least 95 % of the requests
// below the limit.
func TestCallerLimitHoldsOverAllDaemons(t *testing.T) {
	runLimitCases(t, func(t *testing.T, f *limitFleet) {
		const all, one, less, end = 40 * time.Second, 70 * time.Second, 130 * time.Second, 160 * time.Second
		f.run(0, all, 3*f.perSecond, f.anyDaemon)
		f.run(all, one, 3*f.perSecond, func() int { return 1 })
		f.run(one, end, 0.8*f.perSecond, f.anyDaemon)
		f.requireBound(t, 1)
		for _, from := range []time.Duration{all - 20*time.Second, one - 20*time.Second} {
			require.GreaterOrEqual(t, f.sum(f.allowed, from, from+20*time.Second), int(0.85*f.perSecond*20), "from %s", from)
		}
		require.GreaterOrEqual(t, f.sum(f.allowed, less, end), f.sum(f.sent, less, end)*95/100)
	})
}

// TestCallerLimitOfPartitionedDaemons partitions half of the daemons from the others for
// 20 s, without a change of the membership that the daemons see.
func TestCallerLimitOfPartitionedDaemons(t *testing.T) {
	runLimitCases(t, func(t *testing.T, f *limitFleet) {
		const partition, heal, end = 30 * time.Second, 50 * time.Second, 90 * time.Second
		f.run(0, partition, 3*f.perSecond, f.anyDaemon)
		f.partitioned = len(f.states) / 2
		f.run(partition, heal, 3*f.perSecond, f.anyDaemon)
		f.partitioned = 0
		f.run(heal, end, 3*f.perSecond, f.anyDaemon)
		f.requireBound(t, 1+fallbackFraction)
		require.GreaterOrEqual(t, f.sum(f.allowed, partition, heal), int(0.7*f.perSecond*20))
		require.GreaterOrEqual(t, f.sum(f.allowed, end-20*time.Second, end), int(0.85*f.perSecond*20))
	})
}

// TestCallerLimitWhenItsOwnerDies stops the owner of the limit. The other daemons detect
// the death one by one within memberLag.
func TestCallerLimitWhenItsOwnerDies(t *testing.T) {
	runLimitCases(t, func(t *testing.T, f *limitFleet) {
		const dies, end = 20 * time.Second, 60 * time.Second
		f.run(0, dies, 3*f.perSecond, f.anyDaemon)
		f.dead = f.owner(0)
		live := append(append([]string{}, f.names[:f.dead]...), f.names[f.dead+1:]...)
		for i, l := range f.states {
			from := dies + time.Duration(i)*memberLag/time.Duration(len(f.states))
			l.setDaemons(testTime.Add(from), live, true)
			f.run(from.Truncate(limitTick), (dies + time.Duration(i+1)*memberLag/time.Duration(len(f.states))).Truncate(limitTick), 3*f.perSecond, f.anyDaemon)
		}
		f.run(dies+memberLag, end, 3*f.perSecond, f.anyDaemon)
		f.requireBound(t, 1+fallbackFraction)
		require.GreaterOrEqual(t, f.sum(f.allowed, end-20*time.Second, end), int(0.85*f.perSecond*20))
	})
}

// TestCallerLimitWhenItsOwnerIsPartitioned partitions a third of the daemons, with the
// owner of the limit, from the others for 30 s. All daemons detect the start and the end
// of the partition after memberLag.
func TestCallerLimitWhenItsOwnerIsPartitioned(t *testing.T) {
	runLimitCases(t, func(t *testing.T, f *limitFleet) {
		const partition, heal, end = 30 * time.Second, 60 * time.Second, 100 * time.Second
		f.run(0, partition, 3*f.perSecond, f.anyDaemon)
		f.first, f.partitioned = f.owner(0), len(f.states)/3
		f.run(partition, partition+memberLag, 3*f.perSecond, f.anyDaemon)
		var reachable []string
		for d, name := range f.names {
			if !f.isPartitioned(d) {
				reachable = append(reachable, name)
			}
		}
		for d, l := range f.states {
			if f.isPartitioned(d) {
				l.setDaemons(testTime.Add(partition+memberLag), f.names, false)
			} else {
				l.setDaemons(testTime.Add(partition+memberLag), reachable, true)
			}
		}
		f.run(partition+memberLag, heal, 3*f.perSecond, f.anyDaemon)
		require.GreaterOrEqual(t, f.sum(f.allowed, heal-10*time.Second, heal), int(0.8*f.perSecond*10))
		f.partitioned = 0
		f.run(heal, heal+memberLag, 3*f.perSecond, f.anyDaemon)
		for _, l := range f.states {
			l.setDaemons(testTime.Add(heal+memberLag), f.names, true)
		}
		f.run(heal+memberLag, end, 3*f.perSecond, f.anyDaemon)
		f.requireBound(t, 1+fallbackFraction)
		require.GreaterOrEqual(t, f.sum(f.allowed, end-20*time.Second, end), int(0.85*f.perSecond*20))
	})
}
