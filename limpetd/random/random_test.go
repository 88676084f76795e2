package random

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSeededRepeatsItsNumbers(t *testing.T) {
	draw := func(seed uint64, name string) []int {
		r := Seeded(seed, name)
		return r.Perm(20)
	}
	require.Equal(t, draw(1, "a"), draw(1, "a"))
	require.NotEqual(t, draw(1, "a"), draw(2, "a"))
	require.NotEqual(t, draw(1, "a"), draw(1, "b"))
	require.NotEqual(t, New().Perm(20), New().Perm(20))
}

func TestAroundIsWithinItsBounds(t *testing.T) {
	r := Seeded(1, "around")
	var draws sync.WaitGroup
	for range 4 {
		draws.Go(func() {
			for range 1000 {
				d := Around(r, time.Second)
				require.GreaterOrEqual(t, d, time.Second/2)
				require.Less(t, d, 3*time.Second/2)
			}
		})
	}
	draws.Wait()
}
