package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/limpetlb/limpetlb/limpetd/layout"
)

// TestLeavingDaemonRefusesCallWhoseBodyArrivesLate guards against calls that are passed on late in the grace period
// and cut at its end, because their head arrived before the daemon stopped to accept calls.
func TestLeavingDaemonRefusesCallWhoseBodyArrivesLate(t *testing.T) {
	var got atomic.Int64
	fx := newFixture(t, layout.Route{Kind: layout.Unsafe, MaxAttempts: 1}, func(http.ResponseWriter, *http.Request) { got.Add(1) })
	c, err := net.Dial("tcp4", fx.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	_, err = io.WriteString(c, "POST /r/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: x1\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return fx.front.InFlight() == 1 }, 5*time.Second, time.Millisecond)
	fx.front.Leave(time.Now())
	_, err = io.WriteString(c, "dy")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Zero(t, got.Load())
}

// jumpTimeOfDay returns a reading of the clocks after the time of day has jumped by whole seconds, while the
// monotonic clock goes on.
func jumpTimeOfDay(t *testing.T, now time.Time, jump time.Duration) time.Time {
	t.Helper()
	jumped := now
	// The first word of a time with a monotonic reading has the seconds above 30 bits of nanoseconds.
	*(*uint64)(unsafe.Pointer(&jumped)) += uint64(int64(jump/time.Second)) << 30
	require.Equal(t, jump, jumped.Round(0).Sub(now.Round(0)))
	require.Zero(t, jumped.Sub(now))
	return jumped
}

// TestJumpOfTimeOfDayDoesNotDelayRefusals guards against a leaving daemon that accepts calls until it is stopped, or
// refuses them while callers still reach it, because the time of day jumps.
func TestJumpOfTimeOfDayDoesNotDelayRefusals(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		for delay, status := range map[time.Duration]int{0: http.StatusServiceUnavailable, time.Minute: http.StatusOK} {
			fx := newFixture(t, layout.Route{Kind: layout.Unsafe, MaxAttempts: 1}, respond("done"))
			fx.front.Leave(jumpTimeOfDay(t, time.Now().Add(delay), jump))
			a, _, err := fx.post(t, "/r/1", nil)
			require.NoError(t, err)
			require.Equal(t, status, a.StatusCode, "%s after a jump of %s", delay, jump)
		}
	}
}
