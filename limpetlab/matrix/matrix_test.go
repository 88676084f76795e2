package matrix

import (
	"flag"
	"sort"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the cells")
	full = flag.Bool("full", false, "run every cell")
	// A part of the cells runs in one process, so that several share them.
	part  = flag.Int("part", 0, "part of the cells to run, from 0")
	parts = flag.Int("parts", 1, "number of parts")
)

// sampleEvery is the share of the cells of two faults that run without -full.
const sampleEvery = 36

// selected returns the cells to run.
func selected() []Cell {
	cells := Singles()
	for i, c := range Pairs() {
		if *full || (i+int(*seed))%sampleEvery == 0 {
			cells = append(cells, c)
		}
	}
	return partOf(cells)
}

// partOf returns the cells of this process.
func partOf(cells []Cell) []Cell {
	var own []Cell
	for i, c := range cells {
		if i%*parts == *part {
			own = append(own, c)
		}
	}
	return own
}

func TestMatrix(t *testing.T) {
	var ran, passed atomic.Int64
	reasons := make(map[string][]string)
	for _, c := range selected() {
		if r := c.Impossible(); r != "" {
			reasons[r] = append(reasons[r], c.Name())
			continue
		}
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			ran.Add(1)
			synctest.Test(t, func(t *testing.T) {
				require.Empty(t, Run(t, c, *seed).Violations)
			})
			passed.Add(1)
		})
	}
	t.Cleanup(func() {
		t.Logf("%d cells in the matrix: %d run, %d passed", len(Singles())+len(Pairs()), ran.Load(), passed.Load())
		for _, r := range sorted(reasons) {
			t.Logf("can't occur: %s: %s", strings.Join(reasons[r], ", "), r)
		}
	})
}

// sorted returns the keys in order.
func sorted(m map[string][]string) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// diagonal returns a cell for each step, with a fault of its own.
func diagonal() []Cell {
	var cells []Cell
	for i, s := range Steps {
		cells = append(cells, Cell{Step: s, Faults: []Fault{Faults[i]}})
	}
	return partOf(cells)
}

// TestCellRepeats runs cells twice: the seed fixes all that happens.
func TestCellRepeats(t *testing.T) {
	for _, c := range diagonal() {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			var outcomes []Outcome
			for range 2 {
				synctest.Test(t, func(t *testing.T) {
					outcomes = append(outcomes, Run(t, c, *seed))
				})
			}
			first, again := outcomes[0], outcomes[1]
			require.Equal(t, first.Violations, again.Violations)
			for i, line := range first.Trace {
				require.Less(t, i, len(again.Trace), "the second run ends before %q", line)
				require.Equal(t, line, again.Trace[i], "the runs part at line %d", i)
			}
			require.Len(t, again.Trace, len(first.Trace))
		})
	}
}
