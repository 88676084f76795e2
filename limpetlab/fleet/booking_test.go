package fleet

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/conf"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/deploy"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/world"
)

// start runs two daemons of one data centre with a document in force.
func start(t *testing.T, faults fault.Provider) (*Fleet, *world.World) {
	d := deploy.Ibeji()
	d.DataCentres, d.Engines, d.Models, d.Adapters = d.DataCentres[:1], 2, 1, 1
	w, err := world.Start(t.Context(), world.Config{Deployment: d, Faults: faults})
	require.NoError(t, err)
	t.Cleanup(w.Stop)
	f := New(d, w, func(ctx context.Context, c conf.Config) (Daemon, error) { return node.New(ctx, c) })
	t.Cleanup(f.Stop)
	require.NoError(t, f.StartAll(t.Context()))
	require.NoError(t, f.Apply(t.Context(), d.Document(1)))
	return f, w
}

// book sends a keyed call through a daemon.
func book(ctx context.Context, m *Member, once, body string) caller.Answer {
	c := caller.New()
	defer c.Close()
	return c.Call(ctx, m.Daemon.CallerAddr(), caller.Call{
		Key: deploy.Key(deploy.CallerUrgent), Method: http.MethodPost, Path: "dispatch/sends", Once: once, Body: body,
	})
}

// settled repeats a keyed call until the daemon has a document and a view.
func settled(t *testing.T, m *Member, once, body string) caller.Answer {
	for {
		a := book(t.Context(), m, once, body)
		switch a.Code {
		case code.NoDocument, code.NoMembers, code.NoBackend, code.ClaimInProgress:
			require.NoError(t, t.Context().Err())
			time.Sleep(50 * time.Millisecond)
		default:
			return a
		}
	}
}

// TestBookingRunsOnceThroughTwoDaemons loses the service's answer midway, and
// sends the same call again through both daemons.
func TestBookingRunsOnceThroughTwoDaemons(t *testing.T) {
	lose := fault.Func(func(c fault.Call) fault.Action {
		if c.Step == "call" && strings.HasPrefix(c.Key, "lost") {
			return fault.Action{Kind: fault.Lost}
		}
		return fault.Action{}
	})
	f, w := start(t, lose)
	first, second := f.Live()[0], f.Live()[1]

	answered := settled(t, first, "key-1", `{"call":"whole"}`)
	require.True(t, answered.Whole)
	again := settled(t, second, "key-1", `{"call":"whole"}`)
	require.True(t, again.Whole)
	require.Equal(t, string(answered.Body), string(again.Body), "a repeat gets the first outcome")

	lost := book(t.Context(), first, "key-2", `{"call":"lost"}`)
	require.Equal(t, code.BackendLost, lost.Code)
	require.Equal(t, code.RunUnknown, lost.Run)
	for _, m := range []*Member{second, first, second} {
		repeat := settled(t, m, "key-2", `{"call":"lost"}`)
		require.Equal(t, code.ClaimUnknown, repeat.Code)
		require.Equal(t, code.RunUnknown, repeat.Run)
	}
	other := book(t.Context(), second, "key-1", `{"call":"other"}`)
	require.Equal(t, code.ClaimMismatch, other.Code)
	require.Equal(t, code.RunNo, other.Run)

	require.Equal(t, 1, w.Bookings.Executions("whole"))
	require.Equal(t, 1, w.Bookings.Executions("lost"))
	require.Equal(t, 0, w.Bookings.Executions("other"))
}
