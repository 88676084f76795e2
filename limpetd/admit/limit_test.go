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
	// memberLag is how long daemons take to learn of a death.
	memberLag = 5 * time.Second
)

// limitFleet is a fleet of daemons with the limit of one caller.
type limitFleet struct {
	perSecond float64
	lag       time.Duration
	random    *rand.Rand
	states    []*limits
	names     []string
	// open are the questions in flight by daemon.
	open map[int]*limitAsk
	// dead is the daemon that has died, if any. The cut daemons from first on do
	// not reach the others.
	dead, cut, first int
	// sent and allowed count requests by tick.
	sent, allowed []int
}

// limitAsk is a question with the requests that wait for its answer, as the
// number of loans that each has waited for.
type limitAsk struct {
	at      time.Time
	keeper  int
	waiting []int
}

func newLimitFleet(daemons int, perSecond float64, lag time.Duration) *limitFleet {
	f := &limitFleet{
		perSecond: perSecond, lag: lag, dead: -1,
		random: rand.New(rand.NewPCG(1, 1)), open: make(map[int]*limitAsk),
	}
	for d := range daemons {
		f.names = append(f.names, fmt.Sprintf("vm-%03d", d))
	}
	for d := range daemons {
		l := newLimits(f.names[d])
		l.set([]envdoc.Caller{{Name: "c", RequestsPerSecond: perSecond}})
		l.setDaemons(testTime, f.names, true)
		f.states = append(f.states, l)
	}
	return f
}

// keeper returns the number of the daemon that keeps the limit as d sees it.
func (f *limitFleet) keeper(d int) int {
	var n int
	_, _ = fmt.Sscanf(f.states[d].callers["c"].keeper, "vm-%d", &n)
	return n
}

// request decides on a request at a daemon that waited for loans.
func (f *limitFleet) request(now time.Time, d, loans int) {
	verdict, _ := f.states[d].ask(now, "c")
	switch {
	case verdict == leaveGiven:
		f.allowed[len(f.allowed)-1]++
	case verdict == leaveRefused || loans == maxBorrows:
	case f.open[d] != nil:
		f.open[d].waiting = append(f.open[d].waiting, loans+1)
	default:
		a := &limitAsk{at: now.Add(f.lag), keeper: f.keeper(d), waiting: []int{loans + 1}}
		if !f.reaches(d, a.keeper) {
			a.at = now.Add(borrowTimeout)
		}
		f.open[d] = a
	}
}

// reaches tells whether a daemon reaches another.
func (f *limitFleet) reaches(from, to int) bool {
	return to != f.dead && f.isCut(from) == f.isCut(to)
}

// isCut tells whether a daemon is one of those cut off.
func (f *limitFleet) isCut(d int) bool {
	return (d-f.first+len(f.states))%len(f.states) < f.cut
}

// answer ends the questions that are due.
func (f *limitFleet) answer(now time.Time) {
	for d := range f.states {
		a := f.open[d]
		if a == nil || now.Before(a.at) {
			continue
		}
		delete(f.open, d)
		var loan member.Loan
		err := code.Errorf(code.BackendLost, "not reached")
		if f.reaches(d, a.keeper) {
			if got, ok := f.states[a.keeper].lend(now, "c", f.states[d].want(now, "c", 1)); ok {
				loan, err = got, nil
			}
		}
		f.states[d].borrowed(now, "c", loan, err)
		for _, loans := range a.waiting {
			f.request(now, d, loans)
		}
	}
}

// run sends requests at a rate to daemons chosen by pick, from one second to
// another after testTime.
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
			f.states[d].arrive(now, "c")
			f.request(now, d, 0)
		}
	}
}

// any picks a random daemon.
func (f *limitFleet) any() int { return f.random.IntN(len(f.states)) }

// sum counts the requests of a time.
func (f *limitFleet) sum(counts []int, from, to time.Duration) int {
	n := 0
	for _, c := range counts[from/limitTick : to/limitTick] {
		n += c
	}
	return n
}

// most returns the most requests allowed in any period of a length.
func (f *limitFleet) most(period time.Duration) int {
	n := int(period / limitTick)
	sum, most := 0, 0
	for i, c := range f.allowed {
		sum += c
		if i >= n {
			sum -= f.allowed[i-n]
		}
		most = max(most, sum)
	}
	return most
}

// requireBound requires that no period had more than part of the limit, a second's
// worth that comes at once, and a few requests.
func (f *limitFleet) requireBound(t *testing.T, part float64) {
	t.Helper()
	const few = 5
	for _, period := range []time.Duration{time.Second, 10 * time.Second} {
		bound := part*f.perSecond*period.Seconds() + f.perSecond + few
		require.LessOrEqual(t, float64(f.most(period)), bound, "in %s", period)
	}
}

// limitCases calls test with few and many daemons, and small and large limits.
func limitCases(t *testing.T, test func(t *testing.T, f *limitFleet)) {
	for _, daemons := range []int{6, 360} {
		for _, perSecond := range []float64{2, 10, 400} {
			for _, lag := range []time.Duration{limitTick, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d daemons/%v a second/%s", daemons, perSecond, lag), func(t *testing.T) {
					test(t, newLimitFleet(daemons, perSecond, lag))
				})
			}
		}
	}
}

