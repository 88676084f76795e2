package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admin"
	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/node"
	"github.com/limpetlb/limpetlb/limpetlab/caller"
	"github.com/limpetlb/limpetlb/limpetlab/fault"
)

// TestLeavingDaemonHandsOverLeaseAndFinishesCall lets the lease holder leave
// while the service still works on one of its calls. The daemon must hand the
// lease over and reject new calls, but wait for the call in flight. A repeat of
// this call through the other daemon must not run again.
func TestLeavingDaemonHandsOverLeaseAndFinishesCall(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	holdCall := fault.Func(func(c fault.Call) fault.Action {
		if c.Step == "call" && c.Key == "held" {
			close(reached)
			<-release
		}
		return fault.Action{}
	})
	f, w := startFleet(t, holdCall)
	s := awaitStatus(t, admin.NewClient("http://"+f.Live()[0].Daemon.OperatorAddr(), operatorToken), func(s admin.Status) bool {
		return allReady(2)(s) && s.LeaseHolder != ""
	})
	leaving, other := f.Live()[0], f.Live()[1]
	if s.LeaseHolder == other.VM {
		leaving, other = other, leaving
	}
	require.True(t, callUntilReady(t, leaving, "key-1", `{"call":"first"}`).Whole)
	answer := make(chan caller.Answer, 1)
	go func() { answer <- sendKeyedCall(t.Context(), leaving, "key-2", `{"call":"held"}`) }()
	<-reached

	left := make(chan error, 1)
	go func() { left <- leaving.Daemon.Leave(t.Context()) }()
	released := func(e event.Event) bool { return e.Process == leaving.VM && e.Kind == event.LeaseReleased }
	operator := admin.NewClient("http://"+other.Daemon.OperatorAddr(), operatorToken)
	for {
		events, err := operator.Events(t.Context(), event.Filter{}, false)
		require.NoError(t, err)
		if slices.ContainsFunc(events.Events, released) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	awaitStatus(t, operator, func(s admin.Status) bool { return s.LeaseHolder == other.VM })
	refused := sendKeyedCall(t.Context(), leaving, "key-3", `{"call":"late"}`)
	require.Equal(t, code.Stopping, refused.Code)
	require.Equal(t, code.RunNo, refused.Run)
	require.Empty(t, left, "the daemon must wait for its call in flight")

	close(release)
	require.True(t, (<-answer).Whole)
	require.NoError(t, <-left)
	again := callUntilReady(t, other, "key-2", `{"call":"held"}`)
	require.True(t, again.Whole)
	require.Equal(t, 1, w.Bookings.Executions("held"))
	require.Zero(t, w.Bookings.Executions("late"))
}

// TestDaemonLeavesWhenItsVMIsListedAsLeaving marks a daemon's VM as leaving in
// the platform's VM list. The daemon must begin to leave.
func TestDaemonLeavesWhenItsVMIsListedAsLeaving(t *testing.T) {
	f, w := startFleet(t, nil)
	m := f.Live()[0]
	w.List.Leave(m.VM)
	<-m.Daemon.(*node.Node).Left()
}
