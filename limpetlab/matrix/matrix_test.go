package matrix

import (
	"flag"
	"sort"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the cells")
	full = flag.Bool("full", false, "run every cell")
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
	return cells
}

func TestMatrix(t *testing.T) {
	ran, passed := 0, 0
	reasons := make(map[string][]string)
	for _, c := range selected() {
		if r := c.Impossible(); r != "" {
			reasons[r] = append(reasons[r], c.Name())
			continue
		}
		t.Run(c.Name(), func(t *testing.T) {
			ran++
			synctest.Test(t, func(t *testing.T) {
				require.Empty(t, Run(t, c, *seed))
			})
			passed++
		})
	}
	t.Logf("%d cells in the matrix: %d run, %d passed", len(Singles())+len(Pairs()), ran, passed)
	for _, r := range sorted(reasons) {
		t.Logf("can't occur: %s: %s", strings.Join(reasons[r], ", "), r)
	}
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
