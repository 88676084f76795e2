//go:build !race

package sched_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// value returns the value that the callers got.
func (r *loadRun) value() float64 {
	sum := 0.0
	for _, c := range r.calls {
		sum += c.value()
	}
	return sum
}

// oracle returns the value that a scheduler reaches that knows all calls in advance: calls are placed by value per token,
// in time of all engines that is free, at the earliest or at the latest place, whichever is better in total. Calls may be
// divided between engines. Calls that can't be on time use the rest.
func (r *loadRun) oracle() float64 {
	const bin = 20 * time.Millisecond
	best := 0.0
	for _, latest := range []bool{false, true} {
		free := make([]float64, int((loadWarmUp+loadTime+40*time.Second)/bin))
		for i := range free {
			// Streams pause for at most loadPause if decoding gets a part of each step.
			free[i] = r.capacity / loadShare * (1 - float64(stepsPerEvent*stepTime)/float64(loadPause)) * bin.Seconds()
		}
		place := func(c *loadCall, within time.Duration) bool {
			from, to := int(c.arrived.Sub(start)/bin), int(c.arrived.Add(within).Sub(start)/bin)
			total := 0.0
			for i := from; i <= to && total < float64(c.tokens); i++ {
				total += free[i]
			}
			if total < float64(c.tokens) {
				return false
			}
			for i, need := from, float64(c.tokens); i <= to && need > 0; i++ {
				bin := i
				if latest {
					bin = from + to - i
				}
				used := min(need, free[bin])
				free[bin], need = free[bin]-used, need-used
			}
			return true
		}
		calls := slices.Clone(r.calls)
		slices.SortFunc(calls, func(a, b *loadCall) int {
			return cmp.Compare(b.class.value*float64(a.tokens), a.class.value*float64(b.tokens))
		})
		sum, rest := 0.0, []*loadCall{}
		for _, c := range calls {
			if place(c, c.class.objective) {
				sum += c.class.value
			} else {
				rest = append(rest, c)
			}
		}
		for _, c := range rest {
			if place(c, c.class.deadline/2) {
				sum += c.class.late
			}
		}
		best = max(best, sum)
	}
	return best
}

// byClass returns, for a class, the parts of the calls that were on time and that were answered, and the longest wait of a
// try as a part of the deadline.
func (r *loadRun) byClass(priority int) (onTime, answered, waited float64) {
	n := 0.0
	for _, c := range r.calls {
		if c.class.priority != priority {
			continue
		}
		n++
		if c.onTime() {
			onTime++
		}
		if !c.first.IsZero() {
			answered++
		}
		waited = max(waited, float64(c.waited)/float64(c.class.deadline))
	}
	return onTime / n, answered / n, waited
}

// maxWaitShare is the part of its deadline for which a call may wait for its verdict.
const maxWaitShare = 0.6

// measure plays a run, with two seeds, and returns the mean of the value relative to the oracle's, and of the urgent calls
// that were on time; the number of refusals, and the classes of which less than
// one call in a hundred was answered or one waited for too long.
func (r *loadRun) measure(t *testing.T) (value, urgent float64, refused int, starved []int) {
	t.Helper()
	for seed := range uint64(2) {
		*r = loadRun{mix: r.mix, daemons: r.daemons, uneven: r.uneven, reports: r.reports, demand: r.demand}
		r.play(seed)
		line := ""
		for p := range 3 {
			onTime, answered, waited := r.byClass(p)
			line += fmt.Sprintf(" %.2f/%.2f", onTime, answered)
			if p == 0 {
				urgent += onTime / 2
			}
			if answered < 0.01 || waited > maxWaitShare {
				starved = append(starved, p)
			}
		}
		value += r.value() / r.oracle() / 2
		refused += r.refused
		t.Logf("%s: value %.3f, %d refused, %d asked; on time/answered by priority%s", r, r.value()/r.oracle(), r.refused, r.asks, line)
	}
	return value, urgent, refused, starved
}

// TestShortage checks the bounds of docs/hard_load.md for callers of engines that have too little capacity. Without an
// order by value and work, half of the urgent calls were late at 1.2 times the capacity.
func TestShortage(t *testing.T) { checkShortage(t, false, false) }

// TestShortageOfUnevenEngines checks the same for engines with paces of 0.6, 1.0 and 1.6.
func TestShortageOfUnevenEngines(t *testing.T) { checkShortage(t, true, false) }

// TestShortageOfReportedPaces checks the same for even engines that report their pace: what is learned of it must not make
// them seem uneven.
func TestShortageOfReportedPaces(t *testing.T) { checkShortage(t, false, true) }

// TestShortageOfUnevenReportedPaces checks the same for uneven engines that report their pace.
func TestShortageOfUnevenReportedPaces(t *testing.T) { checkShortage(t, true, true) }

func checkShortage(t *testing.T, uneven, reports bool) {
	t.Helper()
	for _, mix := range []string{"kereste", "kervan"} {
		for _, daemons := range []int{3, 58, 361} {
			for _, demand := range []float64{0.8, 1.2, 2, 4} {
				r := &loadRun{mix: mix, daemons: daemons, uneven: uneven, reports: reports, demand: demand}
				t.Run(r.String(), func(t *testing.T) {
					t.Parallel()
					value, urgent, refused, starved := r.measure(t)
					require.Empty(t, starved)
					switch demand {
					case 0.8:
						require.Zero(t, refused)
					case 1.2, 2:
						require.GreaterOrEqual(t, value, 0.85)
					}
					require.GreaterOrEqual(t, urgent, 0.95)
				})
			}
		}
	}
}

// TestHasteDoesNotPay guards against callers that get more by returning at once than by waiting for the stated time.
func TestHasteDoesNotPay(t *testing.T) {
	var value, calls [2]float64
	for _, mix := range []string{"kereste", "kervan"} {
		for seed := range uint64(6) {
			r := &loadRun{mix: mix, daemons: 3, demand: 2, hasty: 0.5}
			r.play(seed)
			for _, c := range r.calls {
				kind := 0
				if c.hasty {
					kind = 1
				}
				value[kind] += c.value()
				calls[kind]++
			}
		}
	}
	patient, hasty := value[0]/calls[0], value[1]/calls[1]
	t.Logf("value of a call: %.3f if its caller waits, %.3f if it returns at once", patient, hasty)
	require.LessOrEqual(t, hasty, patient)
}
