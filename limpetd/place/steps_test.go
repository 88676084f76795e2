package place

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStepsGrowNoFasterThanSorting counts the engines and replicas that plans examine,
// from 100 models on 10 engines to 900 models on 86 engines. The number must grow no
// faster than n log n.
func TestStepsGrowNoFasterThanSorting(t *testing.T) {
	first, replan := map[int]float64{}, map[int]float64{}
	for _, models := range []int{100, 300, 900} {
		f := largeInput(models, (models*86+899)/900)
		p := NewPlanner()
		p.Plan(f)
		first[models] = float64(p.steps)
		runUntilSettled(t, p, &f)
		for i := range 100 {
			f.Demand[i].TokensPerSecond *= 1.5
			f.Now = f.Now.Add(time.Second)
			p.Plan(f)
			replan[models] += float64(p.steps) / 100
		}
	}
	t.Logf("first plans: %v steps, replans: %v", first, replan)
	for _, models := range []int{300, 900} {
		n := float64(models)
		limit := n * math.Log(n) / (100 * math.Log(100))
		require.LessOrEqual(t, first[models]/first[100], limit)
		require.LessOrEqual(t, replan[models]/replan[100], limit)
	}
}
