package layout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// ids returns the IDs of the servers that the roster returns at the given time.
func ids(r *layout.Roster, now time.Time) []string {
	list, _ := r.Servers(now)
	out := []string{}
	for _, s := range list {
		out = append(out, s.ID)
	}
	return out
}

func TestRosterKeepsServersThatExpireDuringAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := &layout.Server{ID: "a"}, &layout.Server{ID: "b"}
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(map[string]*layout.Server{"a": a, "b": b}, now)
	r.SetReachable(false, now.Add(time.Second))
	restored := now.Add(5 * time.Second)
	r.SetReachable(true, restored)
	r.SetServers(map[string]*layout.Server{"a": a}, restored)
	require.Equal(t, []string{"a", "b"}, ids(r, restored.Add(time.Second)))
	r.SetReachable(true, restored.Add(time.Second))
	later := restored.Add(2200 * time.Millisecond)
	require.Equal(t, []string{"a", "b"}, ids(r, later), "the list was not read since")
	r.SetReachable(true, later)
	require.Equal(t, []string{"a"}, ids(r, later), "a server whose entry does not return is dropped")
}

func TestRosterDropsMissingServersWithoutAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := &layout.Server{ID: "a"}, &layout.Server{ID: "b"}
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(map[string]*layout.Server{"a": a, "b": b}, now)
	r.SetServers(map[string]*layout.Server{"a": a}, now.Add(time.Second))
	require.Equal(t, []string{"a"}, ids(r, now.Add(time.Second)))
}

func TestRosterDropsDrainingServersAfterAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	r := layout.NewRoster()
	r.SetReachable(true, now)
	r.SetServers(map[string]*layout.Server{"a": {ID: "a", State: layout.Draining}}, now)
	r.SetReachable(false, now)
	r.SetReachable(true, now.Add(time.Second))
	r.SetServers(map[string]*layout.Server{}, now.Add(time.Second))
	require.Empty(t, ids(r, now.Add(time.Second)))
}
