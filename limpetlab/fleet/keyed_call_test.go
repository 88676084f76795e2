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

// startFleet starts two daemons of one data centre and applies a document.
func startFleet(t *testing.T, faults fault.Provider) (*Fleet, *world.World) {
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

// sendKeyedCall sends a call with an idempotency key through a daemon.
func sendKeyedCall(ctx context.Context, m *Member, once, body string) caller.Answer {
	c := caller.New()
	defer c.Close()
	return c.Call(ctx, m.Daemon.CallerAddr(), caller.Call{
		Key: deploy.Key(deploy.CallerUrgent), Method: http.MethodPost, Path: "dispatch/sends", Once: once, Body: body,
	})
}

// callUntilReady repeats a keyed call until the daemon has a document, the VM
// list and a backend server, and no other call with the key is in progress.
func callUntilReady(t *testing.T, m *Member, once, body string) caller.Answer {
	for {
		a := sendKeyedCall(t.Context(), m, once, body)
		switch a.Code {
		case code.NoDocument, code.NoMembers, code.NoBackend, code.ClaimInProgress:
			require.NoError(t, t.Context().Err())
			time.Sleep(50 * time.Millisecond)
		default:
			return a
		}
	}
}

// TestKeyedCallRunsOnceThroughTwoDaemons repeats calls with the same
// idempotency key through two daemons. A repeated call must get the first
// outcome. A call whose answer was lost after the service ran it must be
// reported as possibly run, and must not run again. A call with a used key and
// another body must be rejected.
func TestKeyedCallRunsOnceThroughTwoDaemons(t *testing.T) {
	loseAnswer := fault.Func(func(c fault.Call) fault.Action {
		if c.Step == "call" && strings.HasPrefix(c.Key, "lost") {
			return fault.Action{Kind: fault.Lost}
		}
		return fault.Action{}
	})
	f, w := startFleet(t, loseAnswer)
	first, second := f.Live()[0], f.Live()[1]

	answered := callUntilReady(t, first, "key-1", `{"call":"whole"}`)
	require.True(t, answered.Whole)
	again := callUntilReady(t, second, "key-1", `{"call":"whole"}`)
	require.True(t, again.Whole)
	require.Equal(t, string(answered.Body), string(again.Body), "a repeated call must get the first answer")

	lost := sendKeyedCall(t.Context(), first, "key-2", `{"call":"lost"}`)
	require.Equal(t, code.BackendLost, lost.Code)
	require.Equal(t, code.RunUnknown, lost.Run)
	for _, m := range []*Member{second, first, second} {
		repeat := callUntilReady(t, m, "key-2", `{"call":"lost"}`)
		require.Equal(t, code.ClaimUnknown, repeat.Code)
		require.Equal(t, code.RunUnknown, repeat.Run)
	}
	other := sendKeyedCall(t.Context(), second, "key-1", `{"call":"other"}`)
	require.Equal(t, code.ClaimMismatch, other.Code)
	require.Equal(t, code.RunNo, other.Run)

	require.Equal(t, 1, w.Bookings.Executions("whole"))
	require.Equal(t, 1, w.Bookings.Executions("lost"))
	require.Equal(t, 0, w.Bookings.Executions("other"))
}
