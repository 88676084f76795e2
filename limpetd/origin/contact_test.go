package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestContactEndsWithAge guards against daemons that stood still and join streams of two versions, because they take
// the versions from before for all that there are.
func TestContactEndsWithAge(t *testing.T) {
	c, now := Contact{MaxAge: 2 * time.Second}, time.Unix(1000, 0)
	require.False(t, c.Fresh(now))
	c.Confirm(now)
	require.True(t, c.Fresh(now), "the first state is complete")
	now = now.Add(1900 * time.Millisecond)
	require.True(t, c.Fresh(now))
	c.Confirm(now)
	now = now.Add(3 * time.Second)
	require.False(t, c.Fresh(now), "the daemon stood still")
	c.Confirm(now)
	require.False(t, c.Fresh(now), "it receives what was sent meanwhile")
	c.Confirm(now.Add(settleTime / 2))
	now = now.Add(settleTime)
	require.True(t, c.Fresh(now))
	c.Lose()
	require.False(t, c.Fresh(now))
	c.Confirm(now)
	require.False(t, c.Fresh(now))
	require.True(t, c.Fresh(now.Add(settleTime)))
}
