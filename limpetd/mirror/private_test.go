package mirror_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/mirror"
)

// TestPrivateRowsAreNotRelayed guards against keys in messages between daemons and in memory after their use, and
// against daemons that learn of a private row late or never because another daemon relays the table.
func TestPrivateRowsAreNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		private := mirror.WithPrivate(func(r mirror.Row) bool { return strings.HasPrefix(string(r.Value), "key") })
		s := &source{}
		s.set("k", "public")
		relay, _ := follow(t.Context(), s, mirror.WithRelay(func() bool { return true }), private)
		f, value := follow(t.Context(), s, private)
		time.Sleep(2 * time.Second)
		relayEach := func(n int) {
			for range n {
				u, ok := relay.Since(f.Position(), time.Now())
				for _, r := range u.Rows {
					require.NotContains(t, string(r.Value), "key")
				}
				if ok {
					f.ApplyRelayed(u, time.Now())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		// The last poll of the daemon for itself ends meanwhile.
		relayEach(20)
		s.set("k", "key 1")
		relayEach(5)
		require.Equal(t, "key 1", value("k"), "the daemon polls at once")
		_, ok := relay.Whole(time.Now())
		require.False(t, ok)
		before := s.count()
		s.set("other", "x")
		relayEach(10)
		require.Equal(t, "x", value("other"))
		require.Empty(t, value("k"), "the value is dropped after its use")
		require.LessOrEqual(t, s.count()-before, 10, "only the relaying daemon polls")
		s.set("k", "public again")
		relayEach(5)
		require.Equal(t, "public again", value("k"))
	})
}
