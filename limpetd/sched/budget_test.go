package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/sched"
)

// The retry budget of the tests: in each window, a service may get retryRatio times its calls, plus retrySlack, as
// retries. The calls are the largest count of the window, the previous window, and the window half a window earlier.
const (
	retryRatio  = 0.2
	retrySlack  = 52
	retryWindow = 10 * time.Second
	// budgetTick is the time between two steps of a retryFleet.
	budgetTick = 50 * time.Millisecond
)

// retryFleet simulates daemons that share the retry budget of a service.
type retryFleet struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	daemons  []*sched.Balancer
	weights  []float64
	calls    []time.Time
	arrivals []time.Time
	// late is by how much retries arrive after they were allowed.
	late time.Duration
}

func newRetryFleet(t *testing.T, seed uint64, daemons int) *retryFleet {
	t.Helper()
	f := &retryFleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, daemons: make([]*sched.Balancer, daemons)}
	for i := range daemons {
		f.weights = append(f.weights, 1)
		f.restart(i)
	}
	return f
}

// restart replaces a daemon by one that has just started and has read the list of daemons.
func (f *retryFleet) restart(i int) {
	b := sched.NewBalancer(sched.Settings{RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow}, f.random)
	b.SetDaemons(len(f.daemons), i, f.now)
	f.daemons[i] = b
}

// step sends the calls of one tick, and as many retries as are allowed of the share of the calls that fail.
func (f *retryFleet) step(rate, failing float64) {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	for i, b := range f.daemons {
		mean := rate * budgetTick.Seconds() * f.weights[i] / total
		for mean > 0 {
			if f.random.Float64() < mean {
				b.RecordArrival("llm", f.now)
				f.calls = append(f.calls, f.now)
				if f.random.Float64() < failing {
					f.retry(b)
				}
			}
			mean--
		}
	}
	f.now = f.now.Add(budgetTick)
}

// retry retries a call whose first server has failed it, if the daemon allows it.
func (f *retryFleet) retry(b *sched.Balancer) {
	d := failedCall(b, f.now)
	if b.TakeRetry(d, f.now) {
		f.arrivals = append(f.arrivals, f.now.Add(f.late))
		b.RecordRead(d, f.now.Add(f.late))
	}
}

// failedCall returns a call that a server has read and failed.
func failedCall(b *sched.Balancer, now time.Time) *sched.Delivery {
	d := sched.NewDelivery("llm")
	b.RecordFirstSend(d)
	b.RecordRead(d, now)
	return d
}

// exhaust retries at all daemons until no more is allowed.
func (f *retryFleet) exhaust() {
	for _, b := range f.daemons {
		for n := len(f.arrivals); ; n = len(f.arrivals) {
			if f.retry(b); len(f.arrivals) == n {
				break
			}
		}
	}
}

// run steps for a duration.
func (f *retryFleet) run(duration time.Duration, rate, failing float64) {
	for range int(duration / budgetTick) {
		f.step(rate, failing)
	}
}

// count returns how many of sorted times are after from and not after from plus the window.
func count(times []time.Time, from time.Time) int {
	first := sort.Search(len(times), func(i int) bool { return times[i].After(from) })
	return sort.Search(len(times), func(i int) bool { return times[i].After(from.Add(retryWindow)) }) - first
}

// use returns the retries in the window that ends at end, and how many are allowed.
func (f *retryFleet) use(end time.Time) (retries int, allowed float64) {
	from := end.Add(-retryWindow)
	calls := max(count(f.calls, from), count(f.calls, from.Add(-retryWindow/2)), count(f.calls, from.Add(-retryWindow)))
	return count(f.arrivals, from), retryRatio*float64(calls) + retrySlack
}

// requireWithinBudget checks each window.
func (f *retryFleet) requireWithinBudget() {
	f.t.Helper()
	slices.SortFunc(f.arrivals, time.Time.Compare)
	for end := start; end.Before(f.now.Add(f.late)); end = end.Add(4 * budgetTick) {
		retries, allowed := f.use(end)
		require.LessOrEqual(f.t, float64(retries), allowed, "retries in the window that ends %s after the start", end.Sub(start))
	}
}

// fleetSizes are numbers of daemons, with calls a second.
var fleetSizes = []struct {
	daemons int
	rate    float64
}{{1, 40}, {6, 90}, {75, 600}, {361, 1900}}

// eachFleet runs a test with fleets of several sizes and seeds.
func eachFleet(t *testing.T, test func(f *retryFleet, rate float64)) {
	for _, size := range fleetSizes {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d daemons, seed %d", size.daemons, seed), func(t *testing.T) {
				test(newRetryFleet(t, seed, size.daemons), size.rate)
			})
		}
	}
}

func TestRetriesAlmostAWindowApartStayWithinBudget(t *testing.T) {
	for part := range 10 {
		f := newRetryFleet(t, 1, 6)
		f.run(30*time.Second+time.Duration(part)*100*time.Millisecond, 90, 0)
		f.exhaust()
		f.run(9*time.Second+100*time.Millisecond, 90, 0)
		f.exhaust()
		f.run(time.Second, 90, 1)
		f.requireWithinBudget()
	}
}

func TestRetriesAfterRestartsStayWithinBudget(t *testing.T) {
	eachFleet(t, func(f *retryFleet, rate float64) {
		f.run(30*time.Second, rate, 0)
		for range 8 {
			f.run(2500*time.Millisecond, rate, 0.6)
			for i := range f.daemons {
				f.restart(i)
			}
		}
		f.requireWithinBudget()
	})
}

