package member

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/event"
)

// TestSilentDaemonIsRecorded stops a daemon without notice. The events of a peer must
// show that the daemon joined and that it became silent.
func TestSilentDaemonIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork()
		first, second := entryVM("vm-000", "dc-0", "region-0"), entryVM("vm-001", "dc-0", "region-0")
		f.setList(first, second)
		line := event.New(first.ID)
		f.start(t.Context(), first, "1", func(d *Deps) { d.Events = line })
		dying := f.start(t.Context(), second, "2", nil)
		time.Sleep(10 * time.Second)
		dying.tomb.Kill(nil)
		time.Sleep(time.Minute)
		var kinds []event.Kind
		for _, e := range line.Select(event.Filter{VM: second.ID}) {
			kinds = append(kinds, e.Kind)
		}
		require.Equal(t, []event.Kind{event.MemberJoined, event.MemberSilent}, kinds)
	})
}