// TestCallerLimitHoldsOverAllDaemons sends three times the limit to all daemons,
// then to one of them, and then four fifths of the limit to all.
func TestCallerLimitHoldsOverAllDaemons(t *testing.T) {
	limitCases(t, func(t *testing.T, f *limitFleet) {
		const all, one, less, end = 40 * time.Second, 70 * time.Second, 130 * time.Second, 160 * time.Second
		f.run(0, all, 3*f.perSecond, f.any)
		f.run(all, one, 3*f.perSecond, func() int { return 1 })
		f.run(one, end, 0.8*f.perSecond, f.any)
		f.requireBound(t, 1)
		for _, from := range []time.Duration{all - 20*time.Second, one - 20*time.Second} {
			require.GreaterOrEqual(t, f.sum(f.allowed, from, from+20*time.Second), int(0.85*f.perSecond*20), "from %s", from)
		}
		require.GreaterOrEqual(t, f.sum(f.allowed, less, end), f.sum(f.sent, less, end)*95/100)
	})
}

// TestCallerLimitOfCutOffDaemons cuts half of the daemons, which do not learn of
// it, off from the others for 20 s.
func TestCallerLimitOfCutOffDaemons(t *testing.T) {
	limitCases(t, func(t *testing.T, f *limitFleet) {
		const cut, heal, end = 30 * time.Second, 50 * time.Second, 90 * time.Second
		f.run(0, cut, 3*f.perSecond, f.any)
		f.cut = len(f.states) / 2
		f.run(cut, heal, 3*f.perSecond, f.any)
		f.cut = 0
		f.run(heal, end, 3*f.perSecond, f.any)
		f.requireBound(t, 1+safePart)
		require.GreaterOrEqual(t, f.sum(f.allowed, cut, heal), int(0.7*f.perSecond*20))
		require.GreaterOrEqual(t, f.sum(f.allowed, end-20*time.Second, end), int(0.85*f.perSecond*20))
	})
}

// TestCallerLimitWhenItsKeeperDies lets the keeper of the limit die. The others
// learn of it one after the other within memberLag.
func TestCallerLimitWhenItsKeeperDies(t *testing.T) {
	limitCases(t, func(t *testing.T, f *limitFleet) {
		const dies, end = 20 * time.Second, 60 * time.Second
		f.run(0, dies, 3*f.perSecond, f.any)
		f.dead = f.keeper(0)
		live := append(append([]string{}, f.names[:f.dead]...), f.names[f.dead+1:]...)
		for i, l := range f.states {
			from := dies + time.Duration(i)*memberLag/time.Duration(len(f.states))
			l.setDaemons(testTime.Add(from), live, true)
			f.run(from.Truncate(limitTick), (dies + time.Duration(i+1)*memberLag/time.Duration(len(f.states))).Truncate(limitTick), 3*f.perSecond, f.any)
		}
		f.run(dies+memberLag, end, 3*f.perSecond, f.any)
		f.requireBound(t, 1+safePart)
		require.GreaterOrEqual(t, f.sum(f.allowed, end-20*time.Second, end), int(0.85*f.perSecond*20))
	})
}

// TestCallerLimitWhenItsKeeperIsCutOff cuts a third of the daemons, with the keeper
// of the limit, off from the others for 30 s. All learn of it after memberLag, and
// of its end.
func TestCallerLimitWhenItsKeeperIsCutOff(t *testing.T) {
	limitCases(t, func(t *testing.T, f *limitFleet) {
		const cut, heal, end = 30 * time.Second, 60 * time.Second, 100 * time.Second
		f.run(0, cut, 3*f.perSecond, f.any)
		f.first, f.cut = f.keeper(0), len(f.states)/3
		f.run(cut, cut+memberLag, 3*f.perSecond, f.any)
		var heard []string
		for d, name := range f.names {
			if !f.isCut(d) {
				heard = append(heard, name)
			}
		}
		for d, l := range f.states {
			if f.isCut(d) {
				l.setDaemons(testTime.Add(cut+memberLag), f.names, false)
			} else {
				l.setDaemons(testTime.Add(cut+memberLag), heard, true)
			}
		}
		f.run(cut+memberLag, heal, 3*f.perSecond, f.any)
		require.GreaterOrEqual(t, f.sum(f.allowed, heal-10*time.Second, heal), int(0.8*f.perSecond*10))
		f.cut = 0
		f.run(heal, heal+memberLag, 3*f.perSecond, f.any)
		for _, l := range f.states {
			l.setDaemons(testTime.Add(heal+memberLag), f.names, true)
		}
		f.run(heal+memberLag, end, 3*f.perSecond, f.any)
		f.requireBound(t, 1+safePart)
		require.GreaterOrEqual(t, f.sum(f.allowed, end-20*time.Second, end), int(0.85*f.perSecond*20))
	})
}
