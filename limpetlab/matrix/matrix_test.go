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
	seed = flag.Uint64("seed", 1, "seed of the cells' random numbers")
	full = flag.Bool("full", false, "run every cell of the matrix")
	// part and parts split the cells between several processes.
	part  = flag.Int("part", 0, "part of the cells to run, from 0")
	parts = flag.Int("parts", 1, "number of parts")
)

// Without -full, one in sampleEvery of the cells with two faults runs.
const sampleEvery = 36

// selectedCells returns the cells that the flags select.
func selectedCells() []Cell {
	cells := Singles()
	for i, c := range Pairs() {
		if *full || (i+int(*seed))%sampleEvery == 0 {
			cells = append(cells, c)
		}
	}
	return cellsOfPart(cells)
}

// cellsOfPart returns the cells that belong to this process's part.
func cellsOfPart(cells []Cell) []Cell {
	var own []Cell
	for i, c := range cells {
		if i%*parts == *part {
			own = append(own, c)
		}
	}
	return own
}

// TestMatrix runs the selected cells and fails each cell in which an invariant
// is violated.
func TestMatrix(t *testing.T) {
	var ran, passed atomic.Int64
	reasons := make(map[string][]string)
	for _, c := range selectedCells() {
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
		for _, r := range sortedKeys(reasons) {
			t.Logf("can't occur: %s: %s", strings.Join(reasons[r], ", "), r)
		}
	})
}

// sortedKeys returns the keys of m in order.
func sortedKeys(m map[string][]string) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// diagonalCells returns one cell for each step, each with a different fault.
func diagonalCells() []Cell {
	var cells []Cell
	for i, s := range Steps {
		cells = append(cells, Cell{Step: s, Faults: []Fault{Faults[i]}})
	}
	return cellsOfPart(cells)
}

// TestCellIsDeterministic runs cells twice with the same seed. Both runs must
// have the same violations and the same trace, since the seed determines every
// event of a cell.
func TestCellIsDeterministic(t *testing.T) {
	for _, c := range diagonalCells() {
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
				require.Equal(t, line, again.Trace[i], "the runs differ at line %d", i)
			}
			require.Len(t, again.Trace, len(first.Trace))
		})
	}
}
