package bound

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestViolatedBoundsAreReported(t *testing.T) {
	l := New()
	l.AtMost("met", 1, 1)
	l.AtLeast("met", 1, 1)
	require.Empty(t, l.Violations)
	l.AtMost("high", 1, 1.5)
	l.AtLeast("low", 1, 0.5)
	l.AtMost("not a number", 1, math.NaN())
	l.AtLeast("not a number", 1, math.NaN())
	require.Len(t, l.Bounds, 6)
	require.Equal(t, []string{
		"high: 1.5, target 1", "low: 0.5, target 1", "not a number: NaN, target 1", "not a number: NaN, target 1",
	}, l.Violations)
}
