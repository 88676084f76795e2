package layout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// list returns a list of servers by ID.
func list(servers ...*layout.Server) map[string]*layout.Server {
	all := map[string]*layout.Server{}
	for _, s := range servers {
		all[s.ID] = s
	}
	return all
}

// states returns the states of the roster's servers by ID.
func states(r *layout.Roster, now time.Time) map[string]layout.State {
	servers, _ := r.Servers(now)
	out := map[string]layout.State{}
	for _, s := range servers {
		out[s.ID] = s.State
	}
	return out
}

// TestRestoredListDoesNotRevokeDepartures guards against calls to servers that were leaving or
// gone before the store was restored from a copy in which they are ready.
func TestRestoredListDoesNotRevokeDepartures(t *testing.T) {
	now := time.Unix(100, 0)
	ready := func(id string, revision int64) *layout.Server {
		return &layout.Server{ID: id, StartedAt: 1, Revision: revision}
	}
	leaving := &layout.Server{ID: "leaving", StartedAt: 1, Revision: 9, State: layout.Draining}
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(list(ready("stays", 1), ready("leaving", 2), ready("gone", 3)), now)
	r.SetServers(list(ready("stays", 1), leaving), now)
	r.SetRestored(now)
	r.SetServers(list(ready("stays", 1), ready("leaving", 2), ready("gone", 3)), now)
	require.Equal(t, map[string]layout.State{"stays": layout.Ready, "leaving": layout.Draining}, states(r, now))
	r.SetServers(list(ready("stays", 1), ready("leaving", 2), ready("gone", 3), ready("new", 7)), now.Add(time.Second))
	require.Equal(t, map[string]layout.State{"stays": layout.Ready, "leaving": layout.Draining, "new": layout.Ready}, states(r, now), "a change of another entry")
	r.SetServers(list(ready("stays", 1), ready("gone", 8)), now.Add(3*time.Second))
	require.Equal(t, map[string]layout.State{"stays": layout.Ready, "gone": layout.Ready}, states(r, now), "the server has written its entry again")
	r.SetRestored(now.Add(4 * time.Second))
	r.SetServers(list(ready("stays", 1), ready("gone", 3)), now.Add(4*time.Second))
	require.Equal(t, map[string]layout.State{"stays": layout.Ready, "gone": layout.Ready}, states(r, now), "the server had not departed since")
}

// TestServerMissingFromRestoredListIsKept guards against dropping servers whose entries were
// written after the copy was made, before they write them again.
func TestServerMissingFromRestoredListIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1}, &layout.Server{ID: "b", StartedAt: 1}), now)
	r.SetRestored(now)
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1}), now)
	require.Equal(t, []string{"a", "b"}, ids(r, now.Add(2*time.Second)))
	r.SetReachable(true, now.Add(time.Second))
	later := now.Add(2200 * time.Millisecond)
	r.SetReachable(true, later)
	require.Equal(t, []string{"a"}, ids(r, later), "a server whose entry does not return is gone")
}

// TestAnnouncedDepartureGoesBeforeTheList guards against calls to a server that has announced that
// it leaves, while its entry says that it is ready, and against excluding its next start.
func TestAnnouncedDepartureGoesBeforeTheList(t *testing.T) {
	now := time.Unix(100, 0)
	r := layout.NewRoster()
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1}), now)
	require.True(t, r.MarkLeaving("a", 1, now))
	require.False(t, r.MarkLeaving("a", 1, now))
	for range 3 {
		now = now.Add(2 * time.Minute)
		r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1, Revision: now.Unix()}), now)
		require.Equal(t, map[string]layout.State{"a": layout.Draining}, states(r, now))
	}
	r.SetServers(nil, now)
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1}), now.Add(time.Second))
	require.Equal(t, map[string]layout.State{"a": layout.Draining}, states(r, now), "the entry was away for a moment")
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 2}), now)
	require.Equal(t, map[string]layout.State{"a": layout.Ready}, states(r, now))
}

// TestServerIsNotGoneByTimeAlone guards against concluding that a server is gone from the time since
// the list returned, during which the daemon was suspended and did not read the list again.
func TestServerIsNotGoneByTimeAlone(t *testing.T) {
	now := time.Unix(100, 0)
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1, Revision: 5}), now)
	r.SetRestored(now)
	r.SetServers(nil, now)
	now = now.Add(10 * time.Second)
	require.Equal(t, []string{"a"}, ids(r, now), "the list was not read since its return")
	r.SetRestored(now)
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1, Revision: 5}), now)
	require.Equal(t, []string{"a"}, ids(r, now))
}

// TestRestoredEntryCountsAfterAWhile guards against excluding a server for ever that was thought to
// be gone and has no reason to write its entry again.
func TestRestoredEntryCountsAfterAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	entry := &layout.Server{ID: "a", StartedAt: 1, Revision: 5}
	r := layout.NewRoster()
	r.SetServers(list(entry), now)
	r.SetServers(nil, now)
	r.SetRestored(now)
	r.SetServers(list(entry), now)
	servers, again := r.Servers(now)
	require.Empty(t, servers)
	require.False(t, again.IsZero())
	servers, _ = r.Servers(again.Add(-1))
	require.Empty(t, servers)
	servers, again = r.Servers(again)
	require.Len(t, servers, 1)
	require.True(t, again.IsZero())
}

// TestAnswerFromBeforeSuspensionIsNoRead guards against dropping servers because an answer that
// arrived before the daemon was suspended is read when it goes on.
func TestAnswerFromBeforeSuspensionIsNoRead(t *testing.T) {
	now := time.Unix(100, 0)
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(list(&layout.Server{ID: "a", StartedAt: 1}), now)
	r.SetRestored(now)
	r.SetServers(nil, now)
	r.SetReachable(true, now)
	now = now.Add(4 * time.Second)
	r.SetReachable(true, now)
	require.Equal(t, []string{"a"}, ids(r, now))
	for range 3 {
		now = now.Add(800 * time.Millisecond)
		r.SetReachable(true, now)
	}
	require.Empty(t, ids(r, now), "the list was read for long enough since")
}
