package mirror_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/mirror"
)

// TestVersionsOfErasAreNotCompared guards against keeping rows of an earlier era because the
// store gives out smaller or equal versions after it has been restored.
func TestVersionsOfErasAreNotCompared(t *testing.T) {
	var table mirror.Table
	require.True(t, table.Replace([]mirror.Row{{Key: "a", Version: 9, Value: []byte("lost")}, {Key: "b", Version: 8}}, mirror.Position{Era: 3, Version: 9}))
	require.True(t, table.Replace([]mirror.Row{{Key: "a", Version: 2, Value: []byte("restored")}}, mirror.Position{Era: 4, Version: 5}))
	require.Equal(t, map[string]mirror.Row{"a": {Key: "a", Version: 2, Value: []byte("restored")}}, table.Rows())
	require.False(t, table.Replace(nil, mirror.Position{Era: 3, Version: 100}), "an answer of the earlier era")
	_, ok := table.Since(mirror.Position{Era: 3, Version: 5})
	require.False(t, ok, "changes since a position of another era")
}

// TestFollowerReadsRestoredTable restores the store to states whose versions are lower than, equal
// to and higher than that of the copy, also while the follower can't reach the store.
func TestFollowerReadsRestoredTable(t *testing.T) {
	for name, c := range map[string]struct {
		version int64
		outage  time.Duration
	}{
		"lower version":                {version: 2},
		"same version, other content":  {version: 3},
		"higher version":               {version: 40},
		"lower version after outage":   {version: 2, outage: 5 * time.Second},
		"higher version after outage":  {version: 40, outage: 5 * time.Second},
		"same version after an outage": {version: 3, outage: time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &source{}
			for _, v := range []string{"1", "2", "3"} {
				s.set("k", v)
			}
			var restored int
			f, value := follow(t.Context(), s, mirror.WithRestored(func(time.Time) { restored++ }))
			time.Sleep(time.Second)
			require.Equal(t, "3", value("k"))
			s.mu.Lock()
			s.down = c.outage > 0
			s.mu.Unlock()
			time.Sleep(c.outage)
			s.restore(c.version, mirror.Row{Key: "k", Value: []byte("2"), Version: 2})
			s.mu.Lock()
			s.down = false
			s.mu.Unlock()
			time.Sleep(3 * time.Second)
			require.Equal(t, "2", value("k"), name)
			require.Equal(t, mirror.Position{Era: 1, Version: c.version}, f.Position(), name)
			require.Equal(t, 1, restored, name)
			s.set("k", "4")
			time.Sleep(2 * time.Second)
			require.Equal(t, "4", value("k"), name)
		})
	}
}

// TestRelayedUpdatesOfErasAreNotMixed guards against merging a relayed update of another era into
// the copy.
func TestRelayedUpdatesOfErasAreNotMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{era: 5}
		s.set("k", "1")
		f, value := follow(t.Context(), s)
		time.Sleep(time.Second)
		before := s.count()
		f.ApplyRelayed(mirror.Update{Table: "t", Era: 4, From: 0, To: 9, Rows: []mirror.Row{{Key: "k", Value: []byte("old"), Version: 9}}}, time.Now())
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "1", value("k"))
		s.restore(1, mirror.Row{Key: "k", Value: []byte("2"), Version: 1})
		f.ApplyRelayed(mirror.Update{Table: "t", Era: 6, From: 0, To: 9, Rows: []mirror.Row{{Key: "k", Value: []byte("merged"), Version: 9}}}, time.Now())
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", value("k"), "the copy is read again")
		require.LessOrEqual(t, s.count()-before, 6, "the store is not polled at a higher rate")
	})
}
