package cmds

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/admin"
)

func TestDaemonState(t *testing.T) {
	require.Equal(t, "ready", daemonState(admin.Daemon{Ready: true}))
	require.Equal(t, "leaving", daemonState(admin.Daemon{Leaving: true}))
	require.Equal(t, "unready", daemonState(admin.Daemon{Reasons: []string{"no_document"}}))
	silent := admin.Daemon{Ready: true, Reasons: []string{"peer_down"}}
	require.Equal(t, "silent", daemonState(silent), "the last report of a daemon that cannot be reached is out of date")
}