func TestRetriesOfACrashLoopStayWithinBudget(t *testing.T) {
	eachFleet(t, func(f *retryFleet, rate float64) {
		f.run(30*time.Second, rate, 0.6)
		for range 20 {
			f.run(time.Second, rate, 0.6)
			f.restart(0)
			f.exhaust()
		}
		f.requireWithinBudget()
	})
}

// A daemon that is gone leaves its callers and its part of the slack to the others.
func TestRetriesAfterDaemonsAreGoneStayWithinBudget(t *testing.T) {
	eachFleet(t, func(f *retryFleet, rate float64) {
		f.run(30*time.Second, rate, 0)
		f.exhaust()
		if left := len(f.daemons) - len(f.daemons)/3; left > 0 {
			f.daemons, f.weights = f.daemons[:left], f.weights[:left]
		}
		for i, b := range f.daemons {
			b.SetDaemons(len(f.daemons), i, f.now)
		}
		f.run(25*time.Second, rate, 1)
		f.requireWithinBudget()
	})
}

// A daemon that has not read the list of daemons does not know how many share the budget.
func TestDaemonWithoutListOfDaemonsUsesNoSlack(t *testing.T) {
	b := sched.NewBalancer(sched.Settings{RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow}, rand.New(rand.NewPCG(1, 1)))
	for s := range 60 {
		now := start.Add(time.Duration(s) * time.Second)
		require.False(t, b.TakeRetry(failedCall(b, now), now))
	}
}

func TestLateRetriesStayWithinBudget(t *testing.T) {
	f := newRetryFleet(t, 1, 6)
	f.run(30*time.Second, 90, 0)
	f.late = 1300 * time.Millisecond
	f.exhaust()
	f.run(time.Second, 90, 0)
	f.late = 0
	f.run(9200*time.Millisecond, 90, 0)
	f.exhaust()
	f.run(time.Second, 90, 1)
	f.requireWithinBudget()
}

// jumpTimeOfDay returns a reading of the clocks after the time of day has jumped by whole seconds, while the
// monotonic clock goes on.
func jumpTimeOfDay(t *testing.T, now time.Time, jump time.Duration) time.Time {
	t.Helper()
	jumped := now
	// The first word of a time with a monotonic reading has the seconds above 30 bits of nanoseconds.
	*(*uint64)(unsafe.Pointer(&jumped)) += uint64(int64(jump/time.Second)) << 30
	require.Equal(t, jump, jumped.Round(0).Sub(now.Round(0)))
	require.Zero(t, jumped.Sub(now))
	return jumped
}

func TestJumpOfTimeOfDayDoesNotRenewRetryBudget(t *testing.T) {
	b := sched.NewBalancer(sched.Settings{RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow}, rand.New(rand.NewPCG(1, 1)))
	clock := time.Now()
	b.SetDaemons(1, 0, clock)
	exhaust := func(now time.Time) (n int) {
		for b.TakeRetry(failedCall(b, now), now) {
			n++
		}
		return n
	}
	require.Positive(t, exhaust(clock.Add(20*time.Second)))
	for _, jump := range []time.Duration{-2 * time.Second, 30 * time.Second, -30 * time.Second} {
		require.Zero(t, exhaust(jumpTimeOfDay(t, clock.Add(21*time.Second), jump)), "jump of %s", jump)
	}
}

// On a day without restarts, sound retries use nine tenths of the budget that all daemons share.
func TestRetriesUseTheBudgetOfACalmDay(t *testing.T) {
	eachFleet(t, func(f *retryFleet, rate float64) {
		f.run(60*time.Second, rate, 1)
		used, allowed := 0.0, 0.0
		for end := start.Add(40 * time.Second); end.Before(f.now); end = end.Add(time.Second) {
			n, most := f.use(end)
			used, allowed = used+float64(n), allowed+most
		}
		f.t.Logf("%.3f of the budget is used", used/allowed)
		require.GreaterOrEqual(f.t, used, 0.9*allowed)
		f.requireWithinBudget()
	})
}

// Callers move from one half of the daemons to the other.
func TestRetriesOfMovedCallersStayWithinBudget(t *testing.T) {
	for seed := range uint64(20) {
		f := newRetryFleet(t, seed, 6)
		moveCallers(f)
		f.requireWithinBudget()
	}
}

func moveCallers(f *retryFleet) {
	for range 4 {
		f.run(20*time.Second, 90, 0)
		f.exhaust()
		for i := range f.weights {
			f.weights[i] = float64(i%2) + 0.01
		}
		f.run(10*time.Second, 90, 1)
		for i := range f.weights {
			f.weights[i] = float64((i+1)%2) + 0.01
		}
		f.run(10*time.Second, 90, 1)
	}
}

// A service with few calls has little more than the slack, of which each of many daemons has less than one retry.
func TestRetriesOfAServiceWithFewCallsUseTheSlack(t *testing.T) {
	eachFleet(t, func(f *retryFleet, _ float64) {
		f.run(40*time.Second, 1, 0)
		f.exhaust()
		f.requireWithinBudget()
		require.GreaterOrEqual(f.t, len(f.arrivals), retrySlack*4/5)
	})
}

// A daemon that is added takes callers of the others, which have used the budget for them.
func TestRetriesOfAddedDaemonsStayWithinBudget(t *testing.T) {
	for seed := range uint64(10) {
		f := newRetryFleet(t, seed, 6)
		f.run(40*time.Second, 90, 0)
		f.daemons, f.weights = append(f.daemons, nil), append(f.weights, 1)
		for i, b := range f.daemons[:6] {
			b.SetDaemons(len(f.daemons), i, f.now)
		}
		f.restart(6)
		f.run(3*time.Second, 90, 0)
		f.exhaust()
		f.run(20*time.Second, 90, 1)
		f.requireWithinBudget()
	}
}
