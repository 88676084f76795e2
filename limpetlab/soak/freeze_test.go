package soak

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// TestFrozenDaemonDoesNotLeaveItsServers guards against a daemon that stood still, takes this for silence of its servers,
// and sends its calls to others.
func TestFrozenDaemonDoesNotLeaveItsServers(t *testing.T) {
	t.Parallel()
	r := startRun(t, 3, 6)
	for _, e := range r.platform.Engines {
		e.EventPeriod = 200 * time.Millisecond
	}
	const start, freeze, freezes = 26 * time.Second, 3 * time.Second, 3
	var running sync.WaitGroup
	running.Go(func() {
		time.Sleep(start)
		for range freezes {
			for _, d := range r.daemons {
				require.NoError(t, d.signal(syscall.SIGSTOP, false))
			}
			time.Sleep(freeze)
			for _, d := range r.daemons {
				require.NoError(t, d.signal(syscall.SIGCONT, false))
			}
			time.Sleep(2 * time.Second)
		}
	})
	counts := r.platform.SendCalls(t.Context(), r.callerAddresses(), 1, 60, start+freezes*(freeze+3*time.Second))
	running.Wait()
	t.Log(r.platform.RetryUse(stand.EngineName), counts)
	for _, d := range r.daemons {
		log, err := os.ReadFile(d.log)
		require.NoError(t, err)
		require.Contains(t, string(log), "event=request_ended")
		require.Zero(t, strings.Count(string(log), "the backend server is silent"), d.settings)
	}
}
