package engsim

import (
	"net"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
	"github.com/limpetlb/limpetlb/limpetlab/weight"
)

// serveEngine serves an engine over HTTP and loads slotA. It returns the engine, a
// client, the address of the server and the fault switch.
func serveEngine(t *testing.T) (*Engine, *engine.Client, string, *fault.Switch) {
	faults := fault.NewSwitch()
	c := Config{VM: "engine-1", MemoryMB: 100, StepBase: 100_000}
	e := New(t.Context(), c, weight.New(weight.Config{}), WithFaults(faults))
	loadSlot(t, e, slotA, 60)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, engine.NewClient(), server.Listener.Addr().String(), faults
}

func TestClientStreamsCompleteAnswer(t *testing.T) {
	_, c, address, _ := serveEngine(t)
	frames, err := c.Generate(t.Context(), address, engine.Request{Attempt: "1", Slot: slotA, Prompt: "p", MaxTokens: 30})
	require.NoError(t, err)
	got, err := readAll(frames)
	require.NoError(t, err)
	want, _ := CompleteAnswer(slotA, "p", 30)
	require.Equal(t, want, got)
	require.NoError(t, c.Cancel(t.Context(), address, "1"))
	report, err := c.Report(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, "engine-1", report.VM)
	answer, err := c.Order(t.Context(), address, engine.Order{ID: "9", Kind: engine.OrderUnload, Slot: slotA})
	require.NoError(t, err)
	require.Equal(t, engine.OrderDone, answer.Status)
}

func TestClientDistinguishesNotRunFromUnknown(t *testing.T) {
	e, c, address, faults := serveEngine(t)
	_, err := c.Generate(t.Context(), address, engine.Request{Attempt: "1", Slot: slotB, Prompt: "p"})
	require.Equal(t, code.BackendFailed, code.Of(err))
	require.Equal(t, code.RunNo, code.RunOf(err))
	faults.Set("engine-1", fault.Action{Kind: fault.Lost})
	_, err = c.Generate(t.Context(), address, engine.Request{Attempt: "2", Slot: slotA, Prompt: "q"})
	require.Equal(t, code.BackendLost, code.Of(err))
	require.Equal(t, code.RunUnknown, code.RunOf(err))
	require.Equal(t, 1, e.Stats().Runs["q"], "the client must not retry a POST")
	_, err = c.Order(t.Context(), address, engine.Order{ID: "3", Kind: engine.OrderFence})
	require.Equal(t, code.OrderUnknown, code.Of(err))

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	_, err = c.Generate(t.Context(), closed.Addr().String(), engine.Request{Attempt: "4", Slot: slotA})
	require.Equal(t, code.BackendFailed, code.Of(err))
	_, err = c.Order(t.Context(), closed.Addr().String(), engine.Order{ID: "5", Kind: engine.OrderFence})
	require.Equal(t, code.BackendFailed, code.Of(err))
}

func TestClientReportsBrokenStream(t *testing.T) {
	_, c, address, faults := serveEngine(t)
	frames, err := c.Generate(t.Context(), address, engine.Request{Attempt: "1", Slot: slotA, Prompt: "p"})
	require.NoError(t, err)
	faults.Set("engine-1", fault.Action{Kind: fault.Drop})
	_, err = readAll(frames)
	require.Equal(t, code.BackendLost, code.Of(err))
	faults.Clear("engine-1")
	frames, err = c.Resume(t.Context(), address, "1", 0)
	require.NoError(t, err)
	got, err := readAll(frames)
	require.NoError(t, err)
	require.True(t, Matches(got, "p", 0, slotA))
}
