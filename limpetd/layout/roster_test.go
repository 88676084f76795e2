package layout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

func ids(r *layout.Roster, now time.Time) []string {
	list, _ := r.Servers(now)
	out := []string{}
	for _, s := range list {
		out = append(out, s.ID)
	}
	return out
}

func TestRosterKeepsServersThatLapsedInAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := &layout.Server{ID: "a"}, &layout.Server{ID: "b"}
	r := layout.NewRoster()
	r.Reached(true, now)
	r.List(map[string]*layout.Server{"a": a, "b": b}, now)
	r.Reached(false, now.Add(time.Second))
	back := now.Add(5 * time.Second)
	r.Reached(true, back)
	r.List(map[string]*layout.Server{"a": a}, back)
	require.Equal(t, []string{"a", "b"}, ids(r, back.Add(time.Second)))
	require.Equal(t, []string{"a"}, ids(r, back.Add(2200*time.Millisecond)), "an entry that does not return is gone")
}

func TestRosterDropsServersThatLeaveWithoutAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := &layout.Server{ID: "a"}, &layout.Server{ID: "b"}
	r := layout.NewRoster()
	r.Reached(true, now)
	r.List(map[string]*layout.Server{"a": a, "b": b}, now)
	r.List(map[string]*layout.Server{"a": a}, now.Add(time.Second))
	require.Equal(t, []string{"a"}, ids(r, now.Add(time.Second)))
}

func TestRosterDropsServersThatWereLeavingBeforeAnOutage(t *testing.T) {
	now := time.Unix(100, 0)
	r := layout.NewRoster()
	r.Reached(true, now)
	r.List(map[string]*layout.Server{"a": {ID: "a", State: layout.Draining}}, now)
	r.Reached(false, now)
	r.Reached(true, now.Add(time.Second))
	r.List(map[string]*layout.Server{}, now.Add(time.Second))
	require.Empty(t, ids(r, now.Add(time.Second)))
}
