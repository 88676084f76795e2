package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFarReturnsOtherDataCentres checks that no daemon is far in an environment of
// MeshSize daemons, that in a larger one exactly those of other data centres are, and
// that a leaving daemon is omitted.
func TestFarReturnsOtherDataCentres(t *testing.T) {
	for _, n := range []int{MeshSize, MeshSize + 1} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			memberships := newFakeNetwork().startFleet(ctx, n, 3)
			time.Sleep(2 * SyncPeriod)
			u := memberships[0]
			require.Len(t, u.Peers(), n-1)
			far := u.FarPeers()
			other := 0
			for _, p := range u.Peers() {
				if p.DataCentre != u.config.DataCentre {
					other++
				}
			}
			if n <= MeshSize {
				other = 0
			}
			require.Len(t, far, other)
			for _, p := range far {
				require.NotEqual(t, u.config.DataCentre, p.DataCentre)
				require.NotEmpty(t, p.Address)
			}
			if len(far) > 0 {
				for _, d := range memberships {
					if d.config.VM == far[0].VM {
						require.NoError(t, d.Leave(ctx))
					}
				}
				time.Sleep(SyncPeriod)
				require.Len(t, u.FarPeers(), other-1)
			}
			cancel()
			for _, d := range memberships {
				require.NoError(t, d.Wait())
			}
		})
	}
}
