package random

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSeededIsDeterministic(t *testing.T) {
	permutation := func(seed uint64, name string) []int {
		r := Seeded(seed, name)
		return r.Perm(20)
	}
	require.Equal(t, permutation(1, "a"), permutation(1, "a"))
	require.NotEqual(t, permutation(1, "a"), permutation(2, "a"))
	require.NotEqual(t, permutation(1, "a"), permutation(1, "b"))
	require.NotEqual(t, New().Perm(20), New().Perm(20))
}

func TestJitterIsWithinBounds(t *testing.T) {
	r := Seeded(1, "around")
	var goroutines sync.WaitGroup
	for range 4 {
		goroutines.Go(func() {
			for range 1000 {
				d := Jitter(r, time.Second)
				require.GreaterOrEqual(t, d, time.Second/2)
				require.Less(t, d, 3*time.Second/2)
			}
		})
	}
	goroutines.Wait()
}
